package daemon

import (
	"context"
	"encoding/binary"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/peer"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
)

const (
	// maxQueriedPerZone bounds the number of daemons that are queried in each
	// availability zone.
	maxQueriedPerZone = 64
	// maxParallelQueries bounds the number of queries in flight in all zones together.
	maxParallelQueries  = 32
	versionQueryTimeout = time.Second
	// maxListedDaemons bounds each list of daemons in a ZoneStatus.
	maxListedDaemons = 8
)

// versionReply is the result of asking one daemon for its configuration version in force.
type versionReply struct {
	peer    peer.Peer
	version model.Version
	// valid is false if the daemon sent no valid reply. The version is then 0.
	valid bool
}

// serveZones serves the configuration versions in force in each availability zone.
func (d *Daemon) serveZones(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, summarizeZones(d.queryZones(r.Context())))
}

// queryZones asks up to maxQueriedPerZone random daemons in each availability zone for their
// configuration version in force. It returns one reply for each of them, also for the
// daemons that did not respond.
func (d *Daemon) queryZones(ctx context.Context) []versionReply {
	sampledPeers := peer.SamplePerZone(d.Members.Peers(), maxQueriedPerZone, uint64(time.Now().UnixNano()))
	replies := make([]versionReply, len(sampledPeers))
	semaphore := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for i, p := range sampledPeers {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			replies[i] = d.queryVersion(ctx, p)
		})
	}
	wg.Wait()
	return replies
}

// queryVersion asks the daemon p for its configuration version in force. It does not send a
// message if p is this daemon.
func (d *Daemon) queryVersion(ctx context.Context, p peer.Peer) versionReply {
	if p.ID == d.ID() {
		v, _ := binary.Uvarint(inForceTopic{d.Config}.Digest())
		return versionReply{peer: p, version: model.Version(v), valid: true}
	}
	ctx, cancel := context.WithTimeout(ctx, versionQueryTimeout)
	defer cancel()
	// A message with a digest makes the other daemon respond with its own digests.
	// The value of the digest does not matter.
	topic := &peerv1.TopicMessage{Topic: inForceTopicName, Digest: []byte{0}}
	resp, err := d.PeerClient.Exchange(ctx, p.ID, &peerv1.ExchangeRequest{From: string(d.ID()), Topics: []*peerv1.TopicMessage{topic}})
	if err != nil {
		return versionReply{peer: p}
	}
	for _, t := range resp.GetTopics() {
		if t.GetTopic() == inForceTopicName {
			v, n := binary.Uvarint(t.GetDigest())
			return versionReply{peer: p, version: model.Version(v), valid: n > 0}
		}
	}
	return versionReply{peer: p}
}

// summarizeZones returns the status of each zone from the replies, sorted by zone name.
func summarizeZones(replies []versionReply) []operator.ZoneStatus {
	var newestVersion model.Version
	for _, reply := range replies {
		newestVersion = max(newestVersion, reply.version)
	}
	statusByZone := make(map[model.AvailabilityZone]*operator.ZoneStatus)
	for _, reply := range replies {
		z := statusByZone[reply.peer.Zone]
		if z == nil {
			z = &operator.ZoneStatus{Zone: reply.peer.Zone}
			statusByZone[reply.peer.Zone] = z
		}
		addReply(z, reply, newestVersion)
	}
	out := make([]operator.ZoneStatus, 0, len(statusByZone))
	for _, z := range statusByZone {
		out = append(out, *z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}

// addReply adds one reply to z, the status of its zone. newestAnywhere is the newest version
// in all zones.
func addReply(z *operator.ZoneStatus, reply versionReply, newestAnywhere model.Version) {
	z.Asked++
	if !reply.valid {
		z.Silent = appendListed(z.Silent, reply.peer.ID)
		return
	}
	if z.Answered == 0 || reply.version < z.Oldest {
		z.Oldest = reply.version
	}
	z.Answered++
	z.Newest = max(z.Newest, reply.version)
	if reply.version < newestAnywhere {
		z.Behind = appendListed(z.Behind, reply.peer.ID)
	}
}

// appendListed appends id to ids unless ids already has maxListedDaemons elements.
func appendListed(ids []model.DaemonID, id model.DaemonID) []model.DaemonID {
	if len(ids) >= maxListedDaemons {
		return ids
	}
	return append(ids, id)
}
