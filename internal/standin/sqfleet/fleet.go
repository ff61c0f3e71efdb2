package sqfleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

const (
	maxProcesses = 300
	startTimeout = 15 * time.Second
	// pollEvery is the interval between two checks of a starting process, and
	// the timeout of a connection attempt.
	pollEvery = 20 * time.Millisecond
	filePerm  = 0o600
)

// Fleet runs the platform, the daemons and the targets of a layout as processes
// on loopback. The exported fields must be set before Start.
type Fleet struct {
	Layout Layout
	// Program is the path of the daemon's executable. If it is empty, Start
	// builds it from the module in the working directory.
	Program string
	// ExtraSettings is TOML that is appended to the settings file of every daemon.
	ExtraSettings string
	// Seed is the seed of the first target; each further target adds 1.
	Seed uint64
	// KeepDir makes Stop leave the directory of settings and logs in place.
	KeepDir bool

	dir      string
	adminKey string
	platform *Platform
	daemons  []*Daemon
	targets  []*Target
	stopOnce sync.Once
}

// Platform is the stand-in platform process of a fleet.
type Platform struct {
	*Process
	Address      string
	FaultAddress string
}

// Daemon is one daemon process of a fleet, with its placement and addresses.
type Daemon struct {
	*Process
	Placement
	CallerAddress string
	LocalAddress  string
	PeerAddress   string
	AdminAddress  string
}

// EntryURL returns the base URL to which callers send requests.
func (d *Daemon) EntryURL() string { return "http://" + d.CallerAddress }

// Target is one stand-in target process of a fleet.
type Target struct {
	*Process
	// Daemon is the daemon on the target's host.
	Daemon         *Daemon
	Service        sqid.ServiceID
	Address        string
	ControlAddress string

	recordFile string
}

// Platform returns the platform process.
func (f *Fleet) Platform() *Platform { return f.platform }

// Daemons returns the daemons, grouped by data centre.
func (f *Fleet) Daemons() []*Daemon { return f.daemons }

// Targets returns the targets, grouped by data centre.
func (f *Fleet) Targets() []*Target { return f.targets }

// Dir returns the directory of settings and logs.
func (f *Fleet) Dir() string { return f.dir }

// Start builds the daemon if Program is empty, starts all processes and waits
// until each of them responds. If it returns an error, it has stopped all
// processes.
func (f *Fleet) Start(ctx context.Context) error {
	err := f.start(ctx)
	if err != nil {
		f.Stop()
	}
	return err
}

func (f *Fleet) start(ctx context.Context) error {
	if n := 2*len(f.Layout.Placements()) + 1; n > maxProcesses {
		return errors.Errorf("layout has up to %d processes, more than %d", n, maxProcesses)
	}
	dir, err := os.MkdirTemp("", "sequoia-fleet-")
	if err != nil {
		return errors.Wrap(err, "fleet directory")
	}
	f.dir = dir
	if f.Program == "" {
		if f.Program, err = buildDaemon(ctx, dir); err != nil {
			return err
		}
	}
	if err := f.prepare(); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	for _, p := range f.processes()[1:] {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return f.waitStarted(ctx)
}

// buildDaemon builds the daemon from the module in the working directory and
// returns the path of the executable.
func buildDaemon(ctx context.Context, dir string) (string, error) {
	out := filepath.Join(dir, "sequoiatack")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", out, "github.com/sequoiatack/sequoiatack/cmd/sequoiatack")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build the daemon: %s", text)
	}
	return out, nil
}

// prepare allocates all addresses and writes the settings files of the daemons
// and targets.
func (f *Fleet) prepare() error {
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "path of the running executable")
	}
	f.adminKey = sqid.NewKey()
	var alloc addressAllocator
	defer alloc.release()
	if err := f.preparePlatform(&alloc, executable); err != nil {
		return err
	}
	for n, placement := range f.Layout.Placements() {
		ip := alloc.hostIP(n)
		d, err := f.prepareDaemon(&alloc, ip, placement)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		if placement.Service == nil {
			continue
		}
		t, err := f.prepareTarget(&alloc, ip, executable, d)
		if err != nil {
			return err
		}
		f.targets = append(f.targets, t)
	}
	return nil
}

func (f *Fleet) preparePlatform(alloc *addressAllocator, executable string) error {
	p := &Platform{}
	if err := alloc.fill("127.0.0.1", &p.Address, &p.FaultAddress); err != nil {
		return err
	}
	p.Process = NewProcess(f.dir, "platform", executable, "platform", "--address", p.Address, "--faultAddress", p.FaultAddress)
	f.platform = p
	return nil
}

func (f *Fleet) prepareDaemon(alloc *addressAllocator, ip string, placement Placement) (*Daemon, error) {
	d := &Daemon{Placement: placement}
	if err := alloc.fill(ip, &d.CallerAddress, &d.LocalAddress, &d.PeerAddress, &d.AdminAddress); err != nil {
		return nil, err
	}
	text, err := settingsText(daemonSettings{
		DaemonName: placement.Daemon, DataCentre: placement.DataCentre, Region: placement.Region,
		CallerAddress: d.CallerAddress, LocalAddress: d.LocalAddress,
		PeerAddress: d.PeerAddress, AdminAddress: d.AdminAddress,
		PlatformAddresses: []string{f.platform.Address},
		AdminKeyDigests:   []sqid.KeyDigest{sqid.DigestKey(f.adminKey)},
	}, f.ExtraSettings)
	if err != nil {
		return nil, err
	}
	file, err := f.writeSettings(string(placement.Daemon), text)
	if err != nil {
		return nil, err
	}
	d.Process = NewProcess(f.dir, string(placement.Daemon), f.Program, "daemon", "--settings", file)
	return d, nil
}

func (f *Fleet) prepareTarget(alloc *addressAllocator, ip, executable string, d *Daemon) (*Target, error) {
	t := &Target{Daemon: d, Service: d.Service.Name}
	if err := alloc.fill(ip, &t.Address, &t.ControlAddress); err != nil {
		return nil, err
	}
	name := "target-" + string(d.Placement.Daemon)
	t.recordFile = filepath.Join(f.dir, name+".json")
	text, err := toml.Marshal(sqsimtarget.Config{
		Name: sqid.TargetID(name), Service: t.Service,
		Address: t.Address, ControlAddress: t.ControlAddress, LocalAddress: d.LocalAddress,
		Slots: d.Service.Slots, ServiceTime: d.Service.ServiceTime,
		Nested: d.Service.Nested, Parallel: d.Service.Parallel,
		AnswerBytes: d.Service.AnswerBytes, Behaviour: d.Service.Behaviour,
		Seed: f.Seed + uint64(len(f.targets)), RecordFile: t.recordFile,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode target settings")
	}
	file, err := f.writeSettings(name, text)
	if err != nil {
		return nil, err
	}
	t.Process = NewProcess(f.dir, name, executable, "target", "--settings", file)
	return t, nil
}

func (f *Fleet) writeSettings(name string, text []byte) (string, error) {
	file := filepath.Join(f.dir, name+".toml")
	return file, os.WriteFile(file, text, filePerm)
}

// processes returns all processes in the order in which they are started: the
// platform, the daemons, the targets.
func (f *Fleet) processes() []*Process {
	var all []*Process
	if f.platform != nil {
		all = append(all, f.platform.Process)
	}
	for _, d := range f.daemons {
		all = append(all, d.Process)
	}
	for _, t := range f.targets {
		all = append(all, t.Process)
	}
	return all
}

// Stop ends all processes and, unless KeepDir is set, removes the fleet's
// directory. Only the first call has an effect.
func (f *Fleet) Stop() {
	f.stopOnce.Do(func() {
		stopAll(f.processes())
		if !f.KeepDir {
			_ = os.RemoveAll(f.dir)
		}
	})
}

// startPlatform starts the platform and waits until it accepts connections.
// Daemons connect to it when they start.
func (f *Fleet) startPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.platform.Start(); err != nil {
		return err
	}
	return f.poll(ctx, f.platform.Process, func() bool { return acceptsConnections(f.platform.Address) })
}

// waitStarted waits until every target accepts connections and every daemon is
// healthy. It does not wait for /readyz: daemons are not ready before they have
// lists.
func (f *Fleet) waitStarted(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, t := range f.targets {
		if err := f.poll(ctx, t.Process, func() bool { return acceptsConnections(t.ControlAddress) }); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := f.poll(ctx, d.Process, func() bool { return f.respondsOK(ctx, d, "/healthz") }); err != nil {
			return err
		}
	}
	return nil
}

// WaitDaemonReady waits until a daemon reports that it is ready.
func (f *Fleet) WaitDaemonReady(ctx context.Context, d *Daemon) error {
	return f.poll(ctx, d.Process, func() bool { return f.respondsOK(ctx, d, "/readyz") })
}

// poll waits until ok returns true. It fails if ctx or the process ends first.
func (f *Fleet) poll(ctx context.Context, p *Process, ok func() bool) error {
	for !ok() {
		if !p.Running() {
			return errors.Errorf("%s ended before it was ready: %s", p.Name, logExcerpt(p))
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s is not ready before the deadline: %s", p.Name, logExcerpt(p))
		case <-time.After(pollEvery):
		}
	}
	return nil
}

func logExcerpt(p *Process) string {
	const maxBytes = 1500
	return fmt.Sprintf("last output: %s", strings.TrimSpace(p.LogTail(maxBytes)))
}

// Crashed returns an error that lists the processes that ended although the
// fleet had not stopped them, with the end of their output. It returns nil if
// there are none.
func (f *Fleet) Crashed() error {
	var err error
	for _, p := range f.processes() {
		if p.Crashed() {
			err = errors.Join(err, errors.Errorf("%s crashed: %s", p.Name, logExcerpt(p)))
		}
	}
	return err
}

func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, pollEvery)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
