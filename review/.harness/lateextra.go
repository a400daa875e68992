package main

import (
	"sync"
	"time"
)

const (
	lateExtraRounds = 3
	// requestsPerRound keep the share of answers with a second copy below the 0.03 of garble.
	requestsPerRound = 60
)

// lateExtra plays case REFUSED. A backend (first) sheds a request that must not run twice, the backend to which
// the system turns next (second) begins to drain while the request waits there, and the system sends it to the
// first again. There, the second copy of the refusal arrives late, where the answer to this run is expected.
func lateExtra(w *world) bool {
	first, second, third, front := w.newMachine("hall-a", "desk"), w.newMachine("hall-b", "desk"), w.newMachine("hall-c", "desk"), w.newMachine("hall-c", "front")
	w.startAll("desk", "front")
	time.Sleep(8 * time.Second)
	for range 30 {
		front.send(newID("warm"), "desk", "/release/30/x", true, 1500*time.Millisecond)
	}
	// Planned work: one of the three backends is emptied and taken away.
	third.backend.drain()
	time.Sleep(drainTime)
	third.backend.deregister()
	third.backend.end()
	time.Sleep(time.Second)
	broken := 0
	for round := 1; round <= lateExtraRounds; round++ {
		if playLateExtra(w, first, second, front, round) {
			broken++
		}
	}
	w.logf("broken in %d of %d rounds", broken, lateExtraRounds)
	return broken > 0
}

// playLateExtra plays a round and reports whether the rule was broken.
func playLateExtra(w *world, first, second, front *machine, round int) bool {
	for i := range requestsPerRound {
		if i%20 == 0 {
			front.send(newID("warm"), "desk", "/long/300/x", true, 3*time.Second)
		} else {
			front.send(newID("warm"), "desk", "/release/30/x", true, 1500*time.Millisecond)
		}
	}
	id := newID("release")
	var once sync.Once
	rejected := make(chan struct{})
	first.backend.mu.Lock()
	first.backend.shed = func(r string) bool {
		shed := false
		if r == id {
			once.Do(func() { shed = true })
		}
		return shed
	}
	first.backend.onReject = func(string) { close(rejected) }
	extraSent := false
	first.backend.extraOf = func(r string) bool {
		extra := w.trouble && r == id && !extraSent
		extraSent = extraSent || r == id
		return extra
	}
	first.backend.mu.Unlock()
	// The second backend gets long requests, since the first says that it is slow at this moment.
	first.backend.setSlowdown(900)
	front.send(newID("warm"), "desk", "/release/30/x", true, 1500*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { front.send(newID("long"), "desk", "/long/400/x", true, 3*time.Second) })
	}
	end := time.Now().Add(300 * time.Millisecond)
	for second.backend.numRunning() < 4 && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	w.logf("round %d: %d requests run at the first backend, %d at the second", round, first.backend.numRunning(), second.backend.numRunning())
	first.backend.setSlowdown(100)
	// A look at the health of the first backend shows that it is as fast as usual again.
	time.Sleep(100 * time.Millisecond)
	go func() {
		select {
		case <-rejected:
			time.Sleep(25 * time.Millisecond)
		case <-time.After(2 * time.Second):
		}
		second.backend.drain()
	}()
	status := front.send(id, "desk", "/release/60/x", true, 1500*time.Millisecond)
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	runs := w.runsOf(id)
	w.logf("round %d: request %s: the client gets %d, runs %d", round, id, status, runs)
	replace(w, second)
	switch {
	case runs > 1:
		w.logf("TWICE: %s has run %d times", id, runs)
		return true
	case promises(status) && runs > 0:
		w.logf("REFUSED: %s was answered %d and has run", id, status)
		again := newID("release-again")
		status = front.send(again, "desk", "/release/60/x", true, 1500*time.Millisecond)
		w.logf("the client keeps to the promise and sends it once more as %s: %d, runs %d", again, status, w.runsOf(again))
		return true
	}
	return false
}

// replace ends a backend that has drained, and starts another one after reuse-after-s.
func replace(w *world, m *machine) {
	time.Sleep(drainTime)
	m.backend.deregister()
	m.backend.end()
	time.Sleep(2 * time.Second)
	m.backend.start()
	time.Sleep(500 * time.Millisecond)
	w.logf("a request after the replacement gets %d", m.send(newID("warm"), "desk", "/lookup/30/x", false, time.Second))
}
