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
	// errSealed is returned by writes to a sealed connection.
	errSealed = errors.New("connection sealed after its attempt was abandoned")
	// errUnsolicited is returned when a response arrived although no byte of
	// the attempt was written.
	errUnsolicited = errors.New("connection holds an unsolicited response")
)

// countingConn is a connection of a Transport. It counts the bytes written. It
// can be sealed: every later write then fails with errSealed.
//
// A countingConn also detects unread bytes on a reused connection. The
// Transport would take these bytes for the response to its next request. Once
// the Transport has consumed all bytes, it blocks in Read. The first write of
// an attempt on a reused connection therefore waits until a Read is in
// progress. If none is in progress after readerTimeout, the write seals the
// connection and fails.
type countingConn struct {
	net.Conn
	// reading is set while a Read is in progress.
	reading atomic.Bool
	// writtenBytes is the number of bytes written so far. It changes only under mu.
	writtenBytes atomic.Int64

	// mu is held during a Write.
	mu sync.Mutex
	// sealed makes all further writes fail.
	sealed bool
	// checkUnread makes the next write check for unread bytes.
	checkUnread bool
}

// Read implements net.Conn. A Read in progress shows that the bytes of earlier
// reads were consumed.
func (c *countingConn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	return n, err
}

const (
	// readerTimeout is how long the Transport may take from the end of a
	// response to its next Read.
	readerTimeout = 20 * time.Millisecond
	// readerPollInterval is the time between two checks whether a Read is in
	// progress.
	readerPollInterval = 50 * time.Microsecond
	// maxYields is how many times waitForReader yields the processor before it
	// begins to sleep between checks.
	maxYields = 32
)

// waitForReader waits until the Transport is blocked in Read, at most for
// readerTimeout. It reports whether the Transport is blocked in Read, which
// means that no unread bytes are left.
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

// Write implements net.Conn. It fails with errSealed on a sealed connection, and
// when the check for unread bytes seals the connection.
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
	c.writtenBytes.Add(int64(n))
	return n, err
}

// beginAttempt begins an attempt and returns the number of bytes written so
// far. On a reused connection, the next Write first checks for unread bytes,
// which would be an unsolicited response.
func (c *countingConn) beginAttempt(reused bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkUnread = reused
	return c.writtenBytes.Load()
}

// sealIfUnsent seals the connection if no byte was written since beginAttempt
// returned writtenBefore. It reports whether it sealed the connection. If so,
// no byte can be written any more.
func (c *countingConn) sealIfUnsent(writtenBefore int64) bool {
	if c.writtenBytes.Load() != writtenBefore {
		// A Write of more bytes may be blocked until the server reads them.
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writtenBytes.Load() != writtenBefore {
		return false
	}
	c.sealed = true
	return true
}
