package route

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// splitTo returns a traffic split with a single service.
func splitTo(service model.ServiceName) []WeightedService {
	return []WeightedService{{Service: service, Weight: 1}}
}

func newRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, MaxAttempts: 2, Split: splitTo("s")}
}

func TestLookupMatchesHostThenLongestPrefix(t *testing.T) {
	table, err := New(Document{Version: 3, Routes: []Route{
		newRoute("short", "a.example", "/x/"),
		newRoute("long", "a.example", "/x/y/"),
		newRoute("other", "B.example", "/x/"),
	}})
	require.NoError(t, err)
	for name, c := range map[string]struct{ host, path, want string }{
		"longest prefix wins":           {"a.example", "/x/y/z", "long"},
		"prefix itself":                 {"a.example", "/x/", "short"},
		"prefix matches whole segments": {"a.example", "/x/yz", "short"},
		"path without trailing slash":   {"a.example", "/x", ""},
		"host is matched before prefix": {"b.example", "/x/y/z", "other"},
		"port and case are ignored":     {"A.Example:8080", "/x/q", "short"},
		"unknown host":                  {"c.example", "/x/", ""},
		"path is case-sensitive":        {"a.example", "/X/", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Lookup(c.host, c.path)
			require.Equal(t, c.want != "", ok)
			if ok {
				require.Equal(t, c.want, r.Name)
			}
		})
	}
}

func TestNewErrorNamesField(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Route)
		field  string
	}{
		"no host":                       {func(r *Route) { r.Host = "" }, "host"},
		"prefix without trailing slash": {func(r *Route) { r.Prefix = "/x" }, "prefix"},
		"empty prefix":                  {func(r *Route) { r.Prefix = "" }, "prefix"},
		"no attempts":                   {func(r *Route) { r.MaxAttempts = 0 }, "attempts"},
		"negative timeout":              {func(r *Route) { r.Timeout = -1 }, "timeout"},
		"empty split":                   {func(r *Route) { r.Split = nil }, "split"},
		"negative weight":               {func(r *Route) { r.Split = []WeightedService{{"s", 2}, {"t", -1}} }, "split"},
		"nothing has weight":            {func(r *Route) { r.Split = []WeightedService{{"s", 0}} }, "split"},
		"empty service":                 {func(r *Route) { r.Split = splitTo("") }, "split"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoute("r", "h", "/x/")
			c.change(&r)
			_, err := New(Document{Version: 7, Routes: []Route{r}})
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, c.field, e.Field)
			require.Equal(t, model.Version(7), e.Version)
		})
	}
}

// TestSplitSharesAreExact checks the shares of a split after every request, since
// operators compare them over short periods. With two services, each must be within
// one request of its share. With n services, each must be within n-1 requests.
func TestSplitSharesAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 5).Draw(t, "weights")
		r := Route{Name: "r"}
		totalWeight := 0.0
		for i, w := range weights {
			r.Split = append(r.Split, WeightedService{Service: model.ServiceName(rune('a' + i)), Weight: float64(w)})
			totalWeight += float64(w)
		}
		if totalWeight == 0 {
			t.Skip("no weight")
		}
		var splitter Splitter
		pickCounts := map[model.ServiceName]float64{}
		for n := 1; n <= 200; n++ {
			pickCounts[splitter.Pick(&r)]++
			for _, service := range r.Split {
				require.InDelta(t, float64(n)*service.Weight/totalWeight, pickCounts[service.Service], float64(len(weights))-1+1e-6)
				if service.Weight == 0 {
					require.Zero(t, pickCounts[service.Service])
				}
			}
		}
	})
}

// TestSplitStateSurvivesNewVersion picks twice from a route whose split is replaced by an
// equal split in between. The round robin must continue, so the picks must differ.
func TestSplitStateSurvivesNewVersion(t *testing.T) {
	var splitter Splitter
	split := []WeightedService{{"a", 50}, {"b", 50}}
	firstPick := splitter.Pick(&Route{Name: "r", Split: split})
	secondPick := splitter.Pick(&Route{Name: "r", Split: []WeightedService{{"a", 50}, {"b", 50}}})
	require.NotEqual(t, firstPick, secondPick)
}

func TestAboveLowestPriority(t *testing.T) {
	tableWithRanks := func(ranks ...int) *Table {
		var doc Document
		for _, rank := range ranks {
			r := newRoute("r", "h", "/x/")
			r.Rank = rank
			doc.Routes = append(doc.Routes, r)
		}
		table, err := New(doc)
		require.NoError(t, err)
		return table
	}
	require.True(t, tableWithRanks(0, 1, 2).AboveLowestPriority(1))
	require.False(t, tableWithRanks(0, 1, 2).AboveLowestPriority(2))
	require.False(t, tableWithRanks(1, 1).AboveLowestPriority(1), "with a single rank no request is above the lowest priority")
}
