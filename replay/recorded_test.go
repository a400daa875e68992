package replay_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// recordedDay is the recording of a day of load. It holds the request rates, the kinds of
// requests and the upstreams.
type recordedDay struct {
	// WindowS is the length of a time window in seconds.
	WindowS int `json:"window_s"`
	// Rates holds the number of requests a second in each time window of the day.
	Rates    []float64         `json:"rates"`
	Services []recordedService `json:"services"`
}

// recordedService holds the upstreams of one service and the kinds of its requests.
type recordedService struct {
	// Slots is the number of slots of each upstream.
	Slots int `json:"slots"`
	// Noise is the share of time that an upstream has a noisy neighbour.
	Noise     float64            `json:"noise"`
	Upstreams []recordedUpstream `json:"upstreams"`
	Kinds     []recordedKind     `json:"kinds"`

	day *recordedDay
}

// recordedUpstream is an upstream and the times when it was up.
type recordedUpstream struct {
	Zone model.AvailabilityZone `json:"zone"`
	// Up holds the start and the end of each interval in which the upstream was up, in
	// seconds from the start of the day.
	Up [][2]float64 `json:"up"`
}

// recordedKind is a kind of requests to one service.
type recordedKind struct {
	// Share is the number of requests of this kind for each request counted in
	// recordedDay.Rates. The shares of all kinds need not add up to 1.
	Share float64 `json:"share"`
	// ServiceTimeMs is the median service time at the usual speed.
	ServiceTimeMs float64 `json:"work_ms"`
	// TargetMs is the time in which a request should be served.
	TargetMs float64 `json:"target_ms"`
	// DeadlineMs is the time after which a request is given up.
	DeadlineMs float64 `json:"deadline_ms"`
	// Rank is the priority rank. Rank 0 is served first.
	Rank int `json:"rank"`
}

const ticksPerSecond = int(time.Second / tickLength)

// lengthTicks returns the length of the day in ticks.
func (s *recordedService) lengthTicks() int { return len(s.day.Rates) * s.day.WindowS * ticksPerSecond }

// rateAtTick returns the number of requests a second that the service receives at a tick.
func (s *recordedService) rateAtTick(t int) float64 {
	share := 0.0
	for _, k := range s.Kinds {
		share += k.Share
	}
	return share * s.day.Rates[min(t/ticksPerSecond/s.day.WindowS, len(s.day.Rates)-1)]
}

// kinds returns the kinds of requests in the form that the mesh uses.
func (s *recordedService) kinds() []requestKind {
	millis := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	var out []requestKind
	for _, k := range s.Kinds {
		out = append(out, requestKind{
			share: k.Share, serviceTime: millis(k.ServiceTimeMs), target: millis(k.TargetMs), deadline: millis(k.DeadlineMs), rank: k.Rank,
		})
	}
	return out
}

// applyDowntime returns a copy of the speeds that is 0 at ticks when the upstream was
// down. For coldTicks after each start, the speeds are divided by coldSlowdown. This does
// not apply to upstreams that were already up at the start of the day.
func (u *recordedUpstream) applyDowntime(speeds []float64) []float64 {
	adjusted := make([]float64, len(speeds))
	for _, up := range u.Up {
		startTick, stopTick := int(up[0]*float64(ticksPerSecond)), int(up[1]*float64(ticksPerSecond))
		for t := startTick; t < min(stopTick, len(adjusted)); t++ {
			adjusted[t] = speeds[t]
			if startTick > 0 && t < startTick+coldTicks {
				adjusted[t] /= coldSlowdown
			}
		}
	}
	return adjusted
}

// readDay reads a recording.
func readDay(t *testing.T, path string) *recordedDay {
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	d := &recordedDay{}
	require.NoError(t, json.Unmarshal(b, d))
	for i := range d.Services {
		d.Services[i].day = d
	}
	return d
}

// TestRecordedDays simulates the recorded arrivals and upstreams of days with heavy
// load. It compares the share of requests served within their target with the share that
// one central queue reaches. The central queue knows all future speeds. The times with
// noisy neighbours are not recorded but drawn at random. A request that one service sends
// to another while it executes a request counts as a separate request.
//
// The environment variable RECORDED_DAYS names a directory of recordings to use instead
// of testdata/days.
func TestRecordedDays(t *testing.T) {
	// minRatio is the least ratio of the production policy's share to the central
	// queue's share. The recordings in testdata reach slightly more.
	//
	// tolerance is how much the production policy's share may exceed the central
	// queue's share. It allows for random variation.
	const minRatio, tolerance = 0.88, 0.005
	dir := os.Getenv("RECORDED_DAYS")
	if dir == "" {
		dir = filepath.Join("testdata", "days")
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			day := readDay(t, file)
			// Numbers of requests over all services: within their target with the
			// production policy, within their target with the central queue, and in total.
			var inTime, inTimeCentral, total float64
			for i := range day.Services {
				s := &day.Services[i]
				w := workload{slots: s.Slots, noiseShare: s.Noise, recorded: s}
				m := newMesh(w, usePlacement, 1)
				share := m.simulate()
				sent := float64(m.sentCount)
				inTime, inTimeCentral, total = inTime+share*sent, inTimeCentral+centralQueueShare(w, 1)*sent, total+sent
			}
			t.Logf("share within target: %.3f, central queue %.3f", inTime/total, inTimeCentral/total)
			require.GreaterOrEqual(t, inTime, minRatio*inTimeCentral)
			require.LessOrEqual(t, inTime, inTimeCentral+tolerance*total)
		})
	}
}
