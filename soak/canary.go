package soak

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// canaryInterval is the time between two canary requests.
	canaryInterval = 100 * time.Millisecond
	// canaryMemory is how long the duration of a completed canary request counts.
	canaryMemory = 2 * time.Second
	// maxCanaries is the maximum number of canary requests in progress. Beyond it, no more are
	// sent until one completes.
	maxCanaries = 200
)

// canary measures how late this process handles requests. The stand-in upstreams and the proxies run
// in the process of the soak. On a machine with too much other work, a request may have been in
// their sockets for seconds when an upstream starts it. A canary request takes the same way, over a
// new connection, through a proxy without faults, to an HTTP server of this process.
type canary struct {
	proxy  *proxy
	server *http.Server
	client *http.Client

	mu sync.Mutex
	// startedAt holds the start times of the requests in progress, by number.
	startedAt map[int]time.Time
	// completed holds the durations of the requests that completed within canaryMemory.
	completed []canaryResult
	// sent is the number of requests sent so far.
	sent int
}

// canaryResult is a completed canary request.
type canaryResult struct {
	at       time.Time
	duration time.Duration
}

func newCanary() *canary {
	return &canary{
		startedAt: make(map[int]time.Time),
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run sends a request to url each canaryInterval until ctx ends.
func (c *canary) run(ctx context.Context, url string) {
	ticker := time.NewTicker(canaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if number, ok := c.begin(time.Now()); ok {
			go c.request(ctx, url, number)
		}
	}
}

// request sends one request and waits for the response.
func (c *canary) request(ctx context.Context, url string, number int) {
	defer func() { c.end(number, time.Now()) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	if resp, err := c.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// begin records the start of a request and returns its number. It returns false if maxCanaries are
// in progress.
func (c *canary) begin(now time.Time) (number int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.startedAt) >= maxCanaries {
		return 0, false
	}
	c.sent++
	c.startedAt[c.sent] = now
	return c.sent, true
}

// end records the completion of a request.
func (c *canary) end(number int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed = append(c.completed, canaryResult{at: now, duration: now.Sub(c.startedAt[number])})
	delete(c.startedAt, number)
}

// delay returns the longest time that a canary request has taken: of those in progress, and of those
// that completed within canaryMemory.
func (c *canary) delay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.completed) > 0 && now.Sub(c.completed[0].at) > canaryMemory {
		c.completed = c.completed[1:]
	}
	var longest time.Duration
	for _, r := range c.completed {
		longest = max(longest, r.duration)
	}
	for _, t := range c.startedAt {
		longest = max(longest, now.Sub(t))
	}
	return longest
}

// start starts the server at address and the proxy in front of it at proxyAddress, and runs the
// canary until ctx ends.
func (c *canary) start(ctx context.Context, address, proxyAddress string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	c.server = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = c.server.Serve(ln) }()
	if c.proxy, err = newProxy(proxyAddress, address); err != nil {
		return err
	}
	go c.run(ctx, "http://"+proxyAddress+"/")
	return nil
}

// close stops the server and the proxy.
func (c *canary) close() {
	if c.server != nil {
		_ = c.server.Close()
	}
	if c.proxy != nil {
		c.proxy.close()
	}
}
