package sqlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// flushEvery is how long a line may lie in memory.
	flushEvery = 100 * time.Millisecond
	// pendingMost bounds the bytes that lie in memory while the reader of the log
	// is slow; what comes on top is left out.
	pendingMost = 256 << 10
)

// Writer writes lines in batches, so that a line costs no call of the system and
// a slow reader blocks nobody. Close writes the rest.
type Writer struct {
	Out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	lost    int
}

// Write takes a line. It never blocks on Out and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > pendingMost {
		w.lost++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Run writes what was taken until ctx ends. Its error is that of Out.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.Flush()
		case <-ticker.C:
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}

// Flush writes what was taken so far.
func (w *Writer) Flush() error {
	w.mu.Lock()
	batch := w.pending
	w.pending, w.spare = w.spare[:0], nil
	if w.lost > 0 {
		batch = append(batch, lostLine(w.lost)...)
		w.lost = 0
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.spare = batch[:0]
		w.mu.Unlock()
	}()
	if len(batch) == 0 {
		return nil
	}
	if _, err := w.Out.Write(batch); err != nil {
		return errors.Wrap(err, "write log")
	}
	return nil
}
