package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// recordingLimiter is a Limiter that records the observed slot times.
type recordingLimiter struct{ observedSlotTimes []time.Duration }

func (l *recordingLimiter) Limit() int { return 4 }

func (l *recordingLimiter) Observe(_ model.Instant, slotTime time.Duration, _ int, _ bool) {
	l.observedSlotTimes = append(l.observedSlotTimes, slotTime)
}

func TestLimiterDoesNotObserveCancelledRequests(t *testing.T) {
	limiter := &recordingLimiter{}
	c := New(Options{Slots: 4, Limiter: limiter})
	results := []Result{
		{Outcome: outcome.ResponseComplete(), SlotTime: 1},
		{Outcome: outcome.UnknownBecause(outcome.ReasonCancelled), SlotTime: 2},
		{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost), SlotTime: 3, Failed: true},
	}
	for i, result := range results {
		id := ID(i + 1)
		c.Arrive(0, Arrival{ID: id, Request: model.Request{Deadline: 10}}, nil)
		c.Finish(1, id, result, nil)
	}
	assert.Equal(t, []time.Duration{1, 3}, limiter.observedSlotTimes)
}
