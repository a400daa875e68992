package sidecar

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkIdleDaemons measures the CPU time and the traffic of daemons that serve no
// requests, after their start-up traffic has settled.
func BenchmarkIdleDaemons(b *testing.B) {
	const settleTime, interval = 8 * time.Second, 10 * time.Second
	for _, numDaemons := range []int{10, 40} {
		b.Run(fmt.Sprint(numDaemons, " daemons"), func(b *testing.B) {
			s := newStore(documentOf(1, "a"))
			var members []*member
			for i := range numDaemons {
				members = append(members, startReady(b, s, "a", fmt.Sprint("a", i)))
			}
			time.Sleep(settleTime)
			for b.Loop() {
				cpuBefore, sentBefore := cpuTime(b), controlBytes(members, "", "sent")
				time.Sleep(interval)
				daemonSeconds := interval.Seconds() * float64(numDaemons)
				b.ReportMetric(100*(cpuTime(b)-cpuBefore).Seconds()/daemonSeconds, "%core/daemon")
				b.ReportMetric(float64(controlBytes(members, "", "sent")-sentBefore)/daemonSeconds, "B/s/daemon")
			}
		})
	}
}
