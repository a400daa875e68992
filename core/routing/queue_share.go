package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// maxQueueShares bounds the number of groups whose queue share is stored per upstream.
// For other groups, all waiting requests count as starting before the next request.
const maxQueueShares = 64

// queueShares holds, for each group, the share of the requests waiting at an upstream
// that would start before the group's next request. With fair queueing, the long queue
// of a group that exceeds its share hardly delays the other groups. The other groups
// therefore need not avoid the upstream.
type queueShares map[model.GroupName]float64

// recordQueueShare stores the queue share of group g. load was received in a reply to a
// request of that group. If the queue is not longer than the upstream's limit, the
// previous share is kept, because so short a queue says little about the share.
func (c *candidate) recordQueueShare(g model.GroupName, load model.Load) {
	if g == "" || load.Waiting <= load.Limit {
		return
	}
	if _, known := c.queueShares[g]; !known && len(c.queueShares) >= maxQueueShares {
		return
	}
	if c.queueShares == nil {
		c.queueShares = make(queueShares)
	}
	c.queueShares[g] = min(float64(load.Ahead)/float64(load.Waiting), 1)
}

// requestsAheadOf returns how many requests are assumed to be ahead of a new request of group
// g. requests is the number of requests at the upstream. Up to saturation (see
// saturationFactor), all of them are counted, since routing should avoid queueing altogether.
// Beyond saturation, only those are counted that would start before the group's next request.
func (c *candidate) requestsAheadOf(requests float64, g model.GroupName) float64 {
	saturated := saturationFactor * float64(c.limit())
	if requests <= saturated {
		return requests
	}
	share, known := c.queueShares[g]
	if !known {
		return requests
	}
	return saturated + share*(requests-saturated)
}
