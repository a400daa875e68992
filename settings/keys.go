package settings

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// Keys configures the ownership of idempotency keys. Each key belongs to one
// daemon, its owner, which makes sure that a non-idempotent request with the key
// runs at most once.
type Keys struct {
	// Grant is how far ahead of the present time a daemon's ownership of its keys
	// reaches. An owner appends an extension to the log before its grant ends. With
	// a longer grant, requests with a key survive a longer outage of the log. But
	// if an owner crashes, its keys stay without an owner until the grant ends.
	Grant policy.Duration `json:"grant"`
	// Retention is how long a key is remembered, counted from the timestamp in
	// the key.
	Retention policy.Duration `json:"retention"`
	// MaxClaims bounds the number of keys that are remembered.
	MaxClaims int `json:"max_claims"`
	// MaxAnswersBytes bounds the total size of the retained responses. A retained
	// response is sent again when the caller repeats the request.
	MaxAnswersBytes int `json:"max_answers_bytes"`
	// MaxAnswerBytes is the size of the largest single response that is retained.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// MaxBodyBytes bounds the body of a request with an idempotency key.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

const (
	defaultGrant             = 60 * time.Second
	defaultRetention         = 10 * time.Minute
	defaultMaxClaims         = 1 << 16
	defaultMaxAnswersBytes   = 4 << 20
	defaultMaxAnswerBytes    = 64 << 10
	defaultMaxKeyedBodyBytes = 256 << 10
	maxRetention             = 24 * time.Hour
)

func defaultKeys() Keys {
	return Keys{
		Grant:           policy.Duration(defaultGrant),
		Retention:       policy.Duration(defaultRetention),
		MaxClaims:       defaultMaxClaims,
		MaxAnswersBytes: defaultMaxAnswersBytes,
		MaxAnswerBytes:  defaultMaxAnswerBytes,
		MaxBodyBytes:    defaultMaxKeyedBodyBytes,
	}
}

func (k Keys) check(c *checker) {
	c.checkDuration("keys.grant", k.Grant, time.Second, maxTimeout)
	c.checkDuration("keys.retention", k.Retention, time.Second, maxRetention)
	c.checkNumber("keys.max_claims", int64(k.MaxClaims), 1, 1<<24)
	c.checkNumber("keys.max_answers_bytes", int64(k.MaxAnswersBytes), 0, 1<<30)
	c.checkNumber("keys.max_answer_bytes", k.MaxAnswerBytes, 1, 1<<24)
	c.checkNumber("keys.max_body_bytes", k.MaxBodyBytes, 1, 1<<24)
}
