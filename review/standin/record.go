package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, in order of time.
type record struct {
	start time.Time
	mu    sync.Mutex
	lines []string
}

// add appends a line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(filepath.Join(dir, "record.txt"), []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
