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
	// intervalsPerMembershipRead is the number of log polling intervals between two
	// reads of the membership stream. The configuration stream is read at every
	// interval. The membership stream is read less often, since peers report
	// membership changes before the log does.
	intervalsPerMembershipRead = 5
	// drainNoticeTimeout limits the gossip round in which a stopping daemon reports
	// its draining upstreams.
	drainNoticeTimeout = time.Second
	// drainNoticeFanout is the number of peers to which the stopping daemon reports its
	// draining upstreams.
	drainNoticeFanout = 6
)

// maxRoundAge is how long after its last gossip round a daemon relies on its peers for
// updates and seldom reads the log. Later than that, it reads the log often until the next
// gossip round. The log readers of each availability zone always read the log often.
const maxRoundAge = 4 * time.Second

// buildControl sets up the control plane of the daemon: the configuration store, the
// membership registry, and the exchanger that gossips their state with other daemons.
// Before Serve starts, buildQuarantine and buildCeilings register their own topics on
// d.Exchanger, and buildOwner registers its handler on d.PeerService.
func (d *Daemon) buildControl() {
	client := recordlog.NewClient(d.settings.Log.Address)
	d.Log = recordlog.NewRateLimitedLog(&recordlog.Batcher{Log: client})
	interval := time.Duration(d.settings.Log.Interval)
	seed := uint64(time.Now().UnixNano())
	triggerRound := func() { d.Exchanger.TriggerRound() }
	d.Config = configuration.NewStore(configuration.Options{
		Log:         d.Log,
		Interval:    interval,
		IsLogReader: d.readsLogOften,
		OnUpdate:    triggerRound,
		Seed:        seed,
		Scope:       d.Metrics.Scope,
		Logger:      d.logger,
	})
	d.PeerClient = peer.NewClientWithDial(d.settings.Peers.Secret, peer.DialFunc(d.peerDial()))
	d.Members = membership.NewRegistry(membership.Options{
		Self:           d.ID(),
		Zone:           d.settings.Zone,
		Log:            d.Log,
		Pinger:         d.PeerClient,
		Interval:       intervalsPerMembershipRead * interval,
		IsLogReader:    d.readsLogOften,
		OnUpdate:       triggerRound,
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
		BootstrapPeers: bootstrapPeers(d.settings.Peers.Bootstrap),
		Transport:      d.PeerClient,
		Seed:           seed,
		Metrics:        d.Metrics.Scope,
		Logger:         d.logger,
	})
	d.Exchanger.Register(d.Config.Topic())
	d.Exchanger.Register(inForceTopic{d.Config})
	d.Exchanger.Register(d.Members.Topic())
	d.PeerService = &peer.Service{Exchanger: d.Exchanger, Ping: d.Members.HandlePing}
	d.beforeStop = append(d.beforeStop, d.announceDraining, d.handOverKeysAndDrain, func(context.Context) { d.PeerClient.Close() })
}

// announceDraining marks all upstreams of this VM as draining and reports this to
// drainNoticeFanout peers, which tell the other daemons. A shutdown calls announceDraining
// before it closes the listeners.
func (d *Daemon) announceDraining(ctx context.Context) {
	d.Members.DrainAll()
	ctx, cancel := context.WithTimeout(ctx, drainNoticeTimeout)
	defer cancel()
	d.Exchanger.Round(ctx, drainNoticeFanout)
}

// readsLogOften reports whether this daemon reads the log at its short polling
// interval. The few log readers of each availability zone always do so. Any other daemon
// does so only while its last gossip round with a peer is older than maxRoundAge.
func (d *Daemon) readsLogOften() bool {
	if time.Since(d.Exchanger.LastRoundTime()) > maxRoundAge {
		return true
	}
	return peer.IsLogReader(d.ID(), d.settings.Zone, d.Members.Peers())
}

// bootstrapPeers returns the peers at the given addresses. The ID of a daemon is its peer
// address. The availability zones of these peers are not known yet.
func bootstrapPeers(addresses []string) []peer.Peer {
	peers := make([]peer.Peer, 0, len(addresses))
	for _, a := range addresses {
		peers = append(peers, peer.Peer{ID: model.DaemonID(a)})
	}
	return peers
}

// peerHandler returns the handler of the peer address. Requests with the header
// wire.HeaderDestination are calls for the guard or for the owner, the component that
// runs requests with idempotency keys. All other requests are control messages for the
// peer service. The handlers of the calls and of the control messages authenticate the
// other daemon by the peer secret.
func (d *Daemon) peerHandler() http.Handler {
	controlHandler := peer.Handler(d.PeerService, d.settings.Peers.Secret)
	callHandler := d.callHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(wire.HeaderDestination) == "" {
			controlHandler.ServeHTTP(w, r)
			return
		}
		callHandler.ServeHTTP(w, r)
	})
}

// inForceTopic is a gossip topic whose digest is the configuration version in force at
// this daemon, or 0 if there is none. Other daemons query the version by exchanging
// digests. There are no deltas, since the configuration itself is sent in another topic.
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
