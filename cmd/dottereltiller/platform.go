package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/recordlog"
)

type platformCmd struct {
	Listen    string        `arg:"--listen" default:"127.0.0.1:9000" help:"address to listen on"`
	Retention time.Duration `arg:"--retention" help:"how long records are kept; 0 means forever"`
	Latency   time.Duration `arg:"--latency" help:"delay added to every operation"`
	Down      bool          `arg:"--down" help:"fail all operations until this fault is cleared with PUT /v1/faults"`
}

// headerTimeout is the timeout for reading the headers of a request.
const headerTimeout = 5 * time.Second

// run serves a fake of the platform's log until the command is interrupted. PUT /v1/faults changes
// the faults that the fake injects.
func (c *platformCmd) run(ctx context.Context) error {
	log := recordlog.NewFaultyLog(&recordlog.Memory{Retention: c.Retention})
	log.SetFaults(recordlog.Faults{Latency: c.Latency, Down: c.Down})
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	fmt.Printf("log at %s; set faults with PUT http://%s/v1/faults\n", ln.Addr(), ln.Addr())
	srv := &http.Server{Handler: recordlog.FaultHandler(log), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}
