package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// Table is a validated configuration, indexed for lookups.
type Table struct {
	doc Document
	// routesByHost holds the routes of each normalized host, longest prefix first.
	routesByHost  map[string][]*Route
	serviceByName map[model.ServiceName]*Service
	// largestRank is the largest rank of any route. Requests of this rank are served
	// last.
	largestRank int
	// accounts is nil if the configuration has no client accounts.
	accounts *account.Index
	ranks    account.Ranks
}

// New checks a configuration and returns its Table. If a service, a route or a client account is
// invalid, New returns a *ServiceError, an *Error or an *account.Error for the first one.
func New(doc Document) (*Table, error) {
	t := &Table{
		doc:           doc,
		routesByHost:  make(map[string][]*Route),
		serviceByName: make(map[model.ServiceName]*Service, len(doc.Services)),
	}
	for i := range doc.Services {
		s := &t.doc.Services[i]
		if err := s.validate(doc.Version); err != nil {
			return nil, err
		}
		t.serviceByName[s.Name] = s
	}
	for i := range doc.Routes {
		r := &t.doc.Routes[i]
		if err := r.validate(doc.Version); err != nil {
			return nil, err
		}
		t.largestRank = max(t.largestRank, r.Rank)
		host := normalizeHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	t.ranks = account.NewRanks(t.largestRank)
	if doc.Accounts != nil {
		accounts, err := account.NewIndex(doc.Accounts)
		if err != nil {
			return nil, err
		}
		t.accounts = accounts
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() model.Version { return t.doc.Version }

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() Limits { return t.doc.Limits }

// NumRoutes returns the number of routes.
func (t *Table) NumRoutes() int { return len(t.doc.Routes) }

// Accounts returns the client accounts, or nil if the configuration has none. Requests then need
// no key.
func (t *Table) Accounts() *account.Index { return t.accounts }

// RankOf returns the rank of a request among those that wait for the same upstream. The priority
// of its account precedes the rank of its route. a is nil for a request without an account.
func (t *Table) RankOf(r *Route, a *account.Account) int { return t.ranks.Of(a, r.Rank) }

// AboveLowestPriority reports whether a rank that RankOf returned is that of a route with a higher
// priority than the largest rank of any route.
func (t *Table) AboveLowestPriority(rank int) bool { return t.ranks.RouteRank(rank) < t.largestRank }

// Service returns the configuration of a service.
func (t *Table) Service(name model.ServiceName) (*Service, bool) {
	s, ok := t.serviceByName[name]
	return s, ok
}

// Lookup returns the route of a request. Of the routes for the host, it selects the
// route with the longest prefix that the path starts with. Paths are case-sensitive.
// Lookup reports false when no route matches.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost returns a host without its port and in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
