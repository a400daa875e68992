package daemon

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/peer"
	"github.com/dottereltiller/dottereltiller/recordlog"
	"github.com/dottereltiller/dottereltiller/wire"
)

const (
	// membershipReads is how many intervals of the log pass between two
	// readings of the membership stream, whose news come from peers first.
	membershipReads = 5
	leaveTimeout    = time.Second
	leaveFanout     = 6
)

// heardWithin is how recent a round with a peer must be for this daemon to rely
// on its peers for news.
const heardWithin = 4 * time.Second

// buildControl sets up what daemons agree on: configuration, membership and the
// exchange between them. Further topics are registered on d.Exchanger, and
// further messages on d.PeerService, before Serve starts.
func (d *Daemon) buildControl() {
	client := recordlog.NewClient(d.settings.Log.Address)
	d.Log = recordlog.NewRateLimitedLog(&recordlog.Batcher{Log: client})
	interval := time.Duration(d.settings.Log.Interval)
	seed := uint64(time.Now().UnixNano())
	hint := func() { d.Exchanger.TriggerRound() }
	d.Config = configuration.NewStore(configuration.Options{
		Log:         d.Log,
		Interval:    interval,
		IsLogReader: d.readsLog,
		OnUpdate:    hint,
		Seed:        seed,
		Scope:       d.Metrics.Scope,
		Logger:      d.logger,
	})
	d.Peers = peer.NewClientWithDial(d.settings.Peers.Secret, peer.Dial(d.peerDial()))
	d.Members = membership.NewRegistry(membership.Options{
		Self:           d.ID(),
		Zone:           d.settings.Zone,
		Log:            d.Log,
		Pinger:         d.Peers,
		Interval:       membershipReads * interval,
		IsLogReader:    d.readsLog,
		OnUpdate:       hint,
		OnLeaseExpired: func(id model.UpstreamID) { d.Guard.Drain(id) },
		OnDaemonCount:  d.Log.SetDaemonCount,
		Seed:           seed,
		Metrics:        d.Metrics.Scope,
		Logger:         d.logger,
	})
	d.Exchanger = peer.NewExchanger(peer.Options{
		Self:           d.ID(),
		Zone:           d.settings.Zone,
		Peers:          d.Members.Peers,
		Unreachable:    d.Members.DeadPeers,
		OnResult:       d.Members.RecordExchange,
		BootstrapPeers: firstPeers(d.settings.Peers.First),
		Transport:      d.Peers,
		Seed:           seed,
		Metrics:        d.Metrics.Scope,
		Logger:         d.logger,
	})
	d.Exchanger.Register(d.Config.Topic())
	d.Exchanger.Register(inForceTopic{d.Config})
	d.Exchanger.Register(d.Members.Topic())
	d.PeerService = &peer.Service{Exchanger: d.Exchanger, Ping: d.Members.HandlePing}
	d.beforeStop = append(d.beforeStop, d.leave, d.goAway, func(context.Context) { d.Peers.Close() })
}

// leave tells some peers that this VM's upstreams are draining, before the
// addresses close. They tell the others.
func (d *Daemon) leave(ctx context.Context) {
	d.Members.DrainAll()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.Exchanger.Round(ctx, leaveFanout)
}

// readsLog reports whether this daemon reads the log often: it is one of the
// readers of its zone, or it has not heard from a peer lately.
func (d *Daemon) readsLog() bool {
	if time.Since(d.Exchanger.LastRound()) > heardWithin {
		return true
	}
	return peer.IsLogReader(d.ID(), d.settings.Zone, d.Members.Peers())
}

func firstPeers(addresses []string) []peer.Peer {
	peers := make([]peer.Peer, 0, len(addresses))
	for _, a := range addresses {
		peers = append(peers, peer.Peer{ID: model.DaemonID(a)})
	}
	return peers
}

// peerHandler hands calls to the guard and control messages to the peer
// service. Each authenticates the other daemon by the peer secret.
func (d *Daemon) peerHandler() http.Handler {
	control := peer.Handler(d.PeerService, d.settings.Peers.Secret)
	calls := d.callHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(wire.HeaderDestination) == "" {
			control.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// inForceTopic tells other daemons which version is in force here. It hands
// nothing on.
type inForceTopic struct{ store *configuration.Store }

const inForceTopicName = "in_force"

// Name implements peer.Topic.
func (inForceTopic) Name() string { return inForceTopicName }

// Digest implements peer.Topic.
func (t inForceTopic) Digest() []byte {
	var v model.Version
	if c := t.store.Current(); c != nil {
		v = c.Version
	}
	return binary.AppendUvarint(nil, uint64(v))
}

// Delta implements peer.Topic.
func (inForceTopic) Delta([]byte, int) []byte { return nil }

// Apply implements peer.Topic.
func (inForceTopic) Apply([]byte) error { return nil }
