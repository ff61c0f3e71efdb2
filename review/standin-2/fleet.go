package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// heartbeatPeriod is the time between two heartbeats of an instance.
const heartbeatPeriod = 1500 * time.Millisecond

// fleet is a small deployment on loopback: the store, and hosts with a daemon and an
// instance each.
type fleet struct {
	dir, program string
	rec          *record
	trouble      bool
	store        *store
	hosts        []*host
	zones        map[string]string

	mu   sync.Mutex
	runs []run
}

// run is a request that an instance has begun to run.
type run struct {
	at                        time.Time
	instance, id, method, uri string
}

// host is a machine of the class sidecar: a daemon and the instance next to it.
type host struct {
	fleet                                                                  *fleet
	name, zone, region, service                                            string
	callerAddress, controlAddress, peerAddress, adminAddress, readyAddress string
	settingsFile, logFile                                                  string
	cmd                                                                    *exec.Cmd
	exited                                                                 chan struct{}
	instance                                                               *instance
}

func newFleet(dir, program string, rec *record, trouble bool) *fleet {
	return &fleet{dir: dir, program: program, rec: rec, trouble: trouble, zones: make(map[string]string)}
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
		h.instance.close()
	}
	if f.store != nil {
		f.store.close()
	}
}

// loopbackIP returns a loopback address that only one host uses, so that no outgoing
// connection takes one of its ports while its daemon is down.
func loopbackIP(i int) string { return fmt.Sprintf("127.%d.2.%d", 1+os.Getpid()%200, 1+i) }

// freeAddresses returns n free addresses at an IP.
func freeAddresses(ip string, n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var free []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		free = append(free, l.Addr().String())
	}
	return free, nil
}

// addHost adds a host whose instance is of a service.
func (f *fleet) addHost(name, zone, region, service string) (*host, error) {
	ip := loopbackIP(len(f.hosts))
	free, err := freeAddresses(ip, 5)
	if err != nil {
		return nil, err
	}
	h := &host{
		fleet: f, name: name, zone: zone, region: region, service: service,
		callerAddress: free[0], controlAddress: free[1], peerAddress: free[2], adminAddress: free[3], readyAddress: free[4],
		settingsFile: filepath.Join(f.dir, name+".toml"), logFile: filepath.Join(f.dir, name+".log"),
	}
	f.zones[zone] = region
	if h.instance, err = startInstance(f, h, ip); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	return h, nil
}

// start starts the store with a configuration, and all daemons and heartbeats.
func (f *fleet) start(config string) error {
	var err error
	if f.store, err = startStore("127.0.0.1:0"); err != nil {
		return err
	}
	f.store.put("op/config", []byte(config))
	for _, h := range f.hosts {
		if err := os.WriteFile(h.settingsFile, []byte(h.settings()), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		go h.instance.sendHeartbeats()
	}
	return nil
}

// settings returns the settings of a daemon, as deploy/daemon.toml renders them, with the
// bounds of a small site.
func (h *host) settings() string {
	text := fmt.Sprintf(`interface = "platform"
daemonName = %q
dataCentre = %q
region = %q
callerAddress = %q
localAddress = %q
peerAddress = %q
adminAddress = %q
platformAddresses = [%q]
stopTimeout = "6s"

[memory]
limit = "284MB"
growthPercent = 100

[platform]
readyAddress = %q
service = %q
targetAddress = %q
announceEvery = "1500ms"

[platform.retry]
ratio = 0.2
window = "10s"
slack = 48

[platform.dataCentres]
`, h.name, h.zone, h.region, h.callerAddress, h.controlAddress, h.peerAddress, h.adminAddress, h.fleet.store.address(),
		h.readyAddress, h.service, h.instance.address())
	for zone, region := range h.fleet.zones {
		text += fmt.Sprintf("%s = %q\n", zone, region)
	}
	return text
}

// start starts the daemon with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.Command(h.fleet.program, "daemon", "--settings", h.settingsFile)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.cmd, h.exited)
	h.fleet.rec.printf("daemon %s starts", h.name)
	return nil
}

// kill kills the daemon.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.readyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range f.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s is not ready after %v", h.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.printf("all daemons are ready")
	return nil
}

// addRun records that an instance has begun to run a request.
func (f *fleet) addRun(r run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

// allRuns returns the runs so far.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}
