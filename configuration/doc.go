// Package configuration keeps a daemon's configuration up to date. It reads the
// config stream of the platform's log, applies the records to a replicated
// state machine, compiles the resulting documents and passes them to the data
// path. The last version that compiled is the configuration in force.
//
// A Store has two sources, the log and its peers. These daemons read the log often:
// the log readers of each availability zone, and daemons that receive nothing
// from their peers. The other daemons read it rarely. Daemons also relay the
// records that they have applied, through a peer.Topic. So a daemon that cannot
// reach the log still receives changes within seconds. Both sources feed the
// same state machine. It applies a record only if that record directly follows
// the records applied before. So the version in force never goes back,
// whichever source is used.
//
// Until a Store has read to the end of the log once after its start, a newer
// version than its own may exist. During this time the Store uses the version
// that peers sent, and reports in its Status that it has not caught up.
package configuration
