// Package configuration keeps a daemon's configuration up to date. It reads the
// config stream of the platform's log, applies the records to a replicated
// state machine, compiles the resulting documents and passes them to the data
// path. The last version that compiled is the configuration in force.
//
// A Store has two sources, the log and its peers. A daemon that is a log reader
// of its availability zone, or that receives nothing from its peers, reads the
// log often; other daemons read it rarely. Through a peer.Topic daemons also
// relay the records that they have applied, so that a daemon that cannot reach
// the log still follows within seconds. Both sources feed the same state
// machine, which applies a record only when it directly follows the records
// applied before. So the version in force never goes back, whichever source is
// used.
//
// Until a Store has read to the end of the log once after its start, a newer
// version than its own may exist. It serves with the version that peers sent
// and reports in its Status that it has not caught up.
package configuration
