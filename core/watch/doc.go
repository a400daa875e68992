// Package watch decides which daemons watch the store of the configuration.
//
// # Concept
//
// A few daemons of each availability zone hold a reading of the store that waits for the
// next version, and hand versions on. They send heartbeats to the others, which say
// whether they reach the store. The others read nothing while they hear enough of them.
//
// The daemons of a zone are put in order, and large zones are divided into cells. The
// first of a cell watch it. When heartbeats stay away, or say that the store is out of
// reach, others step in by chance, but only a few at once: a store that is away for all is
// not to be called by all. A daemon that does not reach the store
// gives up after a while, so that all take turns where the store serves only some. Daemons
// that disagree on who is there, or do not hear each other, have more watchers than are
// needed, never fewer.
package watch
