// Package fairqueue orders waiting requests by weighted fair queueing in slot
// time: the time that a request holds one of the upstream's slots.
//
// # Concept
//
// Each group has a weight and a virtual time: the slot time charged to it
// divided by its weight. The next request comes from the waiting group whose
// virtual time is lowest, so that backlogged groups get slot time in proportion
// to their weights. A group that becomes active after an idle period starts no
// earlier than the system virtual time, the virtual time of the group served last.
// The group therefore accumulates no credit while it is idle. A group whose virtual
// time is ahead of the system virtual time keeps its virtual time, so it cannot
// escape its charges by going idle. Inside a group the same rule divides
// the group's slot time equally among its callers. A group therefore gains
// nothing by using many callers, and a caller gains nothing by sending more
// requests than the others.
//
// The slot time of a request is unknown until the request ends. When the request
// starts, the queue charges the recent mean slot time of the group. Each time the
// running time reaches the charge so far, the queue charges again. When the request
// ends, the queue corrects the charge to the slot time used. The sum of the charges of
// ended requests is therefore exactly the slot time that they used.
//
// A weight above zero counts as at least one hundredth of the largest weight
// (MinWeightRatio), so that no group with a weight above zero starves. Groups of
// weight zero form the background class. The other groups form the foreground class.
// The requests of the background class start only when no group of the foreground
// class has a request that may start.
//
// A group may have a limit on its running requests, so that the long requests
// of one group never hold all slots. While requests wait, a slot stays idle only if such
// limits hold back all of them.
//
// Every operation costs O(log groups + log waiting) and allocates nothing once
// the queue has reached its working size.
package fairqueue
