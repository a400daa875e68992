package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// Numbers of upstreams, documents and changes for which values are measured.
// docs/CAPACITY.md extrapolates from the slopes to larger numbers.
var (
	upstreamCounts = []int{100, 200, 400, 800}
	documentCounts = []int{100, 200, 400, 800}
	changeCounts   = []int{500, 1000, 2000, 4000}
)

// stateMeasurements returns the measurements that need no daemons. They measure the memory
// and the CPU time that the packages for membership, routing and configuration use, and
// the size of encoded membership events.
func stateMeasurements() []measurement {
	return []measurement{
		{"membership view", "bytes", "upstream", upstreamCounts, directoryBytes},
		{"router of one service", "bytes", "upstream", upstreamCounts, routerBytes},
		{"routing decision", "ns", "upstream", upstreamCounts, decisionTime},
		{"configuration in force", "bytes", "document", documentCounts, configurationBytes},
		{"compiling the configuration", "us", "document", documentCounts, compileTime},
		{"folding changes", "us", "change", changeCounts, applyTime},
		{"membership event on the wire", "bytes", "event", upstreamCounts, eventBytes},
	}
}

// heapBytes calls f and returns the number of heap bytes that the result of f occupies.
func heapBytes(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// minMeanDuration calls f n times in each of several rounds and returns the mean
// duration of a call in the fastest round.
func minMeanDuration(n int, f func()) time.Duration {
	const rounds = 5
	shortest := time.Duration(1<<63 - 1)
	for range rounds {
		start := time.Now()
		for range n {
			f()
		}
		shortest = min(shortest, time.Since(start)/time.Duration(n))
	}
	return shortest
}

// upstream returns the i-th upstream of a deployment with 77 services in five zones.
func upstream(i int) model.Upstream {
	return model.Upstream{
		ID:          model.UpstreamID(fmt.Sprintf("service-%d-%d", i%77, i)),
		Service:     model.ServiceName(fmt.Sprintf("service-%d", i%77)),
		Incarnation: 1,
		Zone:        model.AvailabilityZone(fmt.Sprintf("zone-%d", i%5)),
		Daemon:      model.DaemonID(fmt.Sprintf("10.%d.%d.%d:7001", i/65536, i/256%256, i%256)),
		Slots:       6,
	}
}

func upstreams(n int) []model.Upstream {
	ups := make([]model.Upstream, n)
	for i := range ups {
		ups[i] = upstream(i)
	}
	return ups
}

// directoryBytes returns the memory that a membership directory of n upstreams uses.
func directoryBytes(_ context.Context, n int) (float64, error) {
	return heapBytes(func() any {
		d := member.NewDirectory()
		for _, u := range upstreams(n) {
			d.Apply(member.Event{Upstream: u, State: member.Joined})
		}
		return d
	}), nil
}

// newRouter returns a router with n upstreams.
func newRouter(n int) (*routing.Router, error) {
	r, err := routing.New(routing.Options{Zone: "zone-0", Seed: 1})
	if err != nil {
		return nil, err
	}
	r.SetUpstreams(0, upstreams(n))
	return r, nil
}

// routerBytes returns the memory that a router with n upstreams uses.
func routerBytes(_ context.Context, n int) (float64, error) {
	var err error
	size := heapBytes(func() any {
		var r *routing.Router
		r, err = newRouter(n)
		return r
	})
	return size, err
}

// decisionTime returns the time in nanoseconds that a router with n upstreams takes to
// pick an upstream and to process the reply.
func decisionTime(_ context.Context, n int) (float64, error) {
	const callCount = 20000
	r, err := newRouter(n)
	if err != nil {
		return 0, err
	}
	now := model.Instant(0)
	req := model.Request{Service: "service-0", Deadline: 1 << 62}
	meanTime := minMeanDuration(callCount, func() {
		now = now.Add(time.Microsecond)
		if u, ok := r.Pick(now, req, nil); ok {
			r.Done(now, u.ID, routing.Reply{Latency: time.Millisecond})
		}
	})
	return float64(meanTime.Nanoseconds()), nil
}

// documents returns n configuration documents in the proportions of a full-size
// deployment: of ten documents, one is a service, one is its sharing policy and the
// others are callers.
func documents(n int) []policy.Document {
	docs := make([]policy.Document, 0, n)
	for i := range n {
		docs = append(docs, document(i))
	}
	return docs
}

// document returns the i-th document of the list that documents returns. The team label
// is the same for ten consecutive documents.
func document(i int) policy.Document {
	const documentsPerTeam = 10
	labels := model.Labels{"team": fmt.Sprintf("team-%d", i/documentsPerTeam), "role": fmt.Sprintf("role-%d", i%documentsPerTeam)}
	name := fmt.Sprintf("name-%d", i)
	switch i % documentsPerTeam {
	case 0:
		return policy.Document{Kind: policy.KindService, Name: name, Labels: labels, Spec: json.RawMessage(`{"deadline":"2s"}`)}
	case 1:
		spec := fmt.Sprintf(`{"services":"team=team-%d","default_group":"rest","groups":[{"name":"first","callers":"role=role-2","weight":4},{"name":"rest","callers":"role=role-3","weight":1}]}`, i/documentsPerTeam)
		return policy.Document{Kind: policy.KindSharingPolicy, Name: name, Labels: labels, Spec: json.RawMessage(spec)}
	default:
		spec := fmt.Sprintf(`{"token_sha256":["%064x"]}`, i)
		return policy.Document{Kind: policy.KindCaller, Name: name, Labels: labels, Spec: json.RawMessage(spec)}
	}
}

// configurationBytes returns the memory that a compiled configuration of n documents
// uses.
func configurationBytes(_ context.Context, n int) (float64, error) {
	var problems []policy.Problem
	bytes := heapBytes(func() any {
		var set *policy.Set
		set, problems = policy.Compile(documents(n))
		return set
	})
	return bytes, firstProblem(problems)
}

// compileTime returns the time in microseconds that it takes to compile n documents.
func compileTime(_ context.Context, n int) (float64, error) {
	docs := documents(n)
	var problems []policy.Problem
	meanTime := minMeanDuration(3, func() { _, problems = policy.Compile(docs) })
	return float64(meanTime.Nanoseconds()) / 1e3, firstProblem(problems)
}

// firstProblem returns the first problem as an error, or nil if there is none.
func firstProblem(problems []policy.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return problems[0]
}

// applyTime returns the time in microseconds that it takes to apply n configuration
// changes to a new state machine.
func applyTime(_ context.Context, n int) (float64, error) {
	encodedDocument, err := json.Marshal(document(0))
	if err != nil {
		return 0, err
	}
	records := make([][]byte, n)
	for i := range records {
		records[i], _, err = config.EncodeChange(config.Change{
			ID:   fmt.Sprintf("change-%d", i),
			Base: model.Version(i),
			Put:  map[config.DocumentKey]json.RawMessage{config.DocumentKey(document(0).Key()): encodedDocument},
		})
		if err != nil {
			return 0, err
		}
	}
	var version model.Version
	meanTime := minMeanDuration(1, func() {
		machine := configuration.NewStateMachine()
		for i, r := range records {
			machine.ApplyRecord(uint64(i), r)
		}
		version = machine.Version()
	})
	if version != model.Version(n) {
		return 0, fmt.Errorf("version is %d after %d changes", version, n)
	}
	return float64(meanTime.Nanoseconds()) / 1e3, nil
}

// eventBytes returns the encoded size of n membership events.
func eventBytes(_ context.Context, n int) (float64, error) {
	var r member.Records
	for _, u := range upstreams(n) {
		r.Events = append(r.Events, member.Event{Upstream: u, State: member.Joined})
	}
	return float64(len(r.Encode())), nil
}
