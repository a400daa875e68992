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

// recordedDay is when requests came and which upstreams were there on a day that was
// played and recorded.
type recordedDay struct {
	// WindowS is the length of a window in seconds, Rates the requests a second in
	// each.
	WindowS  int               `json:"window_s"`
	Rates    []float64         `json:"rates"`
	Services []recordedService `json:"services"`
}

// recordedService is what one service had to do and with what.
type recordedService struct {
	Slots int `json:"slots"`
	// Noise is the share of time that an upstream has a neighbour.
	Noise     float64            `json:"noise"`
	Upstreams []recordedUpstream `json:"upstreams"`
	Kinds     []recordedKind     `json:"kinds"`

	day *recordedDay
}

// recordedUpstream was there in some times, in seconds from the start.
type recordedUpstream struct {
	Zone model.AvailabilityZone `json:"zone"`
	Up   [][2]float64           `json:"up"`
}

// recordedKind is a kind of requests; Share is their number for each request of the
// day.
type recordedKind struct {
	Share         float64 `json:"share"`
	ServiceTimeMs float64 `json:"work_ms"`
	TargetMs      float64 `json:"target_ms"`
	DeadlineMs    float64 `json:"deadline_ms"`
	Rank          int     `json:"rank"`
}

const ticksPerSecond = int(time.Second / tickLength)

func (s *recordedService) ticks() int { return len(s.day.Rates) * s.day.WindowS * ticksPerSecond }

func (s *recordedService) rateAtTick(t int) float64 {
	share := 0.0
	for _, k := range s.Kinds {
		share += k.Share
	}
	return share * s.day.Rates[min(t/ticksPerSecond/s.day.WindowS, len(s.day.Rates)-1)]
}

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

// applyDowntime takes away the speed of an upstream where it was not there, and a part of it
// after each start but the first.
func (u *recordedUpstream) applyDowntime(speeds []float64) []float64 {
	out := make([]float64, len(speeds))
	for _, up := range u.Up {
		from, to := int(up[0]*float64(ticksPerSecond)), int(up[1]*float64(ticksPerSecond))
		for t := from; t < min(to, len(out)); t++ {
			out[t] = speeds[t]
			if from > 0 && t < from+coldTicks {
				out[t] /= coldSlowdown
			}
		}
	}
	return out
}

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

// TestRecordedDays plays the arrivals and the upstreams of heavy days, and compares what
// is served within its target with one central queue that knows all speeds of the
// future. Slow spells are drawn, and calls that requests make of other services count
// as requests of their own. RECORDED_DAYS names a directory with further days.
func TestRecordedDays(t *testing.T) {
	// ofCentral is the least part of what the central queue serves; the days
	// recorded here reach a little more.
	const ofCentral, noMore = 0.88, 0.005
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
			var ours, best, all float64
			for i := range day.Services {
				s := &day.Services[i]
				p := workload{slots: s.Slots, noise: s.Noise, recorded: s}
				m := newMesh(p, usePlacement, 1)
				share := m.play()
				sent := float64(m.sent)
				ours, best, all = ours+share*sent, best+centralQueueShare(p, 1)*sent, all+sent
			}
			t.Logf("within target: %.3f, central queue %.3f", ours/all, best/all)
			require.GreaterOrEqual(t, ours, ofCentral*best)
			require.LessOrEqual(t, ours, best+noMore*all)
		})
	}
}
