package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a new client attempt.
func newID(prefix string) string { return prefix + "-" + strconv.FormatInt(lastID.Add(1), 10) }

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// send sends one client attempt to the daemon of the machine. It returns the status, 0 if there was no answer.
func (m *machine) send(id, service, path string, unsafe bool, deadline time.Duration) int {
	method, body := http.MethodGet, ""
	if unsafe {
		method, body = http.MethodPost, "payment "+id
	}
	req, err := http.NewRequest(method, "http://"+m.vm.Outbound+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		m.world.fail("%v", err)
	}
	req.ContentLength = int64(len(body))
	req.Host = host(service)
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	m.world.logf("%s: request %s sent: %s %s", m.name, id, method, path)
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	status := 0
	if resp, err := client.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	m.world.logf("%s: request %s answered: %d", m.name, id, status)
	return status
}

// runsOf returns how often a request has run.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
