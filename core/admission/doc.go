// Package admission implements admission control for one upstream. The guard, the
// proxy on the upstream's VM, uses it to decide which request starts next and
// which is refused.
//
// # Concept
//
// A Controller keeps the number of running requests within the upstream's
// concurrency limit and queues the others; package fairqueue defines their
// order. The order is decided only when a slot becomes free, so a new
// configuration also applies to requests that already wait. A waiting request
// can be withdrawn from the queue. A withdrawn request has certainly not run.
//
// Three rules decide which request is refused:
//
//   - When a group exceeds its queue bound, the controller selects the caller of
//     the group with the most waiting requests, and refuses the oldest of these.
//   - When the whole queue is full, the controller does the same in the group
//     whose backlog is largest relative to its weight.
//   - A request that cannot meet its deadline is refused early. On arrival, it is
//     refused when the requests of its group that are ahead of it take too long.
//     When its turn comes, it is refused when the time left is shorter than a slot
//     time that few requests of its group exceed (fairqueue.Estimate.Upper). It is
//     not refused at its turn when no other request waits for the slot.
//
// The Controller has no goroutines and no clock. The caller passes in the
// current time and carries out the effects that each call returns.
package admission
