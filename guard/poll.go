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
	"github.com/dottereltiller/dottereltiller/hop"
)

// DefaultMeasuringBudget is the share of each upstream's slot time that may be spent
// on polling load reports. It applies to services whose configuration sets no share.
// Slot time is time multiplied by slots: an upstream with six slots has six seconds of
// slot time in each second.
const DefaultMeasuringBudget = 0.005

const (
	// pollTimeout bounds the duration of a poll, and thus the slot time that the
	// poll can take.
	pollTimeout = 10 * time.Millisecond
	// maxReportBytes is the largest size of a load report, and of the header of the
	// response that contains it. Only the first maxReportBytes of a larger report
	// are read.
	maxReportBytes = 4 << 10
	// pollOverheadBytes is the assumed size of everything that a poll transfers
	// besides the load report.
	pollOverheadBytes = 512
	// maxReportedRunning caps the number of running requests in a report. A larger
	// number is replaced by it.
	maxReportedRunning = 1 << 20
)

// maxPollCost is the largest possible cost of a poll. It covers two connections,
// since a connection that was lost is opened again.
var maxPollCost = measure.Cost{SlotTime: pollTimeout, Connections: 2, Bytes: maxReportBytes + pollOverheadBytes}

// loadReport is the body of an upstream's load report, the upstream's own statement of
// its load. JSON fields other than "running" are ignored.
type loadReport struct {
	// Running is the number of requests that run in the upstream. It is nil when
	// the report has no such field.
	Running *int `json:"running"`
}

// poller fetches load reports from upstreams.
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
			Transport: hop.NewTransport(&http.Transport{
				DisableCompression:     true,
				MaxConnsPerHost:        1,
				MaxResponseHeaderBytes: maxReportBytes,
				IdleConnTimeout:        time.Minute,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// startDuePolls starts a poll of each upstream for which a poll is due.
func (g *Guard) startDuePolls(ctx context.Context) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, u := range g.upstreams {
		reservation, due := u.reservePoll(g.poller)
		if due {
			go g.poller.poll(ctx, u, &reservation)
		}
	}
}

// PollSlotTime returns, for each upstream, the slot time that has been spent so
// far on polling the upstream's load report.
func (g *Guard) PollSlotTime() map[model.UpstreamID]time.Duration {
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

// reservePoll reserves the largest possible cost of a poll in the measuring budget.
// It reports false when no poll is due, when a poll is running, or when the budget is
// exhausted. It also reports false when the upstream has no load report. An exhausted
// budget is counted as the poll result "over-budget".
func (u *upstreamProxy) reservePoll(p *poller) (measure.Reservation, bool) {
	if u.upstream.LoadPath == "" {
		return measure.Reservation{}, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.polling {
		return measure.Reservation{}, false
	}
	refusalsBefore := u.monitor.Refused()
	reservation, ok := u.monitor.BeginPoll(u.now(), maxPollCost)
	if u.monitor.Refused() != refusalsBefore {
		p.countPoll("over-budget")
	}
	u.polling = ok
	return reservation, ok
}

// poll fetches the load report of an upstream, passes it to the upstream's monitor, and
// charges the cost of the poll to the reservation.
func (p *poller) poll(ctx context.Context, u *upstreamProxy, reservation *measure.Reservation) {
	startedAt := u.now()
	report, cost, err := p.fetch(ctx, "http://"+u.upstream.Address+u.upstream.LoadPath)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.polling = false
	now := u.now()
	cost.SlotTime = now.Sub(startedAt)
	if err != nil {
		u.monitor.PollFailed(now, reservation, cost)
		p.countPoll("failed")
		return
	}
	countsBefore := u.monitor.Counts()
	u.monitor.PollSucceeded(now, reservation, cost, report, u.limiter.Slowed())
	p.countPoll(pollResult(countsBefore, u.monitor.Counts()))
}

// pollResult returns the result of a successful poll as a value of the metric tag
// "result". before and after are the monitor's counts before and after it received the
// report. The result is "contradicted" or "unsupported" when the corresponding count has
// changed, and "agreed" otherwise.
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

// countPoll adds one to the metric that counts polls with the given result.
func (p *poller) countPoll(result string) {
	p.scope.Tagged(map[string]string{"result": result}).Counter("polls").Inc(1)
}

var errNoRunningCount = errors.New("load report has no valid number of running requests")

// fetch fetches a load report. It returns the report and the cost of the poll. The cost
// lacks the slot time, which poll adds.
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

// parseReport decodes a load report. It returns an error when data is not valid JSON, or
// when the number of running requests is missing or negative.
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
