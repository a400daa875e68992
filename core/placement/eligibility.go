package placement

import "github.com/dottereltiller/dottereltiller/core/model"

// eligibility says which candidates may be chosen. Higher values allow more of them and
// are used only if the lower ones leave no candidate.
type eligibility uint8

const (
	// preferredOnly allows upstreams that are reachable and whose daemons keep running.
	preferredOnly eligibility = iota
	// includeStopping also allows upstreams whose daemons are about to stop. They serve
	// requests until the daemon refuses them.
	includeStopping
	// includeUnreachable also allows upstreams that recently could not be reached, unless their
	// daemons are about to stop: such a daemon has probably ended.
	includeUnreachable
)

func (e eligibility) allows(c *candidate, now model.Instant) bool {
	switch e {
	case preferredOnly:
		return c.unreachableUntil <= now && !c.upstream.Stopping
	case includeStopping:
		return c.unreachableUntil <= now
	default:
		return c.unreachableUntil <= now || !c.upstream.Stopping
	}
}

// queryEligibility returns which candidates are queried. Those whose daemons are about to stop are
// queried only if there are no others, because one of them may have ended.
func (p *Placer) queryEligibility(now model.Instant, req Request) eligibility {
	for _, c := range p.candidates {
		if preferredOnly.allows(c, now) && (req.Exclude == nil || !req.Exclude(c.upstream)) {
			return preferredOnly
		}
	}
	return includeStopping
}
