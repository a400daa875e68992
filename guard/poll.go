package guard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/measure"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// DefaultMeasuringBudget is the share of slot time that measuring may take at a
// service that names none.
const DefaultMeasuringBudget = 0.005

const (
	// pollTimeout bounds a poll, and so the slot time it can take.
	pollTimeout = 10 * time.Millisecond
	// maxReport bounds a load report, in bytes; pollOverhead is the size of the
	// rest of a poll.
	maxReportBytes    = 4 << 10
	pollOverheadBytes = 512
	// maxRunning bounds what a report may claim.
	maxReportedRunning = 1 << 20
)

// most is the most that a poll can cost. A lost connection is made once more.
var maxPollCost = measure.Cost{SlotTime: pollTimeout, Connections: 2, Bytes: maxReportBytes + pollOverheadBytes}

// report is an upstream's load report. Other fields are passed over.
type loadReport struct {
	Running *int `json:"running"`
}

// poller fetches load reports.
type poller struct {
	client  *http.Client
	scope   tally.Scope
	timeout time.Duration
}

func newPoller(scope tally.Scope) *poller {
	return &poller{
		scope:   scope,
		timeout: pollTimeout,
		client: &http.Client{
			Transport: &http.Transport{
				DisableCompression:     true,
				MaxConnsPerHost:        1,
				MaxResponseHeaderBytes: maxReportBytes,
				IdleConnTimeout:        time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// poll starts the polls that are due.
func (g *Guard) poll(ctx context.Context) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, u := range g.upstreams {
		reservation, due := u.reservePoll(g.poller)
		if due {
			go g.poller.poll(ctx, u, &reservation)
		}
	}
}

// Measured returns the slot time that measuring has taken from each upstream.
func (g *Guard) Measured() map[model.UpstreamID]time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	slotTime := make(map[model.UpstreamID]time.Duration, len(g.upstreams))
	for id, u := range g.upstreams {
		slotTime[id] = u.measuringSlotTime()
	}
	return slotTime
}

func (u *upstreamProxy) measuringSlotTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.monitor.Spent()
}

// pollDue reserves the cost of a poll when one is due and allowed.
func (u *upstreamProxy) reservePoll(p *poller) (measure.Reservation, bool) {
	if u.upstream.LoadPath == "" {
		return measure.Reservation{}, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.polling {
		return measure.Reservation{}, false
	}
	refusedBefore := u.monitor.Refused()
	reservation, ok := u.monitor.Poll(u.now(), maxPollCost)
	if u.monitor.Refused() != refusedBefore {
		p.count("over-budget")
	}
	u.polling = ok
	return reservation, ok
}

// poll fetches one report and books its cost.
func (p *poller) poll(ctx context.Context, u *upstreamProxy, reservation *measure.Reservation) {
	startedAt := u.now()
	report, cost, err := p.fetch(ctx, "http://"+u.upstream.Address+u.upstream.LoadPath)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.polling = false
	now := u.now()
	cost.SlotTime = now.Sub(startedAt)
	if err != nil {
		u.monitor.Failed(now, reservation, cost)
		p.count("failed")
		return
	}
	before := u.monitor.Counts()
	u.monitor.Reported(now, reservation, cost, report, u.limiter.Slowed())
	p.count(pollResult(before, u.monitor.Counts()))
}

func pollResult(before, after measure.Counts) string {
	switch {
	case after.Contradicted != before.Contradicted:
		return "contradicted"
	case after.Unsupported != before.Unsupported:
		return "unsupported"
	default:
		return "agreed"
	}
}

func (p *poller) count(result string) {
	p.scope.Tagged(map[string]string{"result": result}).Counter("polls").Inc(1)
}

var errNoRunningCount = errors.New("load report does not say what runs")

// fetch gets a report and tells what it took besides time.
func (p *poller) fetch(ctx context.Context, url string) (measure.Report, measure.Cost, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var cost measure.Cost
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if !i.Reused {
			cost.Connections++
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return measure.Report{}, cost, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return measure.Report{}, cost, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	cost.Bytes = len(data) + pollOverheadBytes
	if err != nil {
		return measure.Report{}, cost, err
	}
	if resp.StatusCode != http.StatusOK {
		return measure.Report{}, cost, fmt.Errorf("load report: upstream answered %s", resp.Status)
	}
	report, err := parseReport(data)
	return report, cost, err
}

func parseReport(data []byte) (measure.Report, error) {
	var report loadReport
	if err := json.Unmarshal(data, &report); err != nil {
		return measure.Report{}, err
	}
	if report.Running == nil || *report.Running < 0 {
		return measure.Report{}, errNoRunningCount
	}
	return measure.Report{Running: min(*report.Running, maxReportedRunning)}, nil
}
