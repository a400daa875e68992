package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/load"
)

// Result holds the part of a result file that is drawn. Load runs and replays write result
// files.
type Result struct {
	// Label names the result in the legends, titles and file names of plots.
	Label  string  `json:"-"`
	Groups []Stats `json:"groups"`
}

// Stats are the results of one group.
type Stats struct {
	load.Stats
	// Ideal is the latency of one central queue with perfect knowledge, a lower
	// bound. Only replays compute it. It is zero in the results of load runs.
	Ideal load.Latency `json:"ideal"`
}

var errNoGroups = errors.New("not a result of load or replay: no groups")

// Read reads a result file. If label is empty, the name of the file without its
// extension becomes the label. A file without groups is an error.
func Read(path, label string) (Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(r.Groups) == 0 {
		return Result{}, fmt.Errorf("%s: %w", path, errNoGroups)
	}
	r.Label = label
	if label == "" {
		r.Label = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	return r, nil
}

// groupKey identifies a group of a service.
type groupKey struct {
	service model.ServiceName
	group   model.GroupName
}

func (k groupKey) String() string { return string(k.service) + " " + string(k.group) }

// statsOf returns the results of a group, and whether there are any.
func (r Result) statsOf(k groupKey) (Stats, bool) {
	for _, stats := range r.Groups {
		if stats.Service == k.service && stats.Group == k.group {
			return stats, true
		}
	}
	return Stats{}, false
}

// groupsOf returns all groups that occur in the results, sorted by name.
func groupsOf(results []Result) []groupKey {
	var keys []groupKey
	for _, r := range results {
		for _, stats := range r.Groups {
			k := groupKey{stats.Service, stats.Group}
			if !slices.Contains(keys, k) {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, func(a, b groupKey) int { return strings.Compare(a.String(), b.String()) })
	return keys
}
