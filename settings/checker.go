package settings

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// checker validates fields and keeps the error of the first invalid one.
type checker struct {
	firstError *FieldError
}

// result returns the error of the first invalid field, or nil.
func (c *checker) result() error {
	if c.firstError == nil {
		return nil
	}
	return c.firstError
}

// fail records an invalid field, unless an earlier one is recorded already.
func (c *checker) fail(path, value, message string) {
	if c.firstError == nil {
		c.firstError = &FieldError{Path: path, Value: value, Message: message}
	}
}

// checkNotEmpty checks that a value is not empty.
func (c *checker) checkNotEmpty(path, value string) {
	if value == "" {
		c.fail(path, strconv.Quote(value), "must be set")
	}
}

// checkAddress checks that a value is host:port, where the host is an IP address or
// empty and the port is from 0 to 65535.
func (c *checker) checkAddress(path, value string) {
	c.checkNotEmpty(path, value)
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.fail(path, strconv.Quote(value), `want host:port such as "127.0.0.1:8080"`)
		return
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.fail(path, strconv.Quote(value), "port must be from 0 to 65535")
	}
	if host != "" && net.ParseIP(host) == nil {
		c.fail(path, strconv.Quote(value), "host must be an IP address")
	}
}

// checkDuration checks that d is from low to high.
func (c *checker) checkDuration(path string, d policy.Duration, low, high time.Duration) {
	if v := time.Duration(d); v < low || v > high {
		c.fail(path, strconv.Quote(v.String()), "must be from "+low.String()+" to "+high.String())
	}
}

// checkNumber checks that v is from low to high.
func (c *checker) checkNumber(path string, v, low, high int64) {
	if v < low || v > high {
		message := "must be from " + strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
		c.fail(path, strconv.FormatInt(v, 10), message)
	}
}

// checkOneOf checks that a value is one of the allowed values.
func (c *checker) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fail(path, strconv.Quote(value), "must be one of "+strings.Join(allowed, ", "))
	}
}

// isLoopback reports whether the host of an address is a loopback address, which
// only processes on this VM can reach.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
