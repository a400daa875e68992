package daemon

import (
	"context"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/trace"
)

const tracerShutdownTimeout = 5 * time.Second

// buildTracer sets up d.tracer. When tracing is off, d.tracer stays nil.
func (d *Daemon) buildTracer() error {
	s := d.settings.Tracing
	tracer, err := trace.New(context.Background(), trace.Options{
		Daemon:      string(d.ID()),
		Zone:        string(d.settings.Zone),
		Exporter:    s.Exporter,
		Endpoint:    s.Endpoint,
		Stdout:      os.Stdout,
		SampleRatio: s.Sample,
		RecentSpans: s.Keep,
	})
	if err != nil {
		return err
	}
	d.tracer = tracer
	d.afterStop = append(d.afterStop, func() {
		ctx, cancel := context.WithTimeout(context.Background(), tracerShutdownTimeout)
		defer cancel()
		if err := tracer.Shutdown(ctx); err != nil {
			d.logger.Warn("last spans not exported", "error", err)
		}
	})
	return nil
}
