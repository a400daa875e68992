package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots = 6
	// maxWaiting is how many requests a backend queues besides.
	maxWaiting        = 12
	heartbeatInterval = 1500 * time.Millisecond
)

// backend is a stand-in of a backend. It serves one request at a time on a connection, runs slots requests at
// once and queues a few more.
type backend struct {
	machine *machine
	service string

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	starts   int
	state    string
	// leaving is set while all answers state that the backend leaves.
	leaving  bool
	slowdown int
	running  int
	waiting  int
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
	// freed is closed and replaced when a slot becomes free.
	freed chan struct{}
	// shed, if set, reports whether a request is to be rejected although there is room.
	shed func(id string) bool
	// extraOf, if set, reports whether a second copy of the answer to a request comes late.
	extraOf func(id string) bool
	// onRun, if set, is called when a request begins to run, onReject when one was rejected.
	onRun, onReject func(id string)
	// keepRunning is set if the backend doesn't drop a request whose connection is closed.
	keepRunning bool
}

func newBackend(m *machine, service string) *backend {
	return &backend{machine: m, service: service, slowdown: 100}
}

// start starts a new incarnation with a new id.
func (b *backend) start() {
	ln, err := net.Listen("tcp", b.machine.address(portApp))
	if err != nil {
		b.machine.world.fail("%v", err)
	}
	b.mu.Lock()
	b.starts++
	b.id = fmt.Sprintf("i-%s-%d", b.machine.name, b.starts)
	b.born, b.sequence, b.state, b.leaving = time.Now().UnixMilli(), 0, "ready", false
	b.running, b.waiting = 0, 0
	b.listener, b.conns, b.stop, b.freed = ln, map[net.Conn]bool{}, make(chan struct{}), make(chan struct{})
	stop, conns, id := b.stop, b.conns, b.id
	b.mu.Unlock()
	b.machine.world.logf("%s: backend %s of %s started", b.machine.name, id, b.service)
	go b.accept(ln, conns, id)
	go b.report(stop)
}

// end ends the incarnation: its listener and connections are closed.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return
	}
	close(b.stop)
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.listener = nil
}

// report sends heartbeats until the incarnation ends or has deregistered.
func (b *backend) report(stop <-chan struct{}) {
	for {
		b.mu.Lock()
		gone := b.state == "gone"
		b.mu.Unlock()
		if gone {
			return
		}
		b.heartbeat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeatBody returns the next heartbeat.
func (b *backend) heartbeatBody() (id string, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ = json.Marshal(map[string]any{
		"address": b.machine.address(portApp), "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.machine.vm.Zone, "slots": slots},
		"status": map[string]any{"state": b.state, "sequence": b.sequence, "cold-remaining-ms": 0},
	})
	return b.id, body
}

func (b *backend) heartbeat() int {
	id, body := b.heartbeatBody()
	return b.machine.put(id, body)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// put sends a heartbeat to the daemon of the machine and returns the status, 0 if there was no answer.
func (m *machine) put(id string, body []byte) int { return m.control(http.MethodPut, id, body) }

func (m *machine) control(method, id string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+m.vm.Control+"/-/instances/"+id, bytes.NewReader(body))
	if err != nil {
		m.world.fail("%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// drain reports that the backend is draining. It returns the status of the acknowledgement.
func (b *backend) drain() int {
	b.mu.Lock()
	b.state, b.leaving = "draining", true
	id := b.id
	b.mu.Unlock()
	status := b.heartbeat()
	b.machine.world.logf("%s: backend %s reported draining: %d", b.machine.name, id, status)
	return status
}

// deregister sends the DELETE of the backend, which goes on serving. It returns the status of the
// acknowledgement.
func (b *backend) deregister() int {
	b.mu.Lock()
	b.state, b.leaving = "gone", true
	id := b.id
	body, _ := json.Marshal(map[string]any{"born": b.born})
	b.mu.Unlock()
	status := b.machine.control(http.MethodDelete, id, body)
	b.machine.world.logf("%s: backend %s deregistered: %d", b.machine.name, id, status)
	return status
}

func (b *backend) setSlowdown(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = percent
}

func (b *backend) numRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

func (b *backend) accept(ln net.Listener, conns map[net.Conn]bool, id string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		conns[c] = true
		b.mu.Unlock()
		go func() {
			b.serve(c, id)
			_ = c.Close()
			b.mu.Lock()
			delete(conns, c)
			b.mu.Unlock()
		}()
	}
}

// serve serves the requests of a connection.
func (b *backend) serve(c net.Conn, incarnation string) {
	reader := bufio.NewReader(c)
	// lateExtra is a second copy of an earlier answer, which comes where the next answer is expected.
	var lateExtra []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		if lateExtra != nil {
			b.machine.world.logf("%s: backend %s sends a late second answer, before it handles %s", b.machine.name, incarnation, describe(req))
			if _, err := c.Write(lateExtra); err != nil {
				return
			}
			lateExtra = nil
		}
		answer := b.handle(req, incarnation, reader, c)
		if _, err := c.Write(answer); err != nil {
			return
		}
		b.mu.Lock()
		extraOf := b.extraOf
		b.mu.Unlock()
		if id != "" && extraOf != nil && extraOf(id) {
			lateExtra = answer
		}
	}
}

func describe(r *http.Request) string {
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		return "request " + id
	}
	return "a health check"
}

// encode returns a response.
func (b *backend) encode(status int, id, incarnation string, extra map[string]string, body string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&out, "X-Attempt-Id: %s\r\n", id)
	}
	b.mu.Lock()
	fmt.Fprintf(&out, "X-Server-Load: %d,%d,%d,%d\r\n", b.running, b.waiting, slots, b.slowdown)
	if b.leaving {
		out.WriteString("Server-Leaving: 1\r\n")
	}
	b.mu.Unlock()
	for name, value := range extra {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return out.Bytes()
}

// handle runs or rejects a request and returns the response.
func (b *backend) handle(r *http.Request, incarnation string, reader *bufio.Reader, c net.Conn) []byte {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		b.mu.Lock()
		leaving, full := b.leaving, b.running >= slots && b.waiting >= maxWaiting
		b.mu.Unlock()
		instance := map[string]string{"X-Instance-Id": incarnation}
		if leaving {
			b.machine.world.logf("%s: backend %s answers a health check with 503, X-Instance-Id, Server-Leaving: 1", b.machine.name, incarnation)
		}
		switch {
		case full:
			instance["X-Not-Executed"] = "1"
			return b.encode(http.StatusServiceUnavailable, "", incarnation, instance, "")
		case leaving:
			return b.encode(http.StatusServiceUnavailable, "", incarnation, instance, "")
		}
		return b.encode(http.StatusOK, "", incarnation, instance, "")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != incarnation {
		b.machine.world.logf("%s: backend %s rejects request %s: another instance is expected", b.machine.name, incarnation, id)
		return b.encode(http.StatusMisdirectedRequest, id, incarnation, map[string]string{"X-Instance-Id": incarnation}, "")
	}
	b.mu.Lock()
	shed, onRun, onReject, stop := b.shed, b.onRun, b.onReject, b.stop
	b.mu.Unlock()
	if shed != nil && shed(id) || !b.acquire(stop) {
		b.machine.world.logf("%s: backend %s rejects request %s, not executed", b.machine.name, incarnation, id)
		answer := b.encode(http.StatusServiceUnavailable, id, incarnation, map[string]string{"X-Not-Executed": "1"}, "")
		if onReject != nil {
			go onReject(id)
		}
		return answer
	}
	w := b.machine.world
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.logf("%s: backend %s runs request %s (deadline %s ms)", b.machine.name, incarnation, id, r.Header.Get("X-Deadline-Ms"))
	if onRun != nil {
		onRun(id)
	}
	b.work(r, stop, reader, c)
	answer := b.encode(http.StatusOK, id, incarnation, map[string]string{"X-Response-Seal": "seal." + id}, "answer to "+id+"\n")
	b.release()
	return answer
}

// work takes as long as the path says: /route/MILLISECONDS/name. Unless keepRunning is set, it ends when the
// connection is closed.
func (b *backend) work(r *http.Request, stop <-chan struct{}, reader *bufio.Reader, c net.Conn) {
	duration := 40 * time.Millisecond
	if parts := strings.Split(r.URL.Path, "/"); len(parts) > 2 {
		if ms, err := strconv.Atoi(parts[2]); err == nil {
			duration = time.Duration(ms) * time.Millisecond
		}
	}
	if b.keepRunning {
		select {
		case <-time.After(duration):
		case <-stop:
		}
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(duration))
	_, _ = reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
}

// acquire takes a slot, or waits for one. It returns false if too many requests wait already.
func (b *backend) acquire(stop <-chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= slots && b.waiting >= maxWaiting {
		return false
	}
	for b.running >= slots {
		b.waiting++
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-stop:
		}
		b.mu.Lock()
		b.waiting--
	}
	b.running++
	return true
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	close(b.freed)
	b.freed = make(chan struct{})
}
