package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers that drive a stand-in.
const (
	// HeaderCost is how long the request runs, as a duration.
	HeaderCost = "X-Cost"
	// HeaderRequest names the request; the answer carries it back.
	HeaderRequest = "X-Request"
	// HeaderExtraBytes is the number of bytes sent after the usual answer.
	HeaderExtraBytes = "X-Answer-Bytes"
)

const defaultServiceTime = time.Millisecond

// LoadPath is where a stand-in reports its load.
const LoadPath = "/standin/load"

// Upstream is a stand-in upstream listening on loopback.
type Upstream struct {
	ID      string
	Service string
	Slots   int

	slots    chan struct{}
	listener net.Listener
	server   *http.Server

	mu   sync.Mutex
	runs map[string]int
}

// Start starts a stand-in on a loopback port.
func Start(id, service string, slots int) (*Upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		ID: id, Service: service, Slots: slots,
		slots:    make(chan struct{}, slots),
		listener: ln,
		runs:     make(map[string]int),
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(ln) }()
	return u, nil
}

// Address is the stand-in's host:port.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Close stops the stand-in.
func (u *Upstream) Close() error { return u.server.Close() }

// Runs returns how often each request ran.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for k, v := range u.runs {
		out[k] = v
	}
	return out
}

// ServeHTTP runs one request: it holds a slot for the asked time and answers
// with the request's name and body. A cancelled request ends early and without
// an answer.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == LoadPath {
		_, _ = fmt.Fprintf(w, `{"running": %d}`, len(u.slots))
		return
	}
	name := r.Header.Get(HeaderRequest)
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	u.countRun(name)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(serviceTimeOf(r)):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(HeaderRequest, name)
	_, _ = fmt.Fprintf(w, "%s %s", name, body)
	if more, err := strconv.ParseInt(r.Header.Get(HeaderExtraBytes), 10, 64); err == nil {
		_, _ = io.CopyN(w, zeroReader{}, more)
	}
}

// maxCountedRequests bounds the requests whose runs are counted; later names are not.
const maxCountedRequests = 1 << 20

func (u *Upstream) countRun(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.runs[name]; known || len(u.runs) < maxCountedRequests {
		u.runs[name]++
	}
}

func serviceTimeOf(r *http.Request) time.Duration {
	cost, err := time.ParseDuration(r.Header.Get(HeaderCost))
	if err != nil {
		return defaultServiceTime
	}
	return cost
}

// zeroReader reads as zero bytes without end.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Announce tells the daemon at an admin address about the stand-in.
func (u *Upstream) Announce(ctx context.Context, admin string, incarnation uint64, draining bool) error {
	body, err := json.Marshal(map[string]any{
		"service": u.Service, "address": u.Address(), "slots": u.Slots,
		"incarnation": incarnation, "draining": draining, "load_path": LoadPath,
	})
	if err != nil {
		return err
	}
	url := "http://" + admin + "/v1/upstreams/" + u.ID
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// A connection kept from the daemon's earlier life would be reset.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announce %s: daemon answered %s", u.ID, resp.Status)
	}
	return nil
}
