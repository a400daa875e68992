// Package quarantine detects requests that crash the upstreams that run them,
// and refuses them for a limited time.
//
// # Concept
//
// A request is identified by its Fingerprint: a hash of service, caller, method,
// target and body. When an upstream crashes, every request that was running on
// it becomes a suspected request for that crash. A request that was running
// during enough distinct crashes (Rule.Crashes) is quarantined: for the time
// Rule.Duration, all daemons refuse requests with its fingerprint.
//
// Requests that only happened to run at the same time as the cause of a crash
// must not be quarantined. Four rules protect them. First, a suspected request
// that gets a complete response later, or got one up to survivalPeriod before, is
// cleared. Second, when a request is quarantined, its crashes are removed from the
// records of the service's other requests. Requests that only ran at the same time
// are then no longer suspected. Third, of the requests that ran during the same
// crashes, those that got a complete response up to answeredPeriod before are left
// out if there are others. Fourth, when more than maxQuarantinedTogether requests
// remain, none of them is quarantined until another crash distinguishes them.
//
// A Table is a set of records that daemons exchange in any order. A record holds
// the crashes during which a request was running, the time at which the request
// was last cleared or released by an operator, and the end of its quarantine. For
// each of these the newest value wins. Tables that have merged the same records
// therefore agree. The size of a Table and of each record is bounded.
package quarantine
