// Package guard implements the proxy in front of the upstreams of one VM. Only the
// guard connects to these upstreams. It enforces their concurrency limits with an
// admission.Controller for each upstream, forwards the admitted calls, and adds the
// upstream's exact load to every response.
package guard
