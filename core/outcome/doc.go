// Package outcome defines the three possible outcomes of a request or of one attempt,
// and the reasons for them.
//
// Answered means that this process has received the upstream's complete response.
// NotRun means that the request provably did not start. There are three kinds of proof:
//   - No byte of the request reached an upstream.
//   - The guard, the proxy in front of the upstream, withdrew the request from its queue.
//   - The upstream refused the request with a documented signal.
//
// Unknown covers everything else: the request may or may not have run. Without proof an
// outcome is Unknown, never NotRun.
//
// An Outcome is a value and not an error. An overloaded or failing upstream is an ordinary
// event for a load balancer.
package outcome
