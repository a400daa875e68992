// Package limit estimates how many requests an upstream can really run concurrently.
//
// An upstream announces its number of slots, and that number may be too high. The excess
// requests then queue inside the upstream, where they can be neither withdrawn nor reordered. A
// Limiter observes slot times: how long each request occupies a slot. It compares the slot
// times of requests that ran at the limit with those of uncontended requests, which ran
// together with few others. If requests at the limit take clearly longer, they contend for
// resources in the upstream, and the limit is lowered. Otherwise the limit is raised again, one
// step at a time.
//
// The comparison uses a low quantile instead of the mean. Contention slows down all requests
// alike, whereas a surge of costly requests raises the mean but hardly affects the low
// quantile. Only the ratio of the two low quantiles (at the limit and uncontended) counts: an
// upstream that becomes slow for all requests (a straggler) keeps its limit.
//
// Under constant load at the limit, no request runs uncontended. A Limiter then
// occasionally halves the limit for a few requests to obtain uncontended samples.
//
// A Limiter also tracks the recent mean slot time and the failure rate. The guard, the proxy in
// front of the upstream, reports both in the model.Load that its replies carry.
package limit
