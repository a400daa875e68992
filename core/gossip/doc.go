// Package gossip decides whom a daemon tells of news, and how often it compares what it
// knows with others.
//
// # Concept
//
// News are pushed: whoever learns of some tells a few daemons of its own availability
// zone, and seldom one of another zone; the daemon where the news began tells one of
// each zone. So the bytes between zones grow with the zones and hardly with the daemons
// of each. What a push does not reach is found by comparing digests with one daemon at a
// time. Daemons that have agreed a few times in a row compare seldom.
//
// Both are known as rumor mongering and anti-entropy (Demers et al., Epidemic Algorithms
// for Replicated Database Maintenance, PODC 1987).
package gossip
