package quarantine

import (
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// minPushInterval is the least time between two messages of news. With four daemons told and
// messages of 1,400 bytes it bounds what a daemon sends to 19 KB a second.
const minPushInterval = 300 * time.Millisecond

// Gossip hands the records of a Store on to the other daemons by datagram. It is safe
// for concurrent use.
type Gossip struct {
	Store    *Store
	Selector gossip.PeerSelector
	// Members returns the daemons that can be reached.
	Members func() []gossip.Member
	// Send sends a message. One may be lost.
	Send func(address string, message []byte)
	// MaxMessageBytes bounds a message, in bytes.
	MaxMessageBytes int

	mu      sync.Mutex
	timer   gossip.AntiEntropyTimer
	version uint64
	// lastPush is when the last news were sent. Zero means never.
	lastPush model.Instant
}

// Tick sends what is due. It is called when the Store hints at news, and several times a
// second.
func (g *Gossip) Tick(now model.Instant) {
	if g.pushDue(now) {
		g.push()
	}
	if g.antiEntropyDue(now) {
		if m, ok := g.Selector.AntiEntropyPeer(g.Members()); ok {
			g.Send(m.Address, g.Store.Opening())
		}
	}
}

func (g *Gossip) pushDue(now model.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastPush != 0 && now.Sub(g.lastPush) < minPushInterval {
		return false
	}
	g.lastPush = now
	return true
}

func (g *Gossip) push() {
	news, first := g.Store.NextPush(g.MaxMessageBytes)
	if news == nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.lastPush = 0
		return
	}
	for _, m := range g.Selector.PushTargets(g.Members(), first) {
		g.Send(m.Address, news)
	}
}

func (g *Gossip) antiEntropyDue(now model.Instant) bool {
	version := g.Store.Version()
	g.mu.Lock()
	defer g.mu.Unlock()
	if version != g.version {
		g.version = version
		g.timer.Reset()
	}
	return g.timer.Due(now)
}

// ResetAntiEntropy has the daemon compare more often for a while: others may have missed something,
// as those that were out of reach.
func (g *Gossip) ResetAntiEntropy() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.Reset()
}

// SendDigest compares with a daemon that may know something, as one that is met at the start.
func (g *Gossip) SendDigest(address string) { g.Send(address, g.Store.Opening()) }

// Receive takes in a message of another daemon and answers it.
func (g *Gossip) Receive(from string, message []byte) {
	answers, agreed := g.Store.Receive(message, g.MaxMessageBytes)
	if agreed {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.timer.RecordAgreement()
		return
	}
	for _, a := range answers {
		g.Send(from, a)
	}
}
