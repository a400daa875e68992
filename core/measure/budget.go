package measure

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Cost is what measuring takes from an upstream.
type Cost struct {
	// SlotTime is the time that polls and probes hold.
	SlotTime time.Duration
	// Connections counts connections opened for measuring.
	Connections int
	// Bytes counts the bytes carried in both directions.
	Bytes int
}

// Prices convert connections and bytes to slot time.
type Prices struct {
	// Connection is the slot time of a new connection. Default: 1ms.
	Connection time.Duration
	// Byte is the slot time of one byte. Default: 10ns.
	Byte time.Duration
}

// Options configure a Ledger.
type Options struct {
	// Share is the part of the upstream's slot time that measuring may take, 0
	// to 1. Zero forbids measuring.
	Share float64
	// Slots is the announced number of slots, at least 1.
	Slots int
	// Burst is the slot time that may be spent at once. Default: 20ms.
	Burst  time.Duration
	Prices Prices
}

const (
	defaultBurst          = 20 * time.Millisecond
	defaultConnectionTime = time.Millisecond
	defaultByteTime       = 10 * time.Nanosecond
)

// Ledger is the measuring budget of one upstream for one service. It is not
// safe for concurrent use.
type Budget struct {
	opts   Options
	tokens time.Duration
	// open is the sum of the reservations not settled yet. Tokens and open
	// together never exceed the burst, so that what is given back late cannot
	// be spent on top of a full burst.
	reserved   time.Duration
	refilledAt model.Instant
	spent      time.Duration
	refused    uint64
}

// Reservation is a cost set aside before measuring.
type Reservation struct {
	slotTime time.Duration
	pending  bool
}

// NewLedger returns a Ledger that can spend one burst at once.
func NewBudget(now model.Instant, opts Options) *Budget {
	opts.Slots = max(opts.Slots, 1)
	opts.Share = min(max(opts.Share, 0), 1)
	if opts.Burst <= 0 {
		opts.Burst = defaultBurst
	}
	if opts.Prices.Connection <= 0 {
		opts.Prices.Connection = defaultConnectionTime
	}
	if opts.Prices.Byte <= 0 {
		opts.Prices.Byte = defaultByteTime
	}
	l := &Budget{opts: opts, refilledAt: now, tokens: opts.Burst}
	if opts.Share == 0 {
		l.tokens = 0
	}
	return l
}

// Reserve sets aside the most that a measurement can cost. It reports false,
// and counts a refusal, when the budget does not allow it now.
func (l *Budget) Reserve(now model.Instant, maxCost Cost) (Reservation, bool) {
	l.refill(now)
	slotTime := l.slotTime(maxCost)
	if slotTime > l.tokens || l.opts.Share == 0 {
		l.refused++
		return Reservation{}, false
	}
	l.tokens -= slotTime
	l.reserved += slotTime
	l.spent += slotTime
	return Reservation{slotTime: slotTime, pending: true}, true
}

// Settle replaces a reservation by what the measurement cost. More than was
// reserved counts as what was reserved: the caller bounds the measurement by
// its reservation. Settling twice changes nothing.
func (l *Budget) Settle(now model.Instant, r *Reservation, cost Cost) {
	if !r.pending {
		return
	}
	r.pending = false
	l.refill(now)
	unused := r.slotTime - min(l.slotTime(cost), r.slotTime)
	l.spent -= unused
	l.reserved -= r.slotTime
	l.tokens += unused
}

// SetShare changes the budget from now on.
func (l *Budget) SetShare(now model.Instant, share float64) {
	l.refill(now)
	l.opts.Share = min(max(share, 0), 1)
}

// Spent returns the slot time booked so far, open reservations included.
func (l *Budget) Spent() time.Duration { return l.spent }

// Refused returns the number of measurements that the budget forbade.
func (l *Budget) Refused() uint64 { return l.refused }

// Burst returns the slot time that may be spent at once.
func (l *Budget) Burst() time.Duration { return l.opts.Burst }

func (l *Budget) slotTime(c Cost) time.Duration {
	return max(c.SlotTime, 0) +
		time.Duration(max(c.Connections, 0))*l.opts.Prices.Connection +
		time.Duration(max(c.Bytes, 0))*l.opts.Prices.Byte
}

// refill adds the share of the slot time since the last call.
func (l *Budget) refill(now model.Instant) {
	if now <= l.refilledAt {
		return
	}
	earned := float64(now.Sub(l.refilledAt)) * l.opts.Share * float64(l.opts.Slots)
	l.refilledAt = now
	room := float64(l.opts.Burst - l.reserved)
	l.tokens = time.Duration(min(float64(l.tokens)+earned, room))
}
