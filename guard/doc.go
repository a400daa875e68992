// Package guard implements the proxy in front of the upstreams of one VM. Only the
// guard connects to these upstreams. It has an admission.Controller for each upstream,
// which enforces the upstream's concurrency limit. The guard forwards the admitted
// calls, and adds the upstream's exact load to every response.
package guard
