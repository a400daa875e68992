package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// otherWriter plays case RECOVER. After a kill of all daemons, each daemon gets one heartbeat of another writer
// that names a service that isn't in the configuration.
func otherWriter(w *world) bool {
	for _, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		w.newMachine(zone, "desk")
	}
	w.startAll("desk")
	time.Sleep(3 * time.Second)
	load := &load{w: w}
	load.begin(w.machines, "desk", 100*time.Millisecond)
	time.Sleep(10 * time.Second)
	asked, served := load.servedSince(time.Time{}, time.Now().Add(-time.Second))
	w.logf("before the final fault: %d of %d requests were served", served, asked)
	if served*4 < asked {
		w.fail("less than a quarter is served before the fault")
	}
	for _, m := range w.machines {
		m.kill()
	}
	time.Sleep(600 * time.Millisecond)
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady()
	back := time.Now()
	time.Sleep(5 * time.Second)
	if w.trouble {
		for _, m := range w.machines {
			body, _ := json.Marshal(map[string]any{
				"address": m.address(portApp),
				"info":    map[string]any{"service": "service-not-named", "version": "v1", "zone": m.vm.Zone, "slots": slots},
				"status":  map[string]any{"state": "ready", "sequence": 1, "cold-remaining-ms": 0},
			})
			status := m.put("i-other-writer", body)
			w.logf("%s: heartbeat of another writer, of a service that isn't named: answered %d", m.name, status)
		}
	}
	time.Sleep(time.Until(back.Add(recoveryTime + 15*time.Second)))
	load.end()
	for _, m := range w.machines {
		w.logf("%s: the latest heartbeat of backend %s was acknowledged with %d", m.name, m.backend.id, m.backend.heartbeat())
	}
	asked, served = load.servedSince(back.Add(recoveryTime), time.Now())
	w.logf("sent later than recovery-s after the machines are back: %d of %d requests were served; answers %v", served, asked, load.answersSince(back.Add(recoveryTime)))
	if served*4 < asked {
		w.logf("RECOVER: less than a quarter is served")
		return true
	}
	return false
}

// load sends requests at an interval, and keeps what its clients got.
type load struct {
	w *world
	// path and unsafe say what is sent, safe lookups if path is empty.
	path   string
	unsafe bool

	wg   sync.WaitGroup
	stop chan struct{}

	mu      sync.Mutex
	results []loadResult
}

type loadResult struct {
	sentAt time.Time
	status int
}

// begin sends a request from each machine in turn.
func (l *load) begin(machines []*machine, service string, every time.Duration) {
	l.stop = make(chan struct{})
	if l.path == "" {
		l.path = "/lookup/30/x"
	}
	l.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-time.After(every):
			}
			m := machines[i%len(machines)]
			l.wg.Go(func() {
				sentAt := time.Now()
				status := m.send(newID("load"), service, l.path, l.unsafe, 1200*time.Millisecond)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.results = append(l.results, loadResult{sentAt, status})
			})
		}
	})
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}

// servedSince counts the requests sent in a period, and those of them that were served.
func (l *load) servedSince(from, until time.Time) (asked, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.sentAt.Before(from) || r.sentAt.After(until) {
			continue
		}
		asked++
		if r.status == http.StatusOK {
			served++
		}
	}
	return asked, served
}

// answersSince counts the answers to requests sent since an instant, by status.
func (l *load) answersSince(from time.Time) map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	byStatus := map[int]int{}
	for _, r := range l.results {
		if !r.sentAt.Before(from) {
			byStatus[r.status]++
		}
	}
	return byStatus
}
