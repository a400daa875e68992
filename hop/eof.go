package hop

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// orderlyConn is a connection whose Read returns io.EOF only if the other side has ended its stream in
// order. The body of a response without a length is complete then, and only then.
//
// Linux reports the loss of a connection, such as a reset, to one system call only. If that call is a write,
// later reads return the bytes that had arrived, and then the end of the stream as if it were in order.
type orderlyConn struct {
	net.Conn

	// mu is held during a Write.
	mu sync.Mutex
	// lost is the error of the first Write that has learned of the loss of the connection.
	lost error
}

// Write implements net.Conn.
func (c *orderlyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether a write failed because the connection was lost while the other side could still send.
// EPIPE shows that the other side had ended its stream before, and the other two errors are due to this side.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn. At the end of the stream, it interrupts a Write in progress, whose result shows
// whether the end is in order.
func (c *orderlyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return n, fmt.Errorf("connection lost: %w", c.lost)
	}
	return n, err
}
