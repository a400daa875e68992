package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meanCutInterval is the mean time between two cuts of kind kindCut in a plan.
const meanCutInterval = 15 * time.Second

// maxCutDuration is the longest duration that is drawn for a cut. It is longer than a holder of quotas that is cut off
// may go on, and than it takes to replace one.
const maxCutDuration = 13 * time.Second

// drawCuts draws cuts of single VMs, and of halves of zones. They have a random sequence of their own, so that the other
// faults of a seed are those of plans without them.
func drawCuts(seed uint64, vms int, from, end time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var faults []Fault
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanCutInterval)).Round(time.Millisecond)
		if at >= end {
			return faults
		}
		modes := faultModes[kindCut]
		d := (minFaultDuration + time.Duration(rng.Float64()*float64(maxCutDuration-minFaultDuration))).Round(time.Millisecond)
		faults = append(faults, Fault{At: at, Kind: kindCut, VM: 1 + rng.IntN(vms), Mode: modes[rng.IntN(len(modes))], Duration: min(d, end-at)})
	}
}

// link is the path from the daemon of one VM to that of another, both by the numbers of the VMs.
type link struct{ from, to int }

// cut is a set of links that pass nothing. If refuses is set, connections over them are reset, otherwise they are silent.
type cut struct {
	links   map[link]bool
	refuses bool
}

// cuts holds the cuts in force between the daemons. It is safe for concurrent use.
type cuts struct {
	mu     sync.Mutex
	active []*cut
}

func (c *cuts) add(x *cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = append(c.active, x)
}

func (c *cuts) remove(x *cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = slices.DeleteFunc(c.active, func(y *cut) bool { return x == y })
}

// none reports whether no cut is in force.
func (c *cuts) none() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0
}

// mode returns the mode of a proxy that applies to a link: empty if the link is not cut.
func (c *cuts) mode(l link) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.active {
		switch {
		case !x.links[l]:
		case x.refuses:
			return "reset"
		default:
			return "silent"
		}
	}
	return ""
}

// cutFor returns the links that a fault of kind kindCut cuts.
func (h *harness) cutFor(f Fault) *cut {
	x := &cut{links: make(map[link]bool), refuses: f.Mode == "refuse" || f.Mode == "halves"}
	// half holds the half of the VM's zone to which each VM of the zone belongs.
	half := make(map[*vm]int)
	for _, m := range h.vms {
		if m.config.Zone == h.vms[f.VM-1].config.Zone {
			half[m] = 1 + len(half)%2
		}
	}
	isCut := func(from, to *vm) bool {
		switch f.Mode {
		case "halves":
			return half[from] != half[to] && half[from] != 0 && half[to] != 0
		case "out":
			return from.number == f.VM
		default:
			return from.number == f.VM || to.number == f.VM
		}
	}
	for _, from := range h.vms {
		for _, to := range h.vms {
			if from != to && isCut(from, to) {
				x.links[link{from.number, to.number}] = true
			}
		}
	}
	return x
}

// cutLinks cuts links between daemons for the duration of a fault. In mode refuse, nobody listens at the address of the VM
// for others.
func (h *harness) cutLinks(f Fault) {
	x := h.cutFor(f)
	h.cuts.add(x)
	if p := h.vms[f.VM-1].peerProxy; f.Mode == "refuse" {
		p.stopListening()
		defer func() {
			// The listener may be back already if two cuts of the VM overlap.
			_ = p.listen()
		}()
	}
	for _, m := range h.vms {
		m.peerProxy.resetCutConns()
	}
	time.Sleep(f.Duration)
	h.cuts.remove(x)
}

// scanInterval is the shortest time between two readings of the sockets of all daemons. Connections that are accepted in
// between share one.
const scanInterval = 50 * time.Millisecond

// socketOwners tells which VM a connection comes from. Daemons connect from one loopback address, so that only their
// sockets tell them apart. It is safe for concurrent use.
type socketOwners struct {
	mu        sync.Mutex
	scannedAt time.Time
	// byPort holds the numbers of the VMs by the local ports of the connections of their daemons.
	byPort map[int]int
}

// numberOf returns the number of the VM whose daemon has a connection with a local port, which was accepted at an instant.
// It is 0 if there is none.
func (s *socketOwners) numberOf(port int, acceptedAt time.Time, vms []*vm) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.scannedAt.After(acceptedAt) {
		time.Sleep(scanInterval - time.Since(s.scannedAt))
		s.scannedAt, s.byPort = time.Now(), portsOfDaemons(vms)
	}
	return s.byPort[port]
}

// portsOfDaemons returns the numbers of VMs by the local ports of the connections of their daemons.
func portsOfDaemons(vms []*vm) map[int]int {
	byInode := make(map[string]int)
	for _, m := range vms {
		for _, inode := range m.sockets() {
			byInode[inode] = m.number
		}
	}
	byPort := make(map[int]int)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return byPort
	}
	defer func() { _ = f.Close() }()
	const localField, inodeField = 1, 9
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) <= inodeField || byInode[fields[inodeField]] == 0 {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[localField], ":")
		if port, err := strconv.ParseUint(hexPort, 16, 16); err == nil {
			byPort[int(port)] = byInode[fields[inodeField]]
		}
	}
	return byPort
}

// sockets returns the inodes of the open sockets of the daemon.
func (m *vm) sockets() []string {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return nil
	}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process.Process.Pid))
	var inodes []string
	for _, name := range files {
		target, _ := os.Readlink(name)
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}
	return inodes
}

// links returns the links of the proxy in front of the daemon of a VM.
func (h *harness) links(m *vm) *daemonLinks {
	numbers := make(map[string]int)
	for i := 1; i <= h.plan.VMs; i++ {
		numbers[h.ip(i)] = i
	}
	return &daemonLinks{
		vm: m.number, cuts: &h.cuts,
		ofDatagrams: func(sender *net.UDPAddr) int { return numbers[sender.IP.String()] },
		ofConn: func(client net.Addr, acceptedAt time.Time) int {
			return h.sockets.numberOf(client.(*net.TCPAddr).Port, acceptedAt, h.vms)
		},
	}
}
