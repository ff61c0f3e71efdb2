package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run, with the time since the
// start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(file string) (*record, error) {
	out, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{out: out, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.out.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.out.Close() }
