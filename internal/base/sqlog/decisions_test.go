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

// TestDecisionsAreBounded has a surge of decisions: the log has a bounded number
// of lines a second, says how many were left out, and the sum is right.
func TestDecisionsAreBounded(t *testing.T) {
	var out bytes.Buffer
	log, err := sqlog.New(&out, "info")
	qt.Assert(t, err, qt.IsNil)
	d := &sqlog.Decisions{Logger: log}
	const seconds, perSecond = 10, 5000
	for range seconds {
		for range perSecond {
			d.Info("request refused", "request", "r")
		}
		d.Tick(time.Now())
	}
	lines, left := 0, 0
	for text := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		var line struct {
			Msg   string `json:"msg"`
			Count int    `json:"count"`
		}
		qt.Assert(t, json.Unmarshal([]byte(text), &line), qt.IsNil)
		if line.Msg == "request refused" {
			lines++
		}
		left += line.Count
	}
	qt.Assert(t, lines+left, qt.Equals, seconds*perSecond)
	qt.Assert(t, lines <= 200+seconds*40, qt.IsTrue, qt.Commentf("%d lines", lines))
	qt.Assert(t, lines >= 200, qt.IsTrue, qt.Commentf("%d lines", lines))
}

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

// TestWriterNeverBlocks has nobody read the log: lines are taken all the same,
// in bounded memory, and what was lost is told once somebody reads.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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
	qt.Assert(t, out.got.Len() < 1<<20, qt.IsTrue, qt.Commentf("%d bytes", out.got.Len()))
	qt.Assert(t, out.got.String(), qt.Contains, "lines lost")
}

type broken struct{}

func (broken) Write([]byte) (int, error) { return 0, errors.New("no space") }

// TestWriterTellsOfAFailure has the log's file fail.
func TestWriterTellsOfAFailure(t *testing.T) {
	w := &sqlog.Writer{Out: broken{}}
	_, err := w.Write([]byte("x\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Flush(), qt.ErrorMatches, "write log: no space")
}
