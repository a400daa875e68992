package ceiling

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/ceiling"
	"github.com/dottereltiller/dottereltiller/peer"
)

var _ peer.Topic = (*Store)(nil)

const (
	// relayPeriod is how long a daemon relays a report after it made or received
	// the report.
	relayPeriod = 5 * time.Second
	// reportBytes is the encoded length of a report: the hash of the ceiling's
	// key, the hash of the daemon ID, the demand and the timestamp.
	reportBytes = 8 + 8 + 4 + 8
	// fibonacciMultiplier is 2^64 divided by the golden ratio, rounded to an odd
	// number. Its successive multiples are spread evenly (Fibonacci hashing).
	fibonacciMultiplier = 0x9E3779B97F4A7C15
)

// errPartialReport is returned for a delta whose length is not a multiple of
// reportBytes.
var errPartialReport = errors.New("ceiling: length of delta is not a multiple of the report length")

// Name implements peer.Topic.
func (*Store) Name() string { return "ceiling" }

// Digest implements peer.Topic. It returns a checksum of the reports in s.recentReports, or
// nil if there are none.
func (s *Store) Digest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recentReports) == 0 {
		return nil
	}
	var checksum uint64
	for _, r := range s.recentReports {
		checksum ^= (r.Key ^ uint64(r.Daemon)) * (2*r.Stamp + 1)
	}
	return binary.BigEndian.AppendUint64(nil, checksum)
}

// Delta implements peer.Topic. It returns reports of s.recentReports in at most limit
// bytes, or nil if the peer's digest equals the digest of this daemon. If the reports
// do not all fit into one delta, the first report varies from call to call, so that
// all of them are relayed over several exchange rounds.
func (s *Store) Delta(digest []byte, limit int) []byte {
	if bytes.Equal(digest, s.Digest()) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := make([]recentReport, 0, len(s.recentReports))
	for _, r := range s.recentReports {
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b recentReport) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Daemon, b.Daemon))
	})
	n := min(len(reports), limit/reportBytes)
	if n == 0 {
		return nil
	}
	// The start indexes of successive calls are spread evenly over the reports. If
	// the start index grew by one with each call, it could synchronize with the
	// order in which the peers exchange with this daemon. A peer could then get the
	// same few reports every time.
	s.deltaCount++
	start := int((s.deltaCount * fibonacciMultiplier) >> 33 % uint64(len(reports)))
	out := make([]byte, 0, n*reportBytes)
	for i := range n {
		out = appendReport(out, reports[(start+i)%len(reports)].Report)
	}
	return out
}

// Apply implements peer.Topic. It ignores reports on ceilings that are not in
// force at this daemon, and reports that Ceiling.Merge does not store. For a delta
// whose length is not a multiple of reportBytes it returns errPartialReport and
// applies nothing.
func (s *Store) Apply(delta []byte) error {
	if len(delta)%reportBytes != 0 {
		s.unreadableDeltas.Inc(1)
		return errPartialReport
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	for b := range slices.Chunk(delta, reportBytes) {
		r := readReport(b)
		c := s.ceilingByHash[r.Key]
		if c != nil && c.Merge(now, r) {
			s.recentReports[reportKey{r.Key, r.Daemon}] = recentReport{Report: r, addedAt: now}
		}
	}
	return nil
}

func appendReport(b []byte, r ceiling.Report) []byte {
	b = binary.BigEndian.AppendUint64(b, r.Key)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Daemon))
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(r.Demand))
	return binary.BigEndian.AppendUint64(b, r.Stamp)
}

func readReport(b []byte) ceiling.Report {
	return ceiling.Report{
		Key:    binary.BigEndian.Uint64(b),
		Daemon: ceiling.Daemon(binary.BigEndian.Uint64(b[8:])),
		Demand: math.Float32frombits(binary.BigEndian.Uint32(b[16:])),
		Stamp:  binary.BigEndian.Uint64(b[20:]),
	}
}
