package demo

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/load"
	"github.com/dottereltiller/dottereltiller/local"
)

// documentsJSON holds the configuration documents of the demonstration, as a JSON array.
//
//go:embed documents.json
var documentsJSON []byte

// The availability zones and services of the demonstration.
var (
	zones    = []model.AvailabilityZone{"odense-hal-a", "odense-hal-b", "svendborg-lager"}
	services = []local.Service{
		{Name: "returdesk", Upstreams: 6, Slots: 6},
		{Name: "sporarkiv", Upstreams: 6, Slots: 6},
	}
)

// Options configure a run.
type Options struct {
	// JSON makes Run print the result a second time, as one JSON object on the last line after the
	// table.
	JSON bool
	// Duration is how long requests are sent. The default is 3s.
	Duration time.Duration
}

// defaultDuration is the default of Options.Duration.
const defaultDuration = 3 * time.Second

// ViolationError reports the violations of invariants that a run has found.
type ViolationError struct {
	Violations []string
}

// Error returns the number of violations and the first violation. Violations must not be empty.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d violations of invariants, such as: %s", len(e.Violations), e.Violations[0])
}

// Run runs the demonstration and prints a table of results to w. It returns an error if the
// deployment could not be started, w failed or the context ended. If an invariant did not hold, the
// error is a *ViolationError.
func Run(ctx context.Context, w io.Writer, opts Options) error {
	if opts.Duration <= 0 {
		opts.Duration = defaultDuration
	}
	res, err := runLoad(ctx, opts.Duration)
	if err != nil {
		return err
	}
	if err := res.print(w); err != nil {
		return err
	}
	if opts.JSON {
		if err := json.NewEncoder(w).Encode(res); err != nil {
			return err
		}
	}
	if len(res.Violations) > 0 {
		return &ViolationError{Violations: res.Violations}
	}
	return ctx.Err()
}

// runLoad starts the deployment, sends requests for the duration d, stops the deployment and checks
// the invariants. The returned result lists the violations.
func runLoad(ctx context.Context, d time.Duration) (*Result, error) {
	var docs []policy.Document
	if err := json.Unmarshal(documentsJSON, &docs); err != nil {
		return nil, err
	}
	deployment, err := local.Start(ctx, local.Options{Zones: zones, Services: services, Documents: docs})
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	plan, err := loadPlan(deployment, d)
	if err != nil {
		return nil, err
	}
	obs := newObserver()
	slotTimeBefore, startedAt := measuringSlotTime(deployment), time.Now()
	loadResult, err := load.Run(ctx, plan, load.Options{Observe: obs.observe})
	if err != nil {
		return nil, err
	}
	res := newResult(loadResult, measuringShares(deployment, slotTimeBefore, time.Since(startedAt)))
	res.Violations = append(res.Violations, res.checkVersions(deployment)...)
	deployment.Stop()
	res.Violations = append(res.Violations, obs.violations(executions(deployment))...)
	return res, nil
}

// measuringSlotTime returns, for each upstream, the slot time that the daemons have used so far to
// poll the upstream's load report. Slot time is the time during which requests occupy slots, summed
// over the slots.
func measuringSlotTime(deployment *local.Deployment) map[model.UpstreamID]time.Duration {
	slotTimeByUpstream := make(map[model.UpstreamID]time.Duration)
	for _, n := range deployment.Nodes {
		maps.Copy(slotTimeByUpstream, n.Daemon.Guard.PollSlotTime())
	}
	return slotTimeByUpstream
}

// measuringShares returns, for each service, the slot time that the polls of load reports used
// during a run, as a share of the service's capacity: the number of its slots times elapsed.
// slotTimeBefore is the result of measuringSlotTime at the start of the run, and elapsed is the
// time since the start of the run.
func measuringShares(deployment *local.Deployment, slotTimeBefore map[model.UpstreamID]time.Duration, elapsed time.Duration) map[model.ServiceName]float64 {
	slotTimeByService := make(map[model.ServiceName]time.Duration)
	slotTimeAfter := measuringSlotTime(deployment)
	for _, n := range deployment.Nodes {
		id := model.UpstreamID(n.Upstream.ID)
		slotTimeByService[model.ServiceName(n.Upstream.Service)] += slotTimeAfter[id] - slotTimeBefore[id]
	}
	shareByService := make(map[model.ServiceName]float64)
	for _, s := range services {
		shareByService[s.Name] = slotTimeByService[s.Name].Seconds() / (elapsed.Seconds() * float64(s.Upstreams*s.Slots))
	}
	return shareByService
}

// executions returns the number of executions of each request, summed over all upstreams.
func executions(deployment *local.Deployment) map[string]int {
	runsByRequest := make(map[string]int)
	for _, n := range deployment.Nodes {
		for name, runs := range n.Upstream.Runs() {
			runsByRequest[name] += runs
		}
	}
	return runsByRequest
}
