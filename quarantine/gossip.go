package quarantine

import (
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// minPushInterval is the minimum time between two pushes. With pushes to four
// daemons and messages of 1,400 bytes it limits the push traffic of a daemon to
// 19 KB a second.
const minPushInterval = 300 * time.Millisecond

// Gossip exchanges the records of a Store with the other daemons by datagrams.
// It is safe for concurrent use.
type Gossip struct {
	Store *Store
	// Selector selects the daemons to which messages are sent.
	Selector gossip.PeerSelector
	// Members returns the other daemons that can be reached.
	Members func() []gossip.Member
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// MaxMessageBytes bounds the length of a message.
	MaxMessageBytes int

	mu sync.Mutex
	// timer decides when to send a digest.
	timer gossip.AntiEntropyTimer
	// version is the version of the table at the last Tick. If the version has
	// changed at the next Tick, timer is reset to its short interval.
	version uint64
	// lastPush is when records were last pushed. Zero means that the next push need
	// not wait.
	lastPush model.Instant
}

// Tick sends changed records and a digest if they are due. The caller must call it
// several times a second, and also whenever the Store calls Options.OnUpdate.
func (g *Gossip) Tick(now model.Instant) {
	if g.pushDue(now) {
		g.push()
	}
	if g.antiEntropyDue(now) {
		if m, ok := g.Selector.AntiEntropyPeer(g.Members()); ok {
			g.Send(m.Address, g.Store.DigestMessage())
		}
	}
}

// pushDue reports whether minPushInterval has passed since the last push. If it
// has, pushDue sets lastPush to now.
func (g *Gossip) pushDue(now model.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastPush != 0 && now.Sub(g.lastPush) < minPushInterval {
		return false
	}
	g.lastPush = now
	return true
}

// push sends changed records to some daemons. If no record has changed, it resets
// lastPush, so that the next push need not wait for minPushInterval.
func (g *Gossip) push() {
	message, newCrash := g.Store.NextPush(g.MaxMessageBytes)
	if message == nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.lastPush = 0
		return
	}
	for _, m := range g.Selector.PushTargets(g.Members(), newCrash) {
		g.Send(m.Address, message)
	}
}

// antiEntropyDue reports whether a digest has to be sent now. If the table has
// changed since the last call, antiEntropyDue first resets the timer to its short
// interval.
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

// ResetAntiEntropy resets the anti-entropy timer to its short interval. It is to be
// called when this daemon or others may have missed records, for example after they
// were unreachable.
func (g *Gossip) ResetAntiEntropy() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.Reset()
}

// SendDigest starts anti-entropy with one daemon, for example with the first
// one that a starting daemon reaches.
func (g *Gossip) SendDigest(address string) { g.Send(address, g.Store.DigestMessage()) }

// Receive applies a message from another daemon and sends the replies to the
// address from.
func (g *Gossip) Receive(from string, message []byte) {
	replies, inSync := g.Store.Receive(message, g.MaxMessageBytes)
	if inSync {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.timer.RecordAgreement()
		return
	}
	for _, reply := range replies {
		g.Send(from, reply)
	}
}
