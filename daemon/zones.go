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
	// maxQueriedPerZone bounds the daemons that are queried in each zone.
	zoneSample = 64
	// maxParallelQueries bounds the queries in flight.
	zoneParallel = 32
	zoneTimeout  = time.Second
	// maxListedDaemons bounds each list of daemons in a ZoneStatus.
	maxNamed = 8
)

// versionReply is the reply of one daemon to a query for its configuration version in
// force. Without a usable reply, ok is false.
type zoneAnswer struct {
	peer    peer.Peer
	version model.Version
	ok      bool
}

// zones serves the configuration versions in force in each availability zone.
func (d *Daemon) zones(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, summarise(d.askZones(r.Context())))
}

func (d *Daemon) askZones(ctx context.Context) []zoneAnswer {
	asked := peer.SamplePerZone(d.Members.Peers(), zoneSample, uint64(time.Now().UnixNano()))
	answers := make([]zoneAnswer, len(asked))
	turns := make(chan struct{}, zoneParallel)
	var wg sync.WaitGroup
	for i, p := range asked {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			answers[i] = d.askVersion(ctx, p)
		})
	}
	wg.Wait()
	return answers
}

func (d *Daemon) askVersion(ctx context.Context, p peer.Peer) zoneAnswer {
	if p.ID == d.ID() {
		v, _ := binary.Uvarint(inForceTopic{d.Config}.Digest())
		return zoneAnswer{peer: p, version: model.Version(v), ok: true}
	}
	ctx, cancel := context.WithTimeout(ctx, zoneTimeout)
	defer cancel()
	topic := &peerv1.TopicMessage{Topic: inForceTopicName, Digest: []byte{0}}
	resp, err := d.Peers.Exchange(ctx, p.ID, &peerv1.ExchangeRequest{From: string(d.ID()), Topics: []*peerv1.TopicMessage{topic}})
	if err != nil {
		return zoneAnswer{peer: p}
	}
	for _, t := range resp.GetTopics() {
		if t.GetTopic() == inForceTopicName {
			v, n := binary.Uvarint(t.GetDigest())
			return zoneAnswer{peer: p, version: model.Version(v), ok: n > 0}
		}
	}
	return zoneAnswer{peer: p}
}

// summarizeZones returns the status of each zone from the replies, sorted by zone name.
func summarise(answers []zoneAnswer) []operator.ZoneStatus {
	var newest model.Version
	for _, a := range answers {
		newest = max(newest, a.version)
	}
	byZone := make(map[model.AvailabilityZone]*operator.ZoneStatus)
	for _, a := range answers {
		z := byZone[a.peer.Zone]
		if z == nil {
			z = &operator.ZoneStatus{Zone: a.peer.Zone}
			byZone[a.peer.Zone] = z
		}
		addAnswer(z, a, newest)
	}
	out := make([]operator.ZoneStatus, 0, len(byZone))
	for _, z := range byZone {
		out = append(out, *z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}

func addAnswer(z *operator.ZoneStatus, a zoneAnswer, newest model.Version) {
	z.Asked++
	if !a.ok {
		z.Silent = appendNamed(z.Silent, a.peer.ID)
		return
	}
	if z.Answered == 0 || a.version < z.Oldest {
		z.Oldest = a.version
	}
	z.Answered++
	z.Newest = max(z.Newest, a.version)
	if a.version < newest {
		z.Behind = appendNamed(z.Behind, a.peer.ID)
	}
}

func appendNamed(ids []model.DaemonID, id model.DaemonID) []model.DaemonID {
	if len(ids) >= maxNamed {
		return ids
	}
	return append(ids, id)
}
