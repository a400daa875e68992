package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// maxViews bounds the groups whose view of an upstream is remembered. For
// further ones all waiting requests count.
const maxQueueShares = 64

// queueShares hold, for each group, the part of the requests waiting at an upstream
// that would start before the group's next one. The queue of a group over its
// share is no reason for others to go elsewhere.
type queueShares map[model.GroupName]float64

// sees takes in what a group was told. While little waits the figure says
// little, and the last one stays.
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

// discounted returns how many of the requests at the upstream count for the
// group whose request is being placed. Up to saturation all do, since routing
// must keep work from queueing at all; of what waits beyond, only what would
// start before the group's next request.
func (c *candidate) requestsAheadOf(requests float64, g model.GroupName) float64 {
	full := saturation * float64(c.limit())
	if requests <= full {
		return requests
	}
	share, known := c.queueShares[g]
	if !known {
		return requests
	}
	return full + share*(requests-full)
}
