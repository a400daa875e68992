// Package servicetime estimates how long upstreams take for the requests of each route.
//
// An entry needs the estimate before it sends a request: to compare upstreams, and to refuse what
// cannot end in time. The estimate is the mean of recent requests. It may be wrong, for example after
// all upstreams were slow, so an estimate that no request has confirmed of late must not keep requests
// from being sent: their responses are what corrects it.
package servicetime
