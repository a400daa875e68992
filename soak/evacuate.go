package soak

import (
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

const (
	// coldOverage and coldSlack bound the requests that a cold upstream may get in a second:
	// coldOverage times platformtest.ColdPerSecond, plus coldSlack.
	coldOverage = 1.5
	coldSlack   = 8.0
	// evacuationAllowance is how long after the publication of an evacuation a request may still
	// start in the zone.
	evacuationAllowance = 5 * time.Second
	// minEvacuation is the shortest evacuation. A shorter one would end before it has to be in force.
	minEvacuation = evacuationAllowance + 2*time.Second
)

// evacuate evacuates a zone for a time, at least minEvacuation, and takes it back. Its upstreams are
// cold then. It does nothing while a zone is evacuated, so that the others can bear the load.
func (h *harness) evacuate(zone string, duration time.Duration) {
	if !h.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer h.evacuating.Store(false)
	h.checker.recordEvacuation(zone, true)
	h.store.Put(platformtest.TopicOperator, evacuationRecord(zone, true))
	time.Sleep(max(duration, minEvacuation))
	for _, m := range h.vms {
		if m.config.Zone == zone {
			m.upstream.BecomeCold()
		}
	}
	h.checker.recordEvacuation(zone, false)
	h.store.Put(platformtest.TopicOperator, evacuationRecord(zone, false))
}

// evacuationRecord returns the record with which the operator starts or ends an evacuation.
func evacuationRecord(zone string, evacuated bool) platformtest.Record {
	r := platformtest.Record{Key: "evacuate/" + zone}
	if evacuated {
		r.Value = []byte("{}")
	}
	return r
}

// repeatEvacuations evacuates the zones again that are evacuated. It is called after the store has lost
// the records of the operator.
func (h *harness) repeatEvacuations() {
	for _, zone := range h.checker.restartEvacuations() {
		h.store.Put(platformtest.TopicOperator, evacuationRecord(zone, true))
	}
}

// recordEvacuation records that the operator starts or ends the evacuation of a zone.
func (c *checker) recordEvacuation(zone string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedZones, zone)
	if evacuated {
		c.evacuatedZones[zone] = time.Now()
	}
}

// restartEvacuations counts all evacuations from now on, and returns their zones.
func (c *checker) restartEvacuations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var zones []string
	for zone := range c.evacuatedZones {
		c.evacuatedZones[zone] = time.Now()
		zones = append(zones, zone)
	}
	return zones
}

// checkEvacuation checks that the zone of an upstream that starts a request is not evacuated. The
// caller must hold c.mu.
func (c *checker) checkEvacuation(u *platformtest.Upstream, attempt string, arrivedAt time.Time) {
	evacuatedAt, ok := c.evacuatedZones[u.Zone]
	if !ok || c.safetyOnly || arrivedAt.Sub(evacuatedAt)-c.handlingDelay() <= evacuationAllowance || !c.inTouch(u) {
		return
	}
	c.addViolationLocked("evacuation: %s ran at %s in %s %s after the evacuation", attempt, u.ID(), u.Zone, arrivedAt.Sub(evacuatedAt).Round(time.Millisecond))
}

// ColdRequest checks how many requests a cold upstream gets within a second. It implements
// platformtest.Observer. Requests that the process of the test handles late arrive closer together
// than they were sent.
func (c *checker) ColdRequest(u *platformtest.Upstream, attempt string, inSecond int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := platformtest.ColdPerSecond*coldOverage + coldSlack
	if float64(inSecond) > allowed*(1+c.handlingDelay().Seconds()) {
		c.addViolationLocked("cold: %s was request %d within a second at %s, which is cold; allowed are %.0f", attempt, inSecond, u.ID(), allowed)
	}
}

// vmInTouch reports whether the VM of an upstream has been without unplanned faults for quietPeriod.
func (h *harness) vmInTouch(u *platformtest.Upstream) bool {
	for _, m := range h.vms {
		if m.upstream == u {
			return m.undisturbed()
		}
	}
	return false
}
