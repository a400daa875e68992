// Package ceiling limits the request rate and the concurrency of a group across
// all daemons without a coordinator. Such a limit is called a ceiling.
//
// # Concept
//
// Each daemon enforces a share of the ceiling on the requests that it receives
// from callers. Shares are proportional to demand: each daemon reports how many
// requests per second it receives, including refused ones, and its share is its
// own demand divided by the sum of all reported demand. Daemons that hold the
// same reports compute shares that add up to exactly the ceiling. Only the shares of
// a rate may add up to more, because each daemon gets at least a minimum share
// (initialShare).
//
// Reports spread by gossip and therefore arrive late. When demand moves from some
// daemons to others, the daemons that gained demand still have small shares for a
// while, and the daemons that lost demand still have large ones. Until the reports
// have spread, the group therefore gets less than its ceiling. The group exceeds
// its ceiling mainly while some daemon does not know the demand of another. Two
// rules limit these errors. A daemon with new demand starts with a small share
// (initialShare), so that the excess is small. A daemon whose last report is older
// than expireAfter no longer counts in the sum of demand, so that the other daemons
// can use its share. docs/design/sharing.md lists the measured error.
//
// Two alternatives were rejected. With equal shares, most requests are refused
// when the demand arrives at only a few daemons. If each daemon subtracted the
// reported usage of the others from the ceiling, all daemons would claim the same
// unused capacity at once.
package ceiling
