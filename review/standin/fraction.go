package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// fractionSlack is a bound retry_slack that is no whole number.
	fractionSlack = "48.5"
	// endsAllowed is the number of ends by itself from which a process counts as faulty.
	endsAllowed = 3
	// startTime is how long a daemon may take until it is ready.
	startTime = 15 * time.Second
)

// fraction starts a small deployment. With the disruption, the bound retry_slack in the
// settings is a fraction.
func fraction(r *record, root string, trouble, keepLogs bool) ([]string, error) {
	if trouble {
		retrySlack = fractionSlack
	}
	r.add("retry_slack in the settings is %s", retrySlack)
	specs := []spec{{"side-1", "puebla-centro", "puebla", "orders", 0}, {"side-2", "puebla-norte", "puebla", "tracking", 0}}
	routes := []route{{prefix: "/order/", kind: "unsafe", service: "orders", timeout: 4 * time.Second, attempts: 2}}
	f, err := newFleet(r, root, specs, []string{"orders", "tracking"}, routes)
	if err != nil {
		return nil, err
	}
	defer f.stop(keepLogs)
	ends := make(map[string]int)
	for name := range f.machines {
		if err := f.start(name); err != nil {
			return nil, err
		}
	}
	// The platform starts again what ends, after a short delay.
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(restartDelay) {
		ready := 0
		for name, m := range f.machines {
			select {
			case <-m.exited:
				ends[name]++
				r.add("daemon of %s ended by itself, time %d: %s", name, ends[name], f.lastLine(name))
				if ends[name] < endsAllowed {
					if err := f.start(name); err != nil {
						return nil, err
					}
				}
			default:
				if m.ready() {
					ready++
				}
			}
		}
		if ready == len(f.machines) || len(ends) == len(f.machines) && ends["side-1"] >= endsAllowed && ends["side-2"] >= endsAllowed {
			break
		}
	}
	var broken []string
	for name, n := range ends {
		if n >= endsAllowed {
			broken = append(broken, fmt.Sprintf("Fault: the daemon of %s doesn't start; it ended by itself %d times: %s", name, n, f.lastLine(name)))
		}
	}
	if len(broken) > 0 {
		return broken, nil
	}
	return nil, f.serveOne()
}

// serveOne sends one order and checks that it is served.
func (f *fleet) serveOne() error {
	if err := f.awaitReady(startTime); err != nil {
		return err
	}
	i, err := newInstance(f.record, "i-orders", f.machines["side-1"], 20*time.Millisecond)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go i.announce(stop)
	time.Sleep(stable)
	c := &client{record: f.record, machine: f.machines["side-2"]}
	defer c.close()
	if s := c.send(http.MethodPost, "/order/x", requestDeadline); s.status != http.StatusOK {
		return fmt.Errorf("the order was not served: %d", s.status)
	}
	return nil
}

// lastLine returns the last line that a machine's daemons have written.
func (f *fleet) lastLine(name string) string {
	text, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.ReplaceAll(lines[len(lines)-1], f.dir, "")
}
