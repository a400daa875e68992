// Package configuration keeps a daemon's configuration up to date. It reads the
// config stream of the platform's log, applies the records to a replicated
// state machine, compiles the resulting documents and passes them to the data
// path. The last version that compiled is the configuration in force.
//
// A Store has two sources, the log and its peers. A few daemons of each
// availability zone, called log readers, read the log often, and so does a daemon
// that receives nothing from its peers. The other daemons read the log rarely. Every
// daemon relays the records that it has applied to its peers, through a peer.Topic. So
// a daemon that cannot reach the log still receives changes within seconds. Both
// sources feed the same state machine. The state machine applies a record only if that
// record directly follows the last one applied. So the version in force never
// decreases, whichever source is used.
//
// Until a Store has read to the end of the log once after its start, the log may
// hold a newer version than the Store does. During this time the Store uses the
// version that its peers sent, and reports in its Status that it has not caught up.
package configuration
