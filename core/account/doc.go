// Package account holds the client accounts of a configuration and finds the account of a
// request by its key.
//
// A caller authenticates with a key, a secret that belongs to one account. An account may have
// several keys, so that a caller can change to a new key before the old one is removed. An Index
// is built once for each version of the configuration and is immutable. A lookup is one access
// to a map, however many keys there are.
//
// Only the daemon that accepts a request handles its key. Between daemons, a Credential stands
// for the key: a hash that shows whether the account still has the key, and from which the key
// cannot be computed. Errors and log lines name accounts, never keys.
//
// The priority of an account precedes the rank of a route, see Ranks.
package account
