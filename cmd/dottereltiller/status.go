package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/dottereltiller/dottereltiller/admin"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/daemon"
	"github.com/dottereltiller/dottereltiller/operator"
)

type statusCmd struct {
	Daemon  string        `arg:"--daemon,required,env:DOTTERELTILLER_DAEMON" placeholder:"HOST:PORT" help:"admin address of any daemon"`
	JSON    bool          `arg:"--json" help:"print JSON"`
	Timeout time.Duration `arg:"--timeout" default:"10s" help:"timeout of the command"`
}

// run prints a line for each zone, then the services as known to the daemon. It returns an error
// if the newest version is not in force in every zone, or if a daemon does not respond.
func (c *statusCmd) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	zones, err := operator.Zones(ctx, c.Daemon)
	if err != nil {
		return err
	}
	var status daemon.Status
	if err := admin.Get(ctx, c.Daemon, "/status", &status); err != nil {
		return err
	}
	if err := c.print(statusReport{Zones: zones, Daemon: status}); err != nil {
		return err
	}
	return checkZones(zones)
}

// statusReport is the JSON form of the command's output.
type statusReport struct {
	Zones  []operator.ZoneStatus `json:"zones"`
	Daemon daemon.Status         `json:"daemon"`
}

func (c *statusCmd) print(r statusReport) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	if err := printZones(r.Zones); err != nil {
		return err
	}
	return printServices(r.Daemon)
}

func printZones(zones []operator.ZoneStatus) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "zone\tanswered\toldest\tnewest\tbehind\tsilent")
	for _, z := range zones {
		_, _ = fmt.Fprintf(t, "%s\t%d of %d\t%d\t%d\t%v\t%v\n", z.Zone, z.Answered, z.Asked, z.Oldest, z.Newest, z.Behind, z.Silent)
	}
	return t.Flush()
}

// checkZones returns an *operator.LaggingError if the newest version is not in force in all zones
// or a queried daemon did not respond.
func checkZones(zones []operator.ZoneStatus) error {
	var newest model.Version
	for _, z := range zones {
		newest = max(newest, z.Newest)
	}
	for _, z := range zones {
		if z.Lags(newest) {
			return &operator.LaggingError{Version: newest, Zones: zones}
		}
	}
	return nil
}
