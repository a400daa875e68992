package main

import (
	"sync"
	"time"
)

// lateHeartbeat plays case DRAIN. The last backend of a service leaves: its DELETE is acknowledged. Then the
// processes of all daemons are killed. A heartbeat that the backend had sent before its DELETE arrives seconds late.
func lateHeartbeat(w *world) bool {
	desk := w.newMachine("hall-a", "desk")
	earlier := []*machine{w.newMachine("hall-b", "desk"), w.newMachine("hall-c", "desk")}
	fronts := []*machine{w.newMachine("hall-b", "front"), w.newMachine("hall-c", "front")}
	w.startAll("desk", "front")
	time.Sleep(3 * time.Second)
	load := &load{w: w, path: "/release/40/x", unsafe: true}
	load.begin(fronts, "desk", 50*time.Millisecond)
	time.Sleep(2 * time.Second)
	// Planned work: the other backends of the service leave first.
	for _, m := range earlier {
		m.backend.drain()
		time.Sleep(drainTime)
		m.backend.deregister()
		m.backend.end()
	}
	id, late := desk.backend.heartbeatBody()
	w.logf("backend %s sends a heartbeat, which arrives late", id)
	sentAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	if status := desk.backend.deregister(); status != 200 {
		w.fail("the DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(100 * time.Millisecond)
	for _, m := range w.machines {
		m.kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range w.machines {
		m.start()
	}
	back := time.Now()
	var mu sync.Mutex
	var violations []string
	desk.backend.mu.Lock()
	desk.backend.onRun = func(id string) {
		if now := time.Now(); now.Sub(acknowledged) > drainTime && now.Sub(back) > stableWindow {
			mu.Lock()
			defer mu.Unlock()
			violations = append(violations, id)
		}
	}
	desk.backend.mu.Unlock()
	w.awaitReady()
	time.Sleep(time.Until(sentAt.Add(5 * time.Second)))
	if w.trouble {
		w.logf("the late heartbeat arrives %.1f s after it was sent, answered %d", time.Since(sentAt).Seconds(), desk.put(id, late))
	}
	time.Sleep(3 * time.Second)
	load.end()
	w.logf("answers since the daemons are back: %v", load.answersSince(back))
	desk.backend.end()
	mu.Lock()
	defer mu.Unlock()
	if len(violations) > 0 {
		w.logf("DRAIN: %v reached the backend later than drain-ms after its leaving was acknowledged", violations)
	}
	return len(violations) > 0
}
