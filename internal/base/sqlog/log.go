// Package sqlog provides the daemon's log: a logr logger that writes JSON lines, a
// writer that never blocks on a slow reader, and a rate limit for lines about
// single requests.
package sqlog

import (
	"io"
	"log/slog"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
)

// levels maps the level names of the settings to slog's levels.
var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// New returns a logger that writes JSON lines at level and above to w. The level is
// debug, info, warn or error.
func New(w io.Writer, level string) (logr.Logger, error) {
	minLevel, ok := levels[level]
	if !ok {
		return logr.Logger{}, errors.Errorf("unknown log level %q: must be one of debug, info, warn, error", level)
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel})
	return logr.FromSlogHandler(handler), nil
}
