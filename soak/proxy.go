package soak

import (
	"net"
	"sync"
	"time"
)

// link is a proxy for TCP and UDP in front of one address.
type link struct {
	address string
	target  string
	tcp     net.Listener
	udp     *net.UDPConn

	mu    sync.Mutex
	mode  string
	conns map[net.Conn]bool
	// deaf holds the connections that were open when they went silent; they stay
	// so for good.
	deaf map[net.Conn]bool
	// flows holds a socket for each sender of datagrams.
	flows map[string]net.Conn
}

const (
	delayBy      = 60 * time.Millisecond
	trickleBytes = 16
	trickleEvery = 5 * time.Millisecond
	copyBytes    = 32 << 10
)

func newLink(address, target string) (*link, error) {
	l := &link{address: address, target: target, conns: make(map[net.Conn]bool), deaf: make(map[net.Conn]bool), flows: make(map[string]net.Conn)}
	var err error
	if l.tcp, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	if l.udp, err = net.ListenUDP("udp4", udp); err != nil {
		return nil, err
	}
	go l.accept()
	go l.datagrams()
	return l, nil
}

// set changes what happens to what passes. Empty means that it passes.
func (l *link) set(mode string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	for c := range l.conns {
		switch mode {
		case "reset":
			reset(c)
		case "silent":
			l.deaf[c] = true
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) current(c net.Conn) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deaf[c] {
		return "silent"
	}
	return l.mode
}

func (l *link) close() {
	_ = l.tcp.Close()
	_ = l.udp.Close()
	l.set("reset")
}

func (l *link) accept() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	if l.current(nil) == "reset" {
		reset(in)
		return
	}
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(in)
		return
	}
	l.track(in, out, true)
	defer l.track(in, out, false)
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(out, in, in, false) })
	wg.Go(func() { l.copy(in, out, in, true) })
	wg.Wait()
}

func (l *link) track(in, out net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range []net.Conn{in, out} {
		if open {
			l.conns[c] = true
		} else {
			delete(l.conns, c)
			delete(l.deaf, c)
		}
	}
}

// copy passes on what comes, in the mode of the moment. In half mode what goes
// back is dropped.
func (l *link) copy(dst, src, key net.Conn, back bool) {
	buf := make([]byte, copyBytes)
	for {
		n, err := src.Read(buf)
		switch mode := l.current(key); {
		case mode == "silent" || mode == "half" && back:
			// What is lost on the way is lost for good.
			l.mu.Lock()
			l.deaf[key] = true
			l.mu.Unlock()
			if err != nil {
				time.Sleep(maxFault)
			}
		case mode == "delay":
			time.Sleep(delayBy)
			_, _ = dst.Write(buf[:n])
		case mode == "trickle":
			trickle(dst, buf[:n])
		default:
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			l.end(dst, err)
			return
		}
	}
}

// end passes on how a connection ended.
func (l *link) end(dst net.Conn, err error) {
	if t, ok := dst.(*net.TCPConn); ok && err.Error() == "EOF" {
		_ = t.CloseWrite()
		return
	}
	reset(dst)
}

func trickle(dst net.Conn, b []byte) {
	for len(b) > 0 {
		n := min(len(b), trickleBytes)
		if _, err := dst.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
		time.Sleep(trickleEvery)
	}
}

const (
	// datagramBytes is more than a datagram of a daemon.
	datagramBytes = 2 << 10
	// flowIdle is how long the socket of a sender is kept that gets no answer: with
	// a hundred daemons each link has a hundred senders.
	flowIdle = 3 * time.Second
)

// datagrams passes datagrams on, each sender over a socket of its own.
func (l *link) datagrams() {
	buf := make([]byte, datagramBytes)
	for {
		n, from, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if mode := l.current(nil); mode == "silent" || mode == "reset" {
			continue
		}
		if out := l.flow(from); out != nil {
			_, _ = out.Write(buf[:n])
		}
	}
}

// flow returns the socket of a sender, nil when there can be none.
func (l *link) flow(from *net.UDPAddr) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := from.String()
	if out := l.flows[key]; out != nil {
		return out
	}
	out, err := net.Dial("udp4", l.target)
	if err != nil {
		return nil
	}
	l.flows[key] = out
	go l.answers(out, key, from)
	return out
}

// answers passes answers back until there is none for a while, or the target is not
// there.
func (l *link) answers(out net.Conn, key string, to *net.UDPAddr) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.flows, key)
		_ = out.Close()
	}()
	buf := make([]byte, datagramBytes)
	for {
		_ = out.SetReadDeadline(time.Now().Add(flowIdle))
		n, err := out.Read(buf)
		if err != nil {
			return
		}
		if mode := l.current(nil); mode != "silent" && mode != "half" {
			_, _ = l.udp.WriteToUDP(buf[:n], to)
		}
	}
}
