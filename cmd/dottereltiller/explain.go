package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

type explainCmd struct {
	Caller  string        `arg:"--caller" help:"name of the caller; default: a caller without credentials"`
	Service string        `arg:"--service,required" help:"name of the service"`
	JSON    bool          `arg:"--json" help:"print JSON"`
	Log     string        `arg:"--log,env:DOTTERELTILLER_LOG" placeholder:"HOST:PORT" help:"address of the platform's log; explain the configuration in force according to this log"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"timeout for reading the log"`
	Files   []string      `arg:"positional" placeholder:"FILE" help:"explain the configuration in these files instead of the one in force"`
}

func (c *explainCmd) run(ctx context.Context) error {
	set, err := c.loadPolicies(ctx)
	if err != nil {
		return err
	}
	e, err := set.Explain(model.CallerName(c.Caller), model.ServiceName(c.Service))
	if err != nil {
		return usageError{err}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(e)
	}
	operator.WriteExplanation(os.Stdout, e)
	return nil
}

// loadPolicies compiles the documents in the files or, without files, the current documents on the
// log.
func (c *explainCmd) loadPolicies(ctx context.Context) (*policy.Set, error) {
	if len(c.Files) > 0 {
		return checkFiles(c.Files)
	}
	if c.Log == "" {
		return nil, usageError{errors.New("either files or --log is required")}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	view, err := operator.NewView(ctx, recordlog.NewClient(c.Log))
	if err != nil {
		return nil, err
	}
	set, problems := policy.Compile(configuration.Documents(view.State()))
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return set, nil
}
