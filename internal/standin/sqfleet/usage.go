package sqfleet

import (
	"github.com/go-faster/errors"
	"github.com/prometheus/procfs"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Usage is what a process has used.
type Usage struct {
	// CPUSeconds is user and system time since the start.
	CPUSeconds float64 `json:"cpuSeconds"`
	// Resident is the memory in use.
	Resident squnit.Bytes `json:"resident"`
}

// Usage reads the processor time and memory of a running process.
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
