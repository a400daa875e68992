package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/model"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
)

// maxValueTopic is a topic with one byte of state. Applying a delta keeps the
// larger value.
type maxValueTopic struct {
	mu    sync.Mutex
	value byte
}

func (m *maxValueTopic) Name() string { return "max" }

func (m *maxValueTopic) Digest() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []byte{m.value}
}

func (m *maxValueTopic) Delta(digest []byte, limit int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if limit < 1 || bytes.Compare(digest, []byte{m.value}) >= 0 {
		return nil
	}
	return []byte{m.value}
}

func (m *maxValueTopic) Apply(delta []byte) error {
	if len(delta) != 1 {
		return errors.New("want one byte")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value = max(m.value, delta[0])
	return nil
}

// network connects exchangers in one process. It delays every request. One
// availability zone can be isolated from the others.
type network struct {
	mu             sync.Mutex
	delay          time.Duration
	exchangersByID map[model.DaemonID]*Exchanger
	zonesByID      map[model.DaemonID]model.AvailabilityZone
	isolatedZone   model.AvailabilityZone
	// requestCount is the number of requests sent.
	requestCount int
}

// endpoint is the Transport of one daemon.
type endpoint struct {
	net  *network
	from model.DaemonID
}

func (e endpoint) Exchange(ctx context.Context, to model.DaemonID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	e.net.mu.Lock()
	e.net.requestCount++
	node := e.net.exchangersByID[to]
	fromZone, toZone := e.net.zonesByID[e.from], e.net.zonesByID[to]
	isolated := fromZone != toZone && (fromZone == e.net.isolatedZone || toZone == e.net.isolatedZone)
	e.net.mu.Unlock()
	time.Sleep(e.net.delay)
	if isolated || node == nil {
		return nil, errors.New("unreachable")
	}
	return node.Handle(req), nil
}

// isolateZone isolates a zone from the others. An empty name ends the
// isolation.
func (n *network) isolateZone(z model.AvailabilityZone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolatedZone = z
}

// startNetwork starts size exchangers in five zones, each with a maxValueTopic.
func startNetwork(t *testing.T, ctx context.Context, size int) (*network, []*maxValueTopic) {
	t.Helper()
	n := &network{delay: time.Millisecond, exchangersByID: map[model.DaemonID]*Exchanger{}, zonesByID: map[model.DaemonID]model.AvailabilityZone{}}
	var peers []Peer
	for i := range size {
		p := Peer{ID: model.DaemonID(fmt.Sprint("d", i)), Zone: model.AvailabilityZone(fmt.Sprint("z", i%5))}
		peers = append(peers, p)
		n.zonesByID[p.ID] = p.Zone
	}
	topics := make([]*maxValueTopic, size)
	for i, p := range peers {
		e := NewExchanger(Options{Self: p.ID, Zone: p.Zone, Peers: func() []Peer { return peers },
			Transport: endpoint{n, p.ID}, Seed: uint64(i)})
		topics[i] = &maxValueTopic{}
		e.Register(topics[i])
		n.exchangersByID[p.ID] = e
	}
	for _, e := range n.exchangersByID {
		go func() { _ = e.Serve(ctx) }()
	}
	return n, topics
}

// testContext returns a context that ends with the test. The cleanup then waits
// a second, so that rounds in progress can end.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second)
	})
	return ctx
}

// countWithValue returns the number of topics with a value.
func countWithValue(topics []*maxValueTopic, v byte) int {
	count := 0
	for _, t := range topics {
		if t.Digest()[0] == v {
			count++
		}
	}
	return count
}

func TestTriggeredRoundsReachEveryDaemonWithinTwoSeconds(t *testing.T) {
	for _, size := range []int{2, 30, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				ctx := testContext(t)
				n, topics := startNetwork(t, ctx, size)
				time.Sleep(5 * time.Second)
				require.NoError(t, topics[0].Apply([]byte{7}))
				n.exchangersByID["d0"].TriggerRound()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				require.Equal(t, size, countWithValue(topics, 7))
			})
		})
	}
}

// TestIsolatedZoneCatchesUp isolates one zone of five for 20 seconds, in which an
// update spreads through the others. The zone must have the update four seconds
// after the isolation ends.
func TestIsolatedZoneCatchesUp(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		ctx := testContext(t)
		n, topics := startNetwork(t, ctx, 50)
		n.isolateZone("z1")
		require.NoError(t, topics[0].Apply([]byte{7}))
		n.exchangersByID["d0"].TriggerRound()
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.Equal(t, 40, countWithValue(topics, 7), "only the zones that are not isolated have the update")
		n.isolateZone("")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		require.Equal(t, 50, countWithValue(topics, 7))
	})
}

// TestTriggeredRoundsAreLimited triggers a round every 10ms for ten seconds. The
// requests sent by all daemons must stay within what the rate limit of triggered
// rounds and the regular rounds allow.
func TestTriggeredRoundsAreLimited(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		ctx := testContext(t)
		n, _ := startNetwork(t, ctx, 10)
		const seconds = 10
		for range seconds * 100 {
			n.exchangersByID["d0"].TriggerRound()
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		triggeredRequests := (triggeredRoundsPerSecond*seconds + triggeredRoundsBurst + 1) * defaultTriggeredFanout
		regularRequests := 10 * (seconds + 3) * defaultFanout * 5 / 4
		require.LessOrEqual(t, n.requestCount, triggeredRequests+regularRequests)
	})
}

// fullSizeTopic always returns a delta of the maximum size.
type fullSizeTopic struct{ maxValueTopic }

func (f *fullSizeTopic) Delta(_ []byte, limit int) []byte { return make([]byte, limit) }

func TestByteBudgetLimitsDeltas(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		e := NewExchanger(Options{BurstBytes: 40 << 10, BytesPerSecond: 1, Metrics: scope})
		e.Register(&fullSizeTopic{})
		req := &peerv1.ExchangeRequest{Topics: []*peerv1.TopicMessage{{Topic: "max", Digest: []byte{0}}}}
		require.Len(t, e.Handle(req).Topics[0].Delta, defaultMaxDeltaBytes)
		for range 3 {
			e.Handle(req)
		}
		require.Len(t, e.Handle(req).Topics[0].Delta, minDeltaBytes, "the newest records are still sent")
		require.Positive(t, scope.Snapshot().Counters()["peer.deltas+result=limited"].Value())
	})
}

// TestExhaustedByteBudgetLimitsRoundToOnePeer runs a round that uses up the byte
// budget. The next round must contact one peer instead of three.
func TestExhaustedByteBudgetLimitsRoundToOnePeer(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := &network{exchangersByID: map[model.DaemonID]*Exchanger{}, zonesByID: map[model.DaemonID]model.AvailabilityZone{}}
		peers := []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		for _, p := range peers {
			n.exchangersByID[p.ID] = NewExchanger(Options{Self: p.ID})
		}
		e := NewExchanger(Options{Self: "x", BurstBytes: 1000, BytesPerSecond: 1, Transport: endpoint{n, "x"}, Peers: func() []Peer { return peers }})
		e.Register(&maxValueTopic{})
		e.Round(t.Context(), 3)
		require.Equal(t, 3, n.requestCount)
		e.Round(t.Context(), 3)
		require.Equal(t, 4, n.requestCount)
	})
}

func TestRejectedDeltaIsCountedAndChangesNothing(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	e := NewExchanger(Options{Metrics: scope})
	topic := &maxValueTopic{value: 3}
	e.Register(topic)
	e.Handle(&peerv1.ExchangeRequest{Topics: []*peerv1.TopicMessage{{Topic: "max", Delta: []byte("too long")}, {Topic: "other", Delta: []byte{1}}}})
	require.Equal(t, []byte{3}, topic.Digest())
	require.EqualValues(t, 1, scope.Snapshot().Counters()["peer.deltas+result=refused"].Value())
	require.Panics(t, func() { e.Register(&maxValueTopic{}) })
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// TestMessageOverheadMatchesConnectionBytes checks messageOverhead against the
// bytes that a message takes on a connection.
func TestMessageOverheadMatchesConnectionBytes(t *testing.T) {
	e := NewExchanger(Options{})
	e.Register(&maxValueTopic{})
	srv := httptest.NewServer(Handler(&Service{Exchanger: e}, "secret"))
	defer srv.Close()
	var connBytes atomic.Int64
	c := NewClientWithDial("secret", func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &connBytes}, err
	})
	defer c.Close()
	topics := e.digests()
	to := model.DaemonID(strings.TrimPrefix(srv.URL, "http://"))
	const messages = 50
	for range messages {
		_, err := c.Exchange(t.Context(), to, &peerv1.ExchangeRequest{From: string(to), Zone: "odense-hal-a", Topics: topics})
		require.NoError(t, err)
	}
	overhead := connBytes.Load()/messages - 2*int64(topicBytes(topics))
	t.Logf("%d bytes of overhead per message", overhead)
	require.InDelta(t, messageOverhead, overhead, messageOverhead*0.15)
}

// TestServiceAuthenticatesPeers checks that a message with a wrong secret is rejected
// and changes nothing, and that one with the right secret is handled.
func TestServiceAuthenticatesPeers(t *testing.T) {
	e := NewExchanger(Options{})
	topic := &maxValueTopic{}
	e.Register(topic)
	srv := httptest.NewServer(Handler(&Service{Exchanger: e}, "secret"))
	defer srv.Close()
	to := model.DaemonID(strings.TrimPrefix(srv.URL, "http://"))
	req := &peerv1.ExchangeRequest{Topics: []*peerv1.TopicMessage{{Topic: "max", Delta: []byte{4}}}}

	unauthorizedClient := NewClient("other")
	defer unauthorizedClient.Close()
	_, err := unauthorizedClient.Exchange(t.Context(), to, req)
	require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	require.Equal(t, []byte{0}, topic.Digest())

	authorizedClient := NewClient("secret")
	defer authorizedClient.Close()
	_, err = authorizedClient.Exchange(t.Context(), to, req)
	require.NoError(t, err)
	require.Equal(t, []byte{4}, topic.Digest())
	_, err = authorizedClient.Ping(t.Context(), to, &peerv1.PingRequest{})
	require.Equal(t, connect.CodeUnimplemented, connect.CodeOf(err), "no Ping function is set")
}
