package settings

import (
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// Listen holds the addresses that a daemon listens on. Each is host:port with an
// IP address as host. Port 0 picks a free port.
type Listen struct {
	// Callers is the address for requests of callers.
	Callers string `json:"callers"`
	// Peers is the address for other daemons. It is also the daemon's ID, so it
	// must be an address that the other daemons can connect to.
	Peers string `json:"peers"`
	// Admin is the address for status and metrics, and for the announcements
	// with which upstreams of this VM register.
	Admin string `json:"admin"`
}

func defaultListen() Listen {
	return Listen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", Admin: "127.0.0.1:8082"}
}

func (l Listen) check(c *checker) {
	c.checkAddress("listen.callers", l.Callers)
	c.checkAddress("listen.peers", l.Peers)
	c.checkAddress("listen.admin", l.Admin)
}

// Log configures access to the platform's append-only log, which holds the
// configuration, the membership and the ownership of idempotency keys.
type Log struct {
	// Address is host:port of the log server.
	Address string `json:"address"`
	// Interval is the time between two reads of the log.
	Interval policy.Duration `json:"interval"`
}

const (
	defaultLogInterval = 200 * time.Millisecond
	minLogInterval     = 10 * time.Millisecond
	maxLogInterval     = time.Minute
)

func defaultLog() Log { return Log{Interval: policy.Duration(defaultLogInterval)} }

func (l Log) check(c *checker) {
	c.checkAddress("log.address", l.Address)
	c.checkDuration("log.interval", l.Interval, minLogInterval, maxLogInterval)
}

// TLS holds the names of files in PEM format. The files are read once, at the
// start. When all names are empty, connections are in plaintext.
type TLS struct {
	// Certificate is this side's certificate.
	Certificate string `json:"certificate"`
	// Key is the private key of Certificate.
	Key string `json:"key"`
	// Authority is the certificate authority that verifies the other side's
	// certificate.
	Authority string `json:"authority"`
}

// Enabled reports whether at least one of the files is set.
func (t TLS) Enabled() bool { return t != TLS{} }

func (t TLS) check(c *checker, path string) {
	if !t.Enabled() {
		return
	}
	c.checkNotEmpty(path+".certificate", t.Certificate)
	c.checkNotEmpty(path+".key", t.Key)
}

// Callers holds the limits for callers and the TLS files of their listener.
type Callers struct {
	// MaxConnections bounds the open connections; further connections are closed.
	MaxConnections int `json:"max_connections"`
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout policy.Duration `json:"header_timeout"`
	// StallTimeout is how long a read of the request body or a write of the
	// response may make no progress before the request is aborted.
	StallTimeout policy.Duration `json:"stall_timeout"`
	// IdleTimeout is how long a keep-alive connection may stay idle between two
	// requests before it is closed.
	IdleTimeout policy.Duration `json:"idle_timeout"`
	// AllowPlaintext permits plaintext on an address that is not loopback.
	AllowPlaintext bool `json:"allow_plaintext"`
	// TLS is for the callers' listener. When it names an authority, callers may
	// authenticate with client certificates.
	TLS TLS `json:"tls"`
}

const (
	defaultMaxConnections = 4096
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 8 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultStallTimeout   = 20 * time.Second
	defaultIdleTimeout    = 90 * time.Second
	minTimeout            = 10 * time.Millisecond
	maxTimeout            = time.Hour
)

func defaultCallers() Callers {
	return Callers{
		MaxConnections: defaultMaxConnections,
		MaxHeaderBytes: defaultMaxHeaderBytes,
		MaxBodyBytes:   defaultMaxBodyBytes,
		HeaderTimeout:  policy.Duration(defaultHeaderTimeout),
		StallTimeout:   policy.Duration(defaultStallTimeout),
		IdleTimeout:    policy.Duration(defaultIdleTimeout),
	}
}

func (s Callers) check(c *checker, l Listen) {
	c.checkNumber("callers.max_connections", int64(s.MaxConnections), 1, 1<<20)
	c.checkNumber("callers.max_header_bytes", int64(s.MaxHeaderBytes), 4<<10, 1<<20)
	c.checkNumber("callers.max_body_bytes", s.MaxBodyBytes, 0, 1<<40)
	c.checkDuration("callers.header_timeout", s.HeaderTimeout, minTimeout, maxTimeout)
	c.checkDuration("callers.stall_timeout", s.StallTimeout, minTimeout, maxTimeout)
	c.checkDuration("callers.idle_timeout", s.IdleTimeout, minTimeout, maxTimeout)
	s.TLS.check(c, "callers.tls")
	if !s.TLS.Enabled() && !s.AllowPlaintext && !isLoopback(l.Callers) {
		c.fail("callers.allow_plaintext", "false",
			"must be true, or callers.tls set, to listen on "+l.Callers)
	}
}

// Peers configures the connections between daemons.
type Peers struct {
	// Secret authenticates daemons to each other, with or without TLS.
	Secret string `json:"secret"`
	// Bootstrap lists peer addresses of daemons to contact while no other daemon
	// is known from the log.
	Bootstrap []string `json:"first,omitempty"`
	// AllowPlaintext permits plaintext on an address that is not loopback.
	AllowPlaintext bool `json:"allow_plaintext"`
	// TLS is for the connections between daemons. Each side verifies the
	// certificate of the other, so TLS must name an authority.
	TLS TLS `json:"tls"`
}

func (p Peers) check(c *checker, l Listen) {
	c.checkNotEmpty("peers.secret", p.Secret)
	for i, a := range p.Bootstrap {
		c.checkAddress("peers.first["+strconv.Itoa(i)+"]", a)
	}
	p.TLS.check(c, "peers.tls")
	if p.TLS.Enabled() {
		c.checkNotEmpty("peers.tls.authority", p.TLS.Authority)
	}
	if !p.TLS.Enabled() && !p.AllowPlaintext && !isLoopback(l.Peers) {
		c.fail("peers.allow_plaintext", "false",
			"must be true, or peers.tls set, to listen on "+l.Peers)
	}
}

// Admin configures access to the admin address.
type Admin struct {
	// AllowPlaintext permits an address that is not loopback. The admin address
	// has no TLS; requests from other hosts can only read.
	AllowPlaintext bool `json:"allow_plaintext"`
}

func (a Admin) check(c *checker, l Listen) {
	if !a.AllowPlaintext && !isLoopback(l.Admin) {
		c.fail("admin.allow_plaintext", "false", "must be true to listen on "+l.Admin)
	}
}
