package bench

import (
	"context"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/local"
	"github.com/dottereltiller/dottereltiller/settings"
)

// daemonCounts are the numbers of daemons for which idleCPU is measured. They are small
// enough to run all the daemons of a measurement in one process.
var daemonCounts = []int{32, 48, 64, 96}

const (
	// settleTime is the time between the start of the daemons and the start of the
	// measurement.
	settleTime = 2 * time.Second
	// measuringTime is the time over which the CPU time is measured.
	measuringTime = 5 * time.Second
)

// daemonMeasurements returns the measurements that need running daemons.
func daemonMeasurements() []measurement {
	return []measurement{
		{"control of one daemon at rest", "us of CPU a second", "daemon", daemonCounts, idleCPU},
	}
}

// idleCPU runs n daemons without load. It returns the mean CPU time that one daemon uses
// per second, in microseconds. The CPU time of the stand-in upstreams,
// the test servers behind the daemons, is included.
func idleCPU(ctx context.Context, n int) (float64, error) {
	d, err := startDaemons(ctx, n)
	if err != nil {
		return 0, err
	}
	defer d.Stop()
	if err := sleep(ctx, settleTime); err != nil {
		return 0, err
	}
	cpuBefore, start := processCPU(), time.Now()
	if err := sleep(ctx, measuringTime); err != nil {
		return 0, err
	}
	used := processCPU() - cpuBefore
	return used.Seconds() / time.Since(start).Seconds() / float64(n) * 1e6, nil
}

// startDaemons starts n daemons in five zones. Each daemon has one upstream, and eight
// upstreams form a service. The last service has fewer if n is not a multiple of eight.
func startDaemons(ctx context.Context, n int) (*local.Deployment, error) {
	const upstreamsPerService = 8
	opts := local.Options{
		Zones:       []model.AvailabilityZone{"a", "b", "c", "d", "e"},
		LogInterval: time.Duration(settings.Defaults().Log.Interval),
	}
	for i := 0; i < n; i += upstreamsPerService {
		name := string(upstream(i / upstreamsPerService).Service)
		upstreamCount := min(upstreamsPerService, n-i)
		opts.Services = append(opts.Services, local.Service{Name: model.ServiceName(name), Upstreams: upstreamCount, Slots: 6})
		opts.Documents = append(opts.Documents, policy.Document{Kind: policy.KindService, Name: name, Spec: []byte(`{}`)})
	}
	opts.Documents = append(opts.Documents, policy.Document{Kind: policy.KindSharingPolicy, Name: "all", Spec: []byte(
		`{"services":"","default_group":"all","groups":[{"name":"all","callers":"","weight":1}]}`)})
	return local.Start(ctx, opts)
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// processCPU returns the CPU time that this process has used, or 0 if that cannot
// be determined.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
