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

	"github.com/dottereltiller/dottereltiller/wire"
)

// Request headers that control an Upstream.
const (
	// HeaderServiceTime holds the service time of the request, as a Go duration. The service time
	// is how long the upstream takes to execute the request. If the value is missing or malformed,
	// the service time is defaultServiceTime.
	HeaderServiceTime = "X-Cost"
	// HeaderRequest holds the name that the caller gives to the request. The upstream
	// copies the header to the response and counts executions by this name.
	HeaderRequest = "X-Request"
	// HeaderExtraBytes holds the number of zero bytes to append to the response body. A missing,
	// malformed or negative value appends none.
	HeaderExtraBytes = "X-Answer-Bytes"
)

// defaultServiceTime is the service time of a request without a valid HeaderServiceTime.
const defaultServiceTime = time.Millisecond

// LoadPath is the path at which an Upstream reports its load: a JSON object with the number of
// executing requests.
const LoadPath = "/standin/load"

// Upstream is a stand-in upstream that listens on a loopback address.
type Upstream struct {
	// ID is the id under which the upstream announces itself.
	ID string
	// Service is the name of the service to which the upstream belongs.
	Service string
	// Slots is the number of requests that may execute at once.
	Slots int

	// executing holds an element for each executing request. The capacity of the channel is Slots.
	executing chan struct{}
	listener  net.Listener
	server    *http.Server

	mu sync.Mutex
	// runs holds the number of executions by request name.
	runs map[string]int
	// rateLimit is the value of wire.HeaderRateLimit in responses, empty if the rate is not limited.
	rateLimit string
	// leaving is set while responses state that the upstream is about to leave.
	leaving bool
}

// Start starts an upstream on a loopback port. It does not announce the upstream.
func Start(id, service string, slots int) (*Upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		ID: id, Service: service, Slots: slots,
		executing: make(chan struct{}, slots),
		listener:  ln,
		runs:      make(map[string]int),
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(ln) }()
	return u, nil
}

// Address returns the host:port of the upstream.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Close closes the listener and all connections.
func (u *Upstream) Close() error { return u.server.Close() }

// Runs returns the number of executions of each request, by the name in HeaderRequest.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runsByRequest := make(map[string]int, len(u.runs))
	for k, v := range u.runs {
		runsByRequest[k] = v
	}
	return runsByRequest
}

// LimitRate makes the upstream state in all responses that it takes perSecond requests per second. A negative
// number lifts the limit.
func (u *Upstream) LimitRate(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = ""
	if perSecond >= 0 {
		u.rateLimit = strconv.FormatFloat(perSecond, 'g', -1, 64)
	}
}

// StateLeaving makes the upstream state in all responses that it is about to leave.
func (u *Upstream) StateLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// setStatements sets the headers by which the upstream limits the rate and states that it leaves.
func (u *Upstream) setStatements(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rateLimit != "" {
		h.Set(wire.HeaderRateLimit, u.rateLimit)
	}
	if u.leaving {
		h.Set(wire.HeaderLeaving, "true")
	}
}

// ServeHTTP executes one request: it waits for a slot, holds the slot while it reads the body and
// for the time in HeaderServiceTime, and responds with the request's name and body. A request that
// is cancelled or whose body cannot be read ends early, without the name and the body. A request to
// LoadPath needs no slot and is not counted.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == LoadPath {
		_, _ = fmt.Fprintf(w, `{"running": %d}`, len(u.executing))
		return
	}
	name := r.Header.Get(HeaderRequest)
	select {
	case u.executing <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.executing }()
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
	u.setStatements(w.Header())
	w.Header().Set(HeaderRequest, name)
	_, _ = fmt.Fprintf(w, "%s %s", name, body)
	if extra, err := strconv.ParseInt(r.Header.Get(HeaderExtraBytes), 10, 64); err == nil {
		_, _ = io.CopyN(w, zeroReader{}, extra)
	}
}

// maxCountedRequests is the number of request names whose executions are counted. When this number
// is reached, executions under new names are not counted.
const maxCountedRequests = 1 << 20

// countRun counts one execution of the request with the given name.
func (u *Upstream) countRun(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.runs[name]; known || len(u.runs) < maxCountedRequests {
		u.runs[name]++
	}
}

// serviceTimeOf returns the service time in HeaderServiceTime, or defaultServiceTime if the value
// is missing or malformed.
func serviceTimeOf(r *http.Request) time.Duration {
	serviceTime, err := time.ParseDuration(r.Header.Get(HeaderServiceTime))
	if err != nil {
		return defaultServiceTime
	}
	return serviceTime
}

// zeroReader is an endless stream of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Announce registers the upstream with the daemon at an admin address, or renews its registration.
// incarnation is the number of this run of the upstream, which rises with every restart. If
// draining is set, the announcement tells the daemon to send no new requests to the upstream. Any
// response but status 204 is an error.
func (u *Upstream) Announce(ctx context.Context, adminAddress string, incarnation uint64, draining bool) error {
	body, err := json.Marshal(map[string]any{
		"service": u.Service, "address": u.Address(), "slots": u.Slots,
		"incarnation": incarnation, "draining": draining, "load_path": LoadPath,
	})
	if err != nil {
		return err
	}
	url := "http://" + adminAddress + "/v1/upstreams/" + u.ID
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// A kept-alive connection would fail after a restart of the daemon.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announce %s: daemon responded with %s", u.ID, resp.Status)
	}
	return nil
}
