package proctest

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxIdleBytes bounds the resident memory of an idle daemon. The bound is the target for a
// daemon in a deployment of full size.
const maxIdleBytes = 32 << 20

// clockTicks is the number of clock ticks a second. /proc reports processor time in clock
// ticks. Linux fixes their number at 100 for user space.
const clockTicks = 100

// residentBytes returns the resident memory of the daemon's process.
func (v *vm) residentBytes() int64 {
	v.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	require.NoError(v.t, err)
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(f[1], 10, 64)
			require.NoError(v.t, err)
			return kib << 10
		}
	}
	require.FailNow(v.t, "no VmRSS")
	return 0
}

// cpuTime returns the processor time that the daemon's process has used.
func (v *vm) cpuTime() time.Duration {
	v.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
	require.NoError(v.t, err)
	f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	// The indexes of the user time and the system time in the fields after the command's name.
	const userTimeIndex, systemTimeIndex = 11, 12
	ticks := 0
	for _, i := range []int{userTimeIndex, systemTimeIndex} {
		n, err := strconv.Atoi(f[i])
		require.NoError(v.t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// sumCounter returns the sum of a counter of the daemon's metrics over all label values.
func (v *vm) sumCounter(name string) float64 {
	v.t.Helper()
	resp, err := http.Get("http://" + v.adminAddress() + "/metrics")
	require.NoError(v.t, err)
	defer func() { _ = resp.Body.Close() }()
	total := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) != 2 || (f[0] != name && !strings.HasPrefix(f[0], name+"{")) {
			continue
		}
		n, err := strconv.ParseFloat(f[1], 64)
		require.NoError(v.t, err)
		total += n
	}
	return total
}

// TestIdleDaemonMemoryIsBounded checks that the resident memory of daemons without requests stays
// below maxIdleBytes.
func TestIdleDaemonMemoryIsBounded(t *testing.T) {
	c := startCluster(t, map[string]int{"returdesk": 3, "sporarkiv": 3})
	c.awaitVersion(c.publish(documents("3s")))
	for _, v := range c.vms {
		require.Less(t, v.residentBytes(), int64(maxIdleBytes), v.upstream.ID)
	}
}

// BenchmarkIdleDaemon reports the resource usage per daemon without requests, for deployments of
// several sizes.
func BenchmarkIdleDaemon(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := startCluster(b, map[string]int{"returdesk": n / 2, "sporarkiv": n / 2})
			c.awaitVersion(c.publish(documents("3s")))
			time.Sleep(8 * time.Second)
			for b.Loop() {
				c.reportIdleCost(b, 10*time.Second)
			}
		})
	}
}

// reportIdleCost measures for a period. It reports the mean processor time and peer traffic of a
// daemon, the requests of all daemons to the log, and the largest resident memory of a daemon.
func (c *cluster) reportIdleCost(b *testing.B, period time.Duration) {
	cpuBefore, bytesBefore := c.totalUsage()
	readsBefore, appendsBefore := c.logReads.Load(), c.logAppends.Load()
	startedAt := time.Now()
	time.Sleep(period)
	cpuAfter, bytesAfter := c.totalUsage()
	elapsed := time.Since(startedAt).Seconds()
	daemonSeconds := elapsed * float64(len(c.vms))
	var maxRSS int64
	for _, v := range c.vms {
		maxRSS = max(maxRSS, v.residentBytes())
	}
	b.ReportMetric((cpuAfter-cpuBefore).Seconds()/daemonSeconds*100, "%core")
	b.ReportMetric((bytesAfter-bytesBefore)/daemonSeconds, "peerB/s")
	b.ReportMetric(float64(c.logReads.Load()-readsBefore)/elapsed, "reads/s")
	b.ReportMetric(float64(c.logAppends.Load()-appendsBefore)/elapsed, "appends/s")
	b.ReportMetric(float64(maxRSS)/(1<<20), "maxMiB")
}

// totalUsage returns the processor time and the bytes of peer traffic, each summed over all
// daemons.
func (c *cluster) totalUsage() (cpu time.Duration, peerBytes float64) {
	for _, v := range c.vms {
		cpu += v.cpuTime()
		peerBytes += v.sumCounter("dottereltiller_peer_bytes")
	}
	return cpu, peerBytes
}
