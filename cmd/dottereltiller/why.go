package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	"github.com/dottereltiller/dottereltiller/why"
)

type whyCmd struct {
	Upstream string   `arg:"--upstream" placeholder:"ID" help:"show the timeline of this upstream instead of that of a request"`
	Lost     string   `arg:"--lost" placeholder:"ID" help:"list the requests that are not idempotent and got no response from this upstream, and how often each was executed"`
	Config   uint64   `arg:"--config" placeholder:"VERSION" help:"show when each daemon put this version of the configuration in force"`
	JSON     bool     `arg:"--json" help:"print JSON"`
	Args     []string `arg:"positional" placeholder:"REQUEST-ID FILE" help:"request id, unless --upstream, --lost or --config is given, followed by the log files of the daemons"`
}

var errWhyArgs = errors.New("a request id, --upstream, --lost or --config is required, and the log files of the daemons")

func (c *whyCmd) run(context.Context) error {
	files, requestID := c.Args, ""
	if c.Upstream == "" && c.Lost == "" && c.Config == 0 {
		if len(files) == 0 {
			return usageError{errWhyArgs}
		}
		requestID, files = files[0], files[1:]
	}
	if len(files) == 0 {
		return usageError{errWhyArgs}
	}
	var log why.Log
	for _, f := range files {
		if err := readLog(&log, f); err != nil {
			return err
		}
	}
	log.Sort()
	if c.Lost != "" {
		unanswered := log.Unanswered(c.Lost)
		if c.JSON {
			return unanswered.WriteJSON(os.Stdout)
		}
		return unanswered.WriteText(os.Stdout)
	}
	var timeline why.Timeline
	switch {
	case c.Upstream != "":
		timeline = log.UpstreamTimeline(c.Upstream)
	case c.Config != 0:
		timeline = log.ConfigurationTimeline(c.Config)
	default:
		timeline = log.RequestTimeline(requestID)
	}
	if c.JSON {
		return timeline.WriteJSON(os.Stdout)
	}
	return timeline.WriteText(os.Stdout)
}

func readLog(log *why.Log, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return log.Read(filepath.Base(path), f)
}
