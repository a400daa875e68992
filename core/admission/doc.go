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
// can be withdrawn. It then has certainly not run.
//
// Three rules decide which request is refused:
//
//   - When a group exceeds its queue bound, the oldest waiting request of the
//     group's caller with the longest queue is refused.
//   - When the whole queue is full, the same is done in the group whose backlog
//     is largest relative to its weight.
//   - A request that cannot meet its deadline is refused early: on arrival, when
//     the requests of its group that are ahead of it take too long; and when its
//     turn comes, when the time left is shorter than requests of its group
//     usually run and other requests wait for the slot.
//
// The Controller has no goroutines and no clock. The caller passes in the
// current time and carries out the effects that each call returns.
package admission
