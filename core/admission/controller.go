package admission

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/fairqueue"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// Options configure a Controller.
type Options struct {
	// Slots is the number of requests that the upstream has announced it can
	// run at once. Default: 1.
	Slots int
	// QueueBound is the largest number of waiting requests of a group that is not
	// configured or sets no bound of its own. Default: 128.
	QueueBound int
	// TotalBound is the largest number of waiting requests of all groups
	// together. Default: 1024.
	TotalBound int
	// Limiter adapts the number of requests that run at once. Nil means a fixed
	// limit of Slots.
	Limiter Limiter
	// Starts limits the rate at which requests start. Nil means that it is not limited.
	Starts StartLimiter
}

const (
	// defaultQueueBound and defaultTotalBound are the defaults of
	// Options.QueueBound and Options.TotalBound.
	defaultQueueBound = 128
	defaultTotalBound = 1024
	// estimateMaxAge is the largest age of a group's slot time estimate at which
	// cannotEndInTime may use the estimate. The age is the time since a request of
	// the group last ended. An older estimate is ignored, so that a request runs
	// and updates the estimate. Otherwise an estimate that is too high would cause
	// every request of the group to be refused for ever.
	estimateMaxAge = time.Second
	// maxReportedDelay bounds the delay from which requestsInStartDelay is calculated, and the Retry-After
	// value of a request that could not start before its deadline. A rate limit may end at any moment.
	maxReportedDelay = time.Minute
)

// Controller queues, starts and refuses the requests for one upstream. It is not
// safe for concurrent use.
type Controller struct {
	opts    Options
	queue   *fairqueue.Queue
	limiter Limiter
	starts  StartLimiter
	// seq is the sequence number of the load; see model.Load.
	seq uint64
	// draining is set once Drain has been called.
	draining bool
	// suspended is set between Suspend and Resume.
	suspended bool
	// groupConfigs is a buffer that Configure reuses.
	groupConfigs []fairqueue.GroupConfig
}

// New returns a Controller for an upstream with the given options.
func New(opts Options) *Controller {
	if opts.Slots <= 0 {
		opts.Slots = 1
	}
	if opts.QueueBound <= 0 {
		opts.QueueBound = defaultQueueBound
	}
	if opts.TotalBound <= 0 {
		opts.TotalBound = defaultTotalBound
	}
	c := &Controller{opts: opts, limiter: opts.Limiter, starts: opts.Starts}
	c.queue = fairqueue.New(fairqueue.Options{QueueBound: opts.QueueBound})
	if c.limiter == nil {
		c.limiter = fixedLimit(opts.Slots)
	}
	if c.starts == nil {
		c.starts = noStartLimit{}
	}
	return c
}

// Configure replaces the configuration of all groups. Waiting requests keep
// their order within their group.
func (c *Controller) Configure(now model.Instant, groups []Group) {
	c.queue.ChargeRunning(now)
	c.groupConfigs = c.groupConfigs[:0]
	for _, g := range groups {
		c.groupConfigs = append(c.groupConfigs, fairqueue.GroupConfig{Group: g.Name, Weight: g.Weight, QueueBound: g.QueueBound, MaxRunning: g.MaxRunning})
	}
	c.queue.Configure(c.groupConfigs)
}

// Arrive starts, queues or refuses a request. It appends the resulting effects to
// the given slice and returns the slice. A request that gets no effect waits. When a
// queue bound is exceeded, Arrive may refuse a request that already waits instead of
// the arriving request.
func (c *Controller) Arrive(now model.Instant, a Arrival, effects []Effect) []Effect {
	c.seq++
	if c.draining || c.suspended {
		return append(effects, refusal(a.ID, outcome.ReasonDraining))
	}
	if a.Request.Deadline <= now {
		return append(effects, refusal(a.ID, outcome.ReasonDeadline))
	}
	if wait := c.estimateWait(now, a.Request); wait > 0 && now.Add(wait) >= a.Request.Deadline {
		return append(effects, refusalWithRetryAfter(a.ID, outcome.ReasonDeadline, min(wait, maxReportedDelay)))
	}
	c.queue.Push(fairqueue.Item{
		ID:       fairqueue.ID(a.ID),
		Group:    a.Request.Group,
		Caller:   a.Request.Caller,
		Deadline: a.Request.Deadline,
	})
	effects = c.startWaiting(now, effects)
	return c.enforceBounds(a.Request.Group, effects)
}

// Finish records the end of a started request and starts waiting requests. It
// appends the resulting effects to the given slice and returns the slice. It
// ignores an ID that no running request has.
func (c *Controller) Finish(now model.Instant, id ID, result Result, effects []Effect) []Effect {
	running := c.queue.Running()
	if !c.queue.Done(now, fairqueue.ID(id), result.SlotTime) {
		return effects
	}
	c.seq++
	if cutShort := result.Outcome.Kind != outcome.Answered && !result.Failed; !cutShort {
		c.limiter.Observe(now, result.SlotTime, running, result.Failed)
	}
	return c.startWaiting(now, effects)
}

// Withdraw removes a waiting request from the queue. It reports false when the request is
// not waiting. If Withdraw reports true, the request did not run, and no later call
// returns an effect for the request.
func (c *Controller) Withdraw(now model.Instant, id ID) bool {
	if !c.queue.Remove(fairqueue.ID(id)) {
		return false
	}
	c.seq++
	return true
}

// Expire refuses every waiting request whose deadline has passed. It appends the
// resulting effects to the given slice and returns the slice.
func (c *Controller) Expire(now model.Instant, effects []Effect) []Effect {
	for {
		id, ok := c.queue.RemoveExpired(now)
		if !ok {
			return effects
		}
		c.seq++
		effects = append(effects, refusal(ID(id), outcome.ReasonDeadline))
	}
}

// Advance refuses expired requests and starts those that Options.Starts lets start since the last call. It appends
// the resulting effects to the given slice and returns the slice.
func (c *Controller) Advance(now model.Instant, effects []Effect) []Effect {
	return c.startWaiting(now, effects)
}

// Drain refuses all waiting requests and every later arrival. These requests did
// not run. Running requests are not affected. Drain appends the resulting effects to the
// given slice and returns the slice.
func (c *Controller) Drain(now model.Instant, effects []Effect) []Effect {
	c.draining = true
	return c.refuseWaiting(effects)
}

// Suspend refuses all waiting requests and every later arrival until Resume is called. These requests
// did not run. Running requests are not affected. Suspend appends the resulting effects to the given
// slice and returns the slice.
func (c *Controller) Suspend(effects []Effect) []Effect {
	c.suspended = true
	return c.refuseWaiting(effects)
}

// Resume ends the effect of Suspend.
func (c *Controller) Resume() {
	c.suspended = false
	c.seq++
}

// refuseWaiting refuses all waiting requests.
func (c *Controller) refuseWaiting(effects []Effect) []Effect {
	c.seq++
	for {
		id, ok := c.queue.RemoveAny()
		if !ok {
			return effects
		}
		effects = append(effects, refusal(ID(id), outcome.ReasonDraining))
	}
}

// LoadFor returns the current load. Load.Ahead is the estimated number of waiting
// requests that would start before a new request of the given group.
func (c *Controller) LoadFor(now model.Instant, group model.GroupName) model.Load {
	load := c.Load(now)
	load.Ahead = int32(c.queue.EstimateAhead(group)) + c.requestsInStartDelay(now)
	return load
}

// requestsInStartDelay returns how many requests the upstream could serve while a new request waits because the rate
// of starts is limited. Entries take them for requests ahead of it.
func (c *Controller) requestsInStartDelay(now model.Instant) int32 {
	delay := min(c.starts.Delay(now, c.queue.Len()), maxReportedDelay)
	serviceTime := c.queue.MeanSlotTime()
	if delay <= 0 || serviceTime <= 0 {
		return 0
	}
	return int32(math.Ceil(float64(delay) / float64(serviceTime) * float64(c.limit())))
}

// Load returns the current load. Load.Ahead is the number of all waiting requests, and of those that
// requestsInStartDelay returns.
func (c *Controller) Load(now model.Instant) model.Load {
	return model.Load{
		Running:     int32(c.queue.Running()),
		Waiting:     int32(c.queue.Len()),
		Ahead:       int32(c.queue.Len()) + c.requestsInStartDelay(now),
		Limit:       int32(c.limit()),
		ServiceTime: c.queue.MeanSlotTime(),
		Draining:    c.draining || c.suspended,
		Seq:         c.seq,
	}
}

// Charged returns the slot time charged to a group so far.
func (c *Controller) Charged(name model.GroupName) time.Duration { return c.queue.Charged(name) }

func (c *Controller) limit() int { return max(c.limiter.Limit(), 1) }

// startWaiting refuses expired requests and starts waiting requests while slots
// are free. When the turn of a request comes and cannotEndInTime returns true for it,
// startWaiting refuses the request instead of starting it.
func (c *Controller) startWaiting(now model.Instant, effects []Effect) []Effect {
	effects = c.Expire(now, effects)
	for c.queue.Running() < c.limit() && c.starts.NextStart(now) == now {
		item, ok := c.queue.Pop(now)
		if !ok {
			return effects
		}
		if c.cannotEndInTime(now, item) {
			c.queue.CancelStart(item.ID)
			effects = append(effects, refusal(ID(item.ID), outcome.ReasonDeadline))
			continue
		}
		c.starts.RecordStart(now)
		effects = append(effects, Effect{ID: ID(item.ID), Kind: Start})
	}
	return effects
}

// cannotEndInTime reports whether item, whose turn it is, should be refused because
// it may end after its deadline. This is so when less time is left until the deadline
// than fairqueue.Estimate.Upper, a slot time that few requests of the group exceed.
// cannotEndInTime reports false when no other request waits for the slot. It also
// reports false when the group has no estimate that is recent enough.
func (c *Controller) cannotEndInTime(now model.Instant, item fairqueue.Item) bool {
	if c.queue.Len() == 0 {
		return false
	}
	estimate := c.queue.Estimate(item.Group)
	if !estimate.Known || now.Sub(estimate.Updated) > estimateMaxAge {
		return false
	}
	return now.Add(estimate.Upper) > item.Deadline
}

// estimateWait estimates how long an arriving request would wait: for a slot, which takes no time if one is
// free or if fairqueue.Queue.EstimateWait returns 0, and because the rate of starts is limited.
func (c *Controller) estimateWait(now model.Instant, r model.Request) time.Duration {
	wait := c.starts.Delay(now, c.queue.Len())
	if c.queue.Running() < c.limit() {
		return wait
	}
	return max(wait, c.queue.EstimateWait(r.Group, r.Caller, c.limit()))
}

// enforceBounds refuses one waiting request if the group exceeds its queue bound.
// It refuses one more if the whole queue still exceeds TotalBound. Each arrival adds
// at most one request, so calling enforceBounds on each arrival keeps both bounds.
func (c *Controller) enforceBounds(group model.GroupName, effects []Effect) []Effect {
	if c.queue.OverBound(group) {
		wait := c.queue.EstimateWait(group, "", c.limit())
		if id, ok := c.queue.DropOldest(group); ok {
			effects = append(effects, refusalWithRetryAfter(ID(id), outcome.ReasonQueueFull, wait))
		}
	}
	if c.queue.Len() > c.opts.TotalBound {
		if id, ok := c.queue.DropFromLargestBacklog(); ok {
			effects = append(effects, refusal(ID(id), outcome.ReasonShed))
		}
	}
	return effects
}

func refusal(id ID, r outcome.Reason) Effect {
	return Effect{ID: id, Kind: Refuse, Outcome: outcome.NotRunBecause(r)}
}

func refusalWithRetryAfter(id ID, r outcome.Reason, wait time.Duration) Effect {
	e := refusal(id, r)
	e.Outcome.RetryAfter = wait
	return e
}
