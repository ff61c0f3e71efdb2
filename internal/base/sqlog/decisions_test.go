package sqlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqlog"
)

// TestDecisionsAreBounded logs a surge of decisions and checks that the number of
// lines is bounded, and that these and the reported dropped ones add up to all.
func TestDecisionsAreBounded(t *testing.T) {
	var out bytes.Buffer
	log, err := sqlog.New(&out, "info")
	qt.Assert(t, err, qt.IsNil)
	d := &sqlog.DecisionLog{Logger: log}
	const seconds, perSecond = 10, 5000
	for range seconds {
		for range perSecond {
			d.Info("request refused", "request", "r")
		}
		d.Tick(time.Now())
	}
	lines, dropped := 0, 0
	for text := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		var line struct {
			Msg   string `json:"msg"`
			Count int    `json:"count"`
		}
		qt.Assert(t, json.Unmarshal([]byte(text), &line), qt.IsNil)
		if line.Msg == "request refused" {
			lines++
		}
		dropped += line.Count
	}
	qt.Assert(t, lines+dropped, qt.Equals, seconds*perSecond)
	qt.Assert(t, lines <= 200+seconds*40, qt.IsTrue, qt.Commentf("%d lines", lines))
	qt.Assert(t, lines >= 200, qt.IsTrue, qt.Commentf("%d lines", lines))
}

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

// TestWriterNeverBlocks writes 10 MB of lines while Out is blocked. No Write may
// block, memory must stay bounded, and the number of dropped lines must be logged
// once Out accepts writes again.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := &sqlog.Writer{Out: out}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 10_000 {
		n, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	close(out.release)
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, out.written.Len() < 1<<20, qt.IsTrue, qt.Commentf("%d bytes", out.written.Len()))
	qt.Assert(t, out.written.String(), qt.Contains, "lines lost")
}

// failingWriter fails every Write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space") }

// TestFlushReturnsWriteError checks that a failure of Out reaches the caller of Flush,
// although Write reports none.
func TestFlushReturnsWriteError(t *testing.T) {
	w := &sqlog.Writer{Out: failingWriter{}}
	_, err := w.Write([]byte("x\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Flush(), qt.ErrorMatches, "write log: no space")
}
