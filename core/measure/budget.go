package measure

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Cost is the load that a measurement puts on an upstream.
type Cost struct {
	// SlotTime is the time for which polls and probes occupy a slot of the upstream.
	SlotTime time.Duration
	// Connections counts the connections opened for measuring.
	Connections int
	// Bytes counts the bytes transferred in both directions.
	Bytes int
}

// Prices are the rates at which connections and bytes are converted to slot time.
type Prices struct {
	// Connection is the slot time charged for a new connection. Default: 1ms.
	Connection time.Duration
	// Byte is the slot time charged for one byte. Default: 10ns.
	Byte time.Duration
}

// Options configure a Budget.
type Options struct {
	// Share is the share of the upstream's slot time that measuring may take, from 0 to 1. The
	// slot time of a period is its length times Slots. Zero forbids measuring.
	Share float64
	// Slots is the announced number of slots, at least 1.
	Slots int
	// Burst is the slot time that may be charged at once. Default: 20ms.
	Burst time.Duration
	// Prices are the slot times charged for connections and bytes.
	Prices Prices
}

const (
	defaultBurst          = 20 * time.Millisecond
	defaultConnectionTime = time.Millisecond
	defaultByteTime       = 10 * time.Nanosecond
)

// Budget is the measuring budget of one upstream for one service: a token bucket of
// slot time. It is not safe for concurrent use.
type Budget struct {
	opts Options
	// tokens is the slot time that can be reserved now.
	tokens time.Duration
	// reservedTime is the sum of the pending reservations. tokens plus reservedTime never
	// exceed the burst. Otherwise slot time returned by a late Settle could be spent in
	// addition to a full burst.
	reservedTime time.Duration
	// refilledAt is when tokens were last added.
	refilledAt model.Instant
	// chargedTime is the slot time charged so far, including pending reservations.
	chargedTime time.Duration
	// refusalCount counts the measurements that the budget did not allow.
	refusalCount uint64
}

// Reservation is the slot time reserved for a measurement.
type Reservation struct {
	slotTime time.Duration
	// pending is set until the reservation is settled.
	pending bool
}

// NewBudget returns a Budget from which one burst can be charged immediately.
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
	b := &Budget{opts: opts, refilledAt: now, tokens: opts.Burst}
	if opts.Share == 0 {
		b.tokens = 0
	}
	return b
}

// Reserve reserves slot time for maxCost, the largest possible cost of a measurement. It
// returns false, and counts a refusal, if the budget does not allow that cost now.
func (b *Budget) Reserve(now model.Instant, maxCost Cost) (Reservation, bool) {
	b.refill(now)
	slotTime := b.slotTime(maxCost)
	if slotTime > b.tokens || b.opts.Share == 0 {
		b.refusalCount++
		return Reservation{}, false
	}
	b.tokens -= slotTime
	b.reservedTime += slotTime
	b.chargedTime += slotTime
	return Reservation{slotTime: slotTime, pending: true}, true
}

// Settle replaces a reservation by the actual cost of the measurement and returns the unused
// slot time to the budget. A cost above the reservation counts as the reserved cost, since the
// caller bounds the measurement by its reservation. Settling a reservation again has no effect.
func (b *Budget) Settle(now model.Instant, r *Reservation, cost Cost) {
	if !r.pending {
		return
	}
	r.pending = false
	b.refill(now)
	unused := r.slotTime - min(b.slotTime(cost), r.slotTime)
	b.chargedTime -= unused
	b.reservedTime -= r.slotTime
	b.tokens += unused
}

// SetShare changes the share of slot time that measuring may take (see Options.Share).
func (b *Budget) SetShare(now model.Instant, share float64) {
	b.refill(now)
	b.opts.Share = min(max(share, 0), 1)
}

// Spent returns the slot time charged so far, including pending reservations.
func (b *Budget) Spent() time.Duration { return b.chargedTime }

// Refused returns the number of measurements that the budget did not allow.
func (b *Budget) Refused() uint64 { return b.refusalCount }

// Burst returns the slot time that may be charged at once.
func (b *Budget) Burst() time.Duration { return b.opts.Burst }

// slotTime converts a cost to slot time.
func (b *Budget) slotTime(c Cost) time.Duration {
	return max(c.SlotTime, 0) +
		time.Duration(max(c.Connections, 0))*b.opts.Prices.Connection +
		time.Duration(max(c.Bytes, 0))*b.opts.Prices.Byte
}

// refill adds the tokens earned since the last call, up to the burst minus the pending
// reservations.
func (b *Budget) refill(now model.Instant) {
	if now <= b.refilledAt {
		return
	}
	earned := float64(now.Sub(b.refilledAt)) * b.opts.Share * float64(b.opts.Slots)
	b.refilledAt = now
	capacity := float64(b.opts.Burst - b.reservedTime)
	b.tokens = time.Duration(min(float64(b.tokens)+earned, capacity))
}
