package telemetry

import (
	"io"
	"log/slog"
)

// Log formats.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// NewLogger returns a logger that writes lines of at least the given level. Any
// format other than FormatText means FormatJSON.
func NewLogger(w io.Writer, format string, level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if format == FormatText {
		return slog.New(slog.NewTextHandler(w, opts))
	}
	return slog.New(slog.NewJSONHandler(w, opts))
}
