package sqfleet

import (
	"github.com/go-faster/errors"
	"github.com/prometheus/procfs"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUSeconds is the user and system CPU time since the process started.
	CPUSeconds float64 `json:"cpuSeconds"`
	// Resident is the resident set size.
	Resident squnit.Bytes `json:"resident"`
}

// Usage reads the CPU time and memory of a running process from /proc.
func (p *Process) Usage() (Usage, error) {
	proc, err := procfs.NewProc(p.PID())
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of %s", p.Name)
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of %s", p.Name)
	}
	return Usage{CPUSeconds: stat.CPUTime(), Resident: squnit.Bytes(stat.ResidentMemory())}, nil
}
