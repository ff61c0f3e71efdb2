// Package sqlog makes the daemon's logger: logr over JSON lines.
package sqlog

import (
	"io"
	"log/slog"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
)

// levels maps the names in the settings to slog's levels.
var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// New returns a logger that writes JSON lines at level and above to w. The
// level is one of debug, info, warn and error.
func New(w io.Writer, level string) (logr.Logger, error) {
	lowest, ok := levels[level]
	if !ok {
		return logr.Logger{}, errors.Errorf("log level %q is none of debug, info, warn, error", level)
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: lowest})
	return logr.FromSlogHandler(handler), nil
}
