package hop

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// errSealed is what a sealed connection answers to a write.
	errSealed = errors.New("connection sealed after its attempt was given up")
	// errUnsolicited tells that bytes were left over from an earlier answer.
	errUnsolicited = errors.New("connection holds bytes of no answer")
)

// countingConn counts the bytes written, and can be sealed against further
// writes.
//
// It also finds out whether a connection that is used again still holds bytes
// that belong to no answer, which the Transport would take for the next one.
// When it holds none, the Transport waits in Read; so the first write of an
// attempt needs a Read that is under way.
type countingConn struct {
	net.Conn
	reading atomic.Bool

	mu      sync.Mutex
	written int64
	sealed  bool
	// checkUnread makes the next write look for bytes left over.
	checkUnread bool
}

// Read reads, and marks that nothing read before is left.
func (c *countingConn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	return n, err
}

const (
	// readerTimeout is how long the Transport may take from the end of one
	// answer until it waits for the next.
	readerTimeout      = 20 * time.Millisecond
	readerPollInterval = 50 * time.Microsecond
	// maxYields is how often the processor is yielded before it sleeps.
	maxYields = 32
)

// waitForReader reports whether the Transport waits for bytes, so that none are left.
func (c *countingConn) waitForReader() bool {
	for range maxYields {
		if c.reading.Load() {
			return true
		}
		runtime.Gosched()
	}
	deadline := time.Now().Add(readerTimeout)
	for !c.reading.Load() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(readerPollInterval)
	}
	return true
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checkUnread && !c.sealed {
		c.checkUnread = false
		c.sealed = !c.waitForReader()
	}
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// beginAttempt starts an attempt and returns the count of bytes written so far.
func (c *countingConn) beginAttempt(reused bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkUnread = reused
	return c.written
}

// sealIfUnsent seals the connection when nothing was written since the
// count was base, and reports whether it did. After true no byte can go out.
func (c *countingConn) sealIfUnsent(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != writtenBefore {
		return false
	}
	c.sealed = true
	return true
}
