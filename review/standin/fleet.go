package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The bounds of the deployments in the pages, as far as the cases use them.
const (
	heartbeat    = 1500 * time.Millisecond
	drain        = 2500 * time.Millisecond
	stable       = 3 * time.Second
	restartDelay = 500 * time.Millisecond
)

// The ports of the machines, each of which has a loopback address of its own.
const (
	portControl = 18540 + iota
	portInbound
	portReady
	portApp
	portOutbound
	portStore
	portInternal
	portInternalLast = portInternal + 15
)

// apiKey is the key of the only tenant.
const apiKey = "6wsjnbanfqasnmgkcuyj"

// spec describes one machine. memoryMB is its memory, 0 for usualMemoryMB.
type spec struct {
	name, zone, region, service string
	memoryMB                    int
}

// usualMemoryMB is the memory of a machine in the first deployments.
const usualMemoryMB = 284

// machine is a machine with its daemon.
type machine struct {
	spec
	ip       string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a small deployment: a store and machines with daemons of the project.
type fleet struct {
	*record
	root, dir string
	store     *store
	storeIP   string
	machines  map[string]*machine
}

// stopGrace is the bound grace of the settings.
var stopGrace = 6 * time.Second

// retrySlack is the bound retry_slack of the settings, a number in TOML.
var retrySlack = "48"

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
	attempts              int
}

func newFleet(r *record, root string, specs []spec, services []string, routes []route) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, root: root, dir: dir, store: newStore(), machines: make(map[string]*machine)}
	block := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
	f.storeIP = block + "200"
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.storeIP, portStore))
	if err != nil {
		return nil, err
	}
	go f.store.serve(l)
	f.store.put("op/config", config(services, routes))
	for i, s := range specs {
		m := &machine{spec: s, ip: fmt.Sprintf("%s%d", block, 11+i)}
		m.settings = filepath.Join(dir, s.name+".toml")
		text, err := f.render(m, specs)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(m.settings, text, 0o600); err != nil {
			return nil, err
		}
		f.machines[s.name] = m
	}
	return f, nil
}

// config returns the operator's configuration.
func config(services []string, routes []route) []byte {
	var list, paths []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_connections": 628, "protocol": "h1", "tls": false})
	}
	for i, r := range routes {
		paths = append(paths, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "prefix": r.prefix, "kind": r.kind, "timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			"target_latency": "1500ms", "priority": 0, "service": r.service, "max_attempts": r.attempts, "public": false,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": "00000007", "services": list,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":       []any{map[string]any{"name": "pulo780", "api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 400, "burst": 400}},
		"virtual_hosts": []any{map[string]any{"host": "hulo84.example", "paths": paths}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

var (
	zonesSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	placeholder  = regexp.MustCompile(`\{\{([^{}]*)\}\}`)
)

// render fills in the project's template of settings, as the platform does.
func (f *fleet) render(m *machine, specs []spec) ([]byte, error) {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "daemon.toml"))
	if err != nil {
		return nil, err
	}
	values := map[string]any{
		"node": m.name, "zone": m.zone, "region": m.region, "service": m.service, "ip": m.ip,
		"listen.outbound": m.address(portOutbound), "listen.inbound": m.address(portInbound),
		"listen.ready": m.address(portReady), "listen.control": m.address(portControl), "app_addr": m.address(portApp),
		"internal_port_range.0": portInternal, "internal_port_range.1": portInternalLast,
		"platform.address": fmt.Sprintf("%s:%d", f.storeIP, portStore), "heartbeat": fmt.Sprintf("%dms", heartbeat.Milliseconds()),
		"limits.memory_mb": cmp.Or(m.memoryMB, usualMemoryMB), "bounds.grace": fmt.Sprintf("%dms", stopGrace.Milliseconds()), "bounds.retry_budget_ratio": 0.2, "bounds.retry_window": "10s", "bounds.retry_slack": json.Number(retrySlack),
	}
	regions := make(map[string]string)
	for _, s := range specs {
		regions[s.zone] = s.region
	}
	text := zonesSection.ReplaceAllStringFunc(string(template), func(section string) string {
		body := zonesSection.FindStringSubmatch(section)[1]
		var b strings.Builder
		for zone, region := range regions {
			b.WriteString(strings.NewReplacer("{{@}}", zone, "{{.|json}}", fmt.Sprintf("%q", region)).Replace(body))
		}
		return b.String()
	})
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		v, ok := values[name]
		if !ok {
			err = fmt.Errorf("template: unknown placeholder %s", p)
		}
		if !asJSON {
			return fmt.Sprint(v)
		}
		encoded, _ := json.Marshal(v)
		return string(encoded)
	})
	return []byte(text), err
}

// run returns the command of the role in the deploy file, with the machine's settings.
func (f *fleet) run(m *machine) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return nil, fmt.Errorf("deploy file has no command")
	}
	return strings.Fields(strings.ReplaceAll(string(match[1]), "/etc/sequoiatack/local.toml", m.settings)), nil
}

// start starts a machine's daemon.
func (f *fleet) start(name string) error {
	m := f.machines[name]
	args, err := f.run(m)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	cmd.Env = append(os.Environ(), "SEQUOIATACK_BOOT="+m.settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.exited = cmd, make(chan struct{})
	exited := m.exited
	go func() {
		err := cmd.Wait()
		f.add("daemon of %s ended: %v", name, err)
		close(exited)
	}()
	f.add("daemon of %s started", name)
	return nil
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.add("%s to the daemon of %s", s, name)
	_ = f.machines[name].process.Process.Signal(s)
}

// startAll starts all daemons and waits until each is ready.
func (f *fleet) startAll() error {
	for name := range f.machines {
		if err := f.start(name); err != nil {
			return err
		}
	}
	return f.awaitReady(15 * time.Second)
}

func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon of %s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (m *machine) ready() bool {
	resp, err := control.Get("http://" + m.address(portReady) + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a heartbeat or a deregistration to a machine's control address and reports
// whether it was acknowledged.
func (m *machine) call(call, id string, body any) bool {
	text, _ := json.Marshal(body)
	url := fmt.Sprintf("http://%s/rpc?call=%s&of=%s", m.address(portControl), call, id)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := control.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// stop ends all daemons and removes the temporary folder.
func (f *fleet) stop(keepLogs bool) {
	for _, m := range f.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if !keepLogs {
		_ = os.RemoveAll(f.dir)
	}
}
