package sqlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// flushInterval is the period at which buffered lines are written.
	flushInterval = 100 * time.Millisecond
	// maxPending bounds the bytes that are buffered while the reader of the log is
	// slow. Lines beyond it are dropped.
	maxPending = 256 << 10
)

// Writer buffers log lines and writes them to Out in batches, so that a line costs no
// system call and a slow reader of the log blocks nobody. Lines are written while Run
// runs; it writes the rest when it ends. Write is safe for concurrent use.
type Writer struct {
	Out io.Writer

	mu sync.Mutex
	// pending holds the lines that are not yet written.
	pending []byte
	// spare is the buffer of the last batch, reused as the next pending; it is
	// nil while that batch is being written.
	spare []byte
	// lost counts the lines dropped since the last batch.
	lost int
}

// Write buffers a line, or drops it if the buffer is full. It never blocks on Out
// and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.lost++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Run flushes the buffer periodically until ctx ends, and then once more. It returns
// early with an error if Out fails.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
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

// Flush writes the buffered lines, and a line with the number of dropped ones if
// there are any.
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
