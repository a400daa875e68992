package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/operator"
)

type quarantineCmd struct {
	List    *quarantineListCmd    `arg:"subcommand:list" help:"list the requests that are refused or suspected"`
	Release *quarantineReleaseCmd `arg:"subcommand:release" help:"remove a request from the quarantine at all daemons; must run on the VM of the daemon named by --admin"`
}

// run returns an error, because it is called only if neither list nor release is given.
func (c *quarantineCmd) run(context.Context) error {
	return usageError{errors.New("missing subcommand: list or release")}
}

type quarantineListCmd struct {
	Admin string `arg:"--admin,required" placeholder:"HOST:PORT" help:"admin address of any daemon"`
	JSON  bool   `arg:"--json" help:"print JSON"`
}

func (c *quarantineListCmd) run(ctx context.Context) error {
	records, err := operator.ListQuarantined(ctx, c.Admin)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(records)
	}
	operator.WriteQuarantined(os.Stdout, records)
	return nil
}

type quarantineReleaseCmd struct {
	Admin       string `arg:"--admin,required" placeholder:"HOST:PORT" help:"admin address of the daemon on this VM"`
	Fingerprint string `arg:"positional,required" help:"fingerprint of the request, as printed by the list command"`
}

func (c *quarantineReleaseCmd) run(ctx context.Context) error {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(c.Fingerprint)); err != nil {
		return usageError{err}
	}
	return operator.ReleaseQuarantined(ctx, c.Admin, f)
}
