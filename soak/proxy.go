package soak

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections and UDP datagrams from one address to another and injects
// network faults.
type proxy struct {
	// address is the address at which the proxy listens.
	address string
	// target is the address to which the proxy forwards.
	target string
	// links are the links over the proxy if it is one between daemons.
	links atomic.Pointer[daemonLinks]
	// udp is the socket at address for datagrams.
	udp *net.UDPConn

	mu sync.Mutex
	// tcp is the listener at address.
	tcp net.Listener
	// mode is the injected fault, one of the modes of proxies in faultModes, or empty.
	mode string
	// conns holds the open connections to clients and to the target.
	conns map[net.Conn]bool
	// clients holds the open connections to clients.
	clients map[net.Conn]*client
	// silenced holds the connections on which the proxy forwards no more data, even after the mode
	// has changed. A connection is added if it is open when the mode becomes silent. It is also
	// added when the proxy drops data on it in mode silent or half.
	silenced map[net.Conn]bool
	// udpConns holds a socket to the target for each sender of datagrams, by the sender's address.
	udpConns map[string]net.Conn
}

const (
	// delayTime is how long mode delay holds back data.
	delayTime = 60 * time.Millisecond
	// trickleChunkBytes is the size of the pieces in which mode trickle sends data.
	trickleChunkBytes = 16
	// trickleInterval is the pause of mode trickle after each piece.
	trickleInterval = 5 * time.Millisecond
	// copyBufferBytes is the size of the buffer for one direction of a TCP connection.
	copyBufferBytes = 32 << 10
)

// daemonLinks are the links between the daemon behind a proxy and the others.
type daemonLinks struct {
	// vm is the number of the VM of the daemon.
	vm int
	// cuts holds the links that pass nothing.
	cuts *cuts
	// ofDatagrams and ofConn return the number of the VM of a client, 0 if it is not known.
	ofDatagrams func(sender *net.UDPAddr) int
	ofConn      func(client net.Addr, acceptedAt time.Time) int
}

// newProxy starts a proxy that listens at an address for TCP connections and UDP datagrams and
// forwards them to target.
func newProxy(address, target string) (*proxy, error) {
	p := &proxy{address: address, target: target, conns: make(map[net.Conn]bool), clients: make(map[net.Conn]*client), silenced: make(map[net.Conn]bool), udpConns: make(map[string]net.Conn)}
	var err error
	if p.tcp, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	if p.udp, err = net.ListenUDP("udp4", udpAddress); err != nil {
		return nil, err
	}
	go p.accept(p.tcp)
	go p.relayDatagrams()
	return p, nil
}

// setMode sets the fault to inject and applies modes reset and silent to the open connections. In
// the empty mode the proxy forwards all traffic except on silenced connections.
func (p *proxy) setMode(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c := range p.conns {
		switch mode {
		case "reset":
			reset(c)
		case "silent":
			p.silenced[c] = true
		}
	}
}

// reset closes a connection with a TCP RST.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// modeOf returns the mode that applies to a connection. If c is nil, it returns the mode that
// applies to datagrams and to new connections.
func (p *proxy) modeOf(c net.Conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silenced[c] {
		return "silent"
	}
	return p.mode
}

// client is what is known of a client that has connected.
type client struct {
	acceptedAt time.Time
	// vm returns the number of the VM of the client, 0 if it is not known.
	vm func() int
}

// newClient returns the client of a connection that has just been accepted.
func (p *proxy) newClient(in net.Conn) *client {
	c := &client{acceptedAt: time.Now()}
	c.vm = sync.OnceValue(func() int { return p.links.Load().ofConn(in.RemoteAddr(), c.acceptedAt) })
	return c
}

// cutMode returns the mode that cuts require of the traffic of a client that has connected: of the traffic to the
// client if toClient is set, else of that from it.
func (p *proxy) cutMode(c *client, toClient bool) string {
	links := p.links.Load()
	if links == nil || links.cuts.none() {
		return ""
	}
	return links.mode(c.vm(), toClient)
}

// datagramCut reports whether cuts drop the datagrams of a client, or those to it if toClient is set.
func (p *proxy) datagramCut(client *net.UDPAddr, toClient bool) bool {
	links := p.links.Load()
	return links != nil && !links.cuts.none() && links.mode(links.ofDatagrams(client), toClient) != ""
}

// mode returns the mode that cuts require of the link from a VM, or of that to it if toClient is set.
func (d *daemonLinks) mode(client int, toClient bool) string {
	if toClient {
		return d.cuts.mode(link{d.vm, client})
	}
	return d.cuts.mode(link{client, d.vm})
}

// isRefused reports whether a cut refuses the connections of a client.
func (p *proxy) isRefused(c *client) bool {
	return p.cutMode(c, false) == "reset" || p.cutMode(c, true) == "reset"
}

// resetCutConns resets the connections that cuts refuse.
func (p *proxy) resetCutConns() {
	p.mu.Lock()
	clients := maps.Clone(p.clients)
	p.mu.Unlock()
	for conn, c := range clients {
		if p.isRefused(c) {
			reset(conn)
		}
	}
}

// stopListening makes connections be refused until listen is called.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.tcp.Close()
}

// listen listens again after stopListening.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	ln, err := net.Listen("tcp", p.address)
	if err == nil {
		p.tcp = ln
		go p.accept(ln)
	}
	return err
}

// close stops listening and resets all connections.
func (p *proxy) close() {
	p.stopListening()
	_ = p.udp.Close()
	p.setMode("reset")
}

// accept serves each new TCP connection in a goroutine until the listener is closed.
func (p *proxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards a connection of a client to the target and back until both directions are closed.
func (p *proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	c := p.newClient(in)
	if p.modeOf(nil) == "reset" || p.isRefused(c) {
		reset(in)
		return
	}
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(in)
		return
	}
	p.track(in, out, c)
	defer p.track(in, out, nil)
	var wg sync.WaitGroup
	wg.Go(func() { p.relay(out, in, in, c, false) })
	wg.Go(func() { p.relay(in, out, in, c, true) })
	wg.Wait()
}

// track adds the connections of a client and to the target to p.conns. If c is nil, it removes them from all maps.
func (p *proxy) track(in, out net.Conn, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c != nil {
		p.conns[in], p.conns[out], p.clients[in] = true, true, c
		return
	}
	for _, conn := range []net.Conn{in, out} {
		delete(p.conns, conn)
		delete(p.clients, conn)
		delete(p.silenced, conn)
	}
}

// relay copies data from src to dst until src is closed, and injects the current fault. in is
// the connection from the client c. If toClient is set, in is dst, else it is src.
func (p *proxy) relay(dst, src, in net.Conn, c *client, toClient bool) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buf)
		mode := p.modeOf(in)
		if mode == "" {
			mode = p.cutMode(c, toClient)
		}
		switch {
		case mode == "silent" || mode == "half" && toClient:
			// TCP delivers no data after lost data, so the connection stays silent.
			p.mu.Lock()
			p.silenced[in] = true
			p.mu.Unlock()
			if err != nil {
				// The close must not be propagated while the fault lasts.
				time.Sleep(maxFaultDuration)
			}
		case mode == "delay":
			time.Sleep(delayTime)
			_, _ = dst.Write(buf[:n])
		case mode == "trickle":
			trickle(dst, buf[:n])
		default:
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			p.propagateClose(dst, err)
			return
		}
	}
}

// propagateClose closes dst after a read on the other side of the proxy has failed with err.
// After EOF it closes dst for writing. After any other error it resets dst.
func (p *proxy) propagateClose(dst net.Conn, err error) {
	if t, ok := dst.(*net.TCPConn); ok && err.Error() == "EOF" {
		_ = t.CloseWrite()
		return
	}
	reset(dst)
}

// trickle writes b to dst in small pieces, with a pause after each piece.
func trickle(dst net.Conn, b []byte) {
	for len(b) > 0 {
		n := min(len(b), trickleChunkBytes)
		if _, err := dst.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
		time.Sleep(trickleInterval)
	}
}

const (
	// datagramBufferBytes is larger than any datagram of a daemon.
	datagramBufferBytes = 2 << 10
	// udpIdleTimeout is how long the socket for a sender stays open without a reply. The timeout
	// limits the number of open sockets: with a hundred daemons, the proxy of each daemon has a
	// hundred senders.
	udpIdleTimeout = 3 * time.Second
)

// relayDatagrams forwards datagrams to the target, with one socket for each sender, until the proxy
// is closed. In modes silent and reset, and where their link is cut, it drops them.
func (p *proxy) relayDatagrams() {
	buf := make([]byte, datagramBufferBytes)
	for {
		n, sender, err := p.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if mode := p.modeOf(nil); mode == "silent" || mode == "reset" || p.datagramCut(sender, false) {
			continue
		}
		if out := p.udpConn(sender); out != nil {
			_, _ = out.Write(buf[:n])
		}
	}
}

// udpConn returns the socket to the target for a sender of datagrams, and opens it if needed. It
// returns nil if the socket cannot be opened.
func (p *proxy) udpConn(sender *net.UDPAddr) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := sender.String()
	if out := p.udpConns[key]; out != nil {
		return out
	}
	out, err := net.Dial("udp4", p.target)
	if err != nil {
		return nil
	}
	p.udpConns[key] = out
	go p.relayReplies(out, key, sender)
	return out
}

// relayReplies forwards replies of the target to a sender of datagrams. In modes silent and half, and where
// their link is cut, it drops them. key is the key of the socket in p.udpConns. After udpIdleTimeout without a reply, or
// if the target is not listening, it closes the socket and returns.
func (p *proxy) relayReplies(out net.Conn, key string, sender *net.UDPAddr) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.udpConns, key)
		_ = out.Close()
	}()
	buf := make([]byte, datagramBufferBytes)
	for {
		_ = out.SetReadDeadline(time.Now().Add(udpIdleTimeout))
		n, err := out.Read(buf)
		if err != nil {
			return
		}
		if mode := p.modeOf(nil); mode != "silent" && mode != "half" && !p.datagramCut(sender, true) {
			_, _ = p.udp.WriteToUDP(buf[:n], sender)
		}
	}
}
