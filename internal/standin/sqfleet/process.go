package sqfleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Process is one process of a fleet, whose output goes to a file. It may be
// restarted, and its methods may be called concurrently.
type Process struct {
	Name string
	// LogFile is the file to which standard output and standard error are
	// appended.
	LogFile string

	program string
	args    []string

	// mu guards the fields below.
	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// stopRequested is whether SIGTERM or SIGKILL has been sent to the process.
	stopRequested bool
}

// NewProcess returns a process, not yet started, whose output goes to
// name.log in dir.
func NewProcess(dir, name, program string, args ...string) *Process {
	return &Process{Name: name, LogFile: filepath.Join(dir, name+".log"), program: program, args: args}
}

// Start starts the process. It may be called again once the process has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer out.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr, cmd.SysProcAttr = out, out, sysProcAttr()
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopRequested = cmd, done, false
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// PID returns the process id, or 0 if the process was never started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// running is Running for callers that hold mu.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Crashed reports whether the process has ended although it had been sent
// neither SIGTERM nor SIGKILL.
func (p *Process) Crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.running() && !p.stopRequested
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		p.stopRequested = p.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
		_ = p.cmd.Process.Signal(s)
	}
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Terminate sends SIGTERM, waits for the process to end and returns its exit
// code. If ctx ends first, it kills the process and returns an error.
func (p *Process) Terminate(ctx context.Context) (int, error) {
	p.Signal(syscall.SIGTERM)
	p.mu.Lock()
	done, cmd := p.done, p.cmd
	p.mu.Unlock()
	if done == nil {
		return 0, errors.Errorf("%s was never started", p.Name)
	}
	select {
	case <-done:
		return cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		p.Kill()
		return -1, errors.Errorf("%s did not end after SIGTERM in time and was killed", p.Name)
	}
}

// LogTail returns the last n bytes of the log, or the error of reading it.
func (p *Process) LogTail(n int) string {
	text, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-n):])
}

// killGrace is how long stopAll waits between SIGTERM and SIGKILL.
const killGrace = 3 * time.Second

// stopAll terminates the processes in parallel and kills those that have not
// ended after killGrace. It resumes them first: a paused process can't handle
// SIGTERM.
func stopAll(all []*Process) {
	ctx, cancel := context.WithTimeout(context.Background(), killGrace)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() {
			p.Resume()
			if p.Running() {
				_, _ = p.Terminate(ctx)
			}
		})
	}
	wg.Wait()
}
