package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	"github.com/dottereltiller/dottereltiller/why"
)

type whyCmd struct {
	Upstream string   `arg:"--upstream" placeholder:"ID" help:"tell of this upstream instead of a request"`
	Lost     string   `arg:"--lost" placeholder:"ID" help:"tell how often the requests have run that must not run twice and got no answer from this upstream"`
	Config   uint64   `arg:"--config" placeholder:"VERSION" help:"tell when each daemon learned of this version instead of a request"`
	JSON     bool     `arg:"--json" help:"print JSON"`
	Args     []string `arg:"positional" placeholder:"REQUEST-ID FILE" help:"the request, unless --upstream, --lost or --config is given, and the daemons' logs"`
}

var errWhyArgs = errors.New("name a request, --upstream, --lost or --config, and the logs of the daemons")

func (c *whyCmd) run(context.Context) error {
	files, request := c.Args, ""
	if c.Upstream == "" && c.Lost == "" && c.Config == 0 {
		if len(files) == 0 {
			return usageError{errWhyArgs}
		}
		request, files = files[0], files[1:]
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
		losses := log.Unanswered(c.Lost)
		if c.JSON {
			return losses.WriteJSON(os.Stdout)
		}
		return losses.WriteText(os.Stdout)
	}
	var story why.Timeline
	switch {
	case c.Upstream != "":
		story = log.UpstreamTimeline(c.Upstream)
	case c.Config != 0:
		story = log.ConfigurationTimeline(c.Config)
	default:
		story = log.RequestTimeline(request)
	}
	if c.JSON {
		return story.WriteJSON(os.Stdout)
	}
	return story.WriteText(os.Stdout)
}

func readLog(log *why.Log, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return log.Read(filepath.Base(path), f)
}
