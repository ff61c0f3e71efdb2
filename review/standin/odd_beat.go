package main

import (
	"fmt"
	"net/http"
	"time"
)

// oddBeat has an instance report that it drains, and serve on for some seconds. With the
// disruption, one heartbeat of another writer arrives before, in which seq is missing.
func oddBeat(r *record, root string, trouble, keepLogs bool) ([]string, error) {
	f, leaving, staying, err := newLeavingFleet(r, root)
	if err != nil {
		return nil, err
	}
	defer f.stop(keepLogs)
	stop, end := make(chan struct{}), make(chan struct{})
	defer close(stop)
	go leaving.announce(stop)
	go staying.announce(stop)
	clientsDone := f.readFrom("side-2", end)
	time.Sleep(stable + 2*time.Second)

	if trouble {
		odd := leaving.beat()
		odd["born"] = time.Now().UnixMilli()
		delete(odd["status"].(map[string]any), "seq")
		ok := leaving.machine.call("instances.heartbeat", leaving.id, odd)
		r.add("a heartbeat of another writer, without seq, arrives for %s: acknowledged %v", leaving.id, ok)
	}
	time.Sleep(time.Second)
	leaving.setState("draining")
	if !leaving.machine.call("instances.heartbeat", leaving.id, leaving.beat()) {
		return nil, fmt.Errorf("draining was not acknowledged")
	}
	acked := time.Now()
	r.add("it is acknowledged that %s is draining", leaving.id)
	time.Sleep(linger)
	close(end)
	<-clientsDone
	return checkLeft(leaving, staying, acked)
}

// newLeavingFleet returns a fleet with two instances of a service in two zones, and a
// machine beside the first one from which clients read.
func newLeavingFleet(r *record, root string) (f *fleet, leaving, staying *instance, err error) {
	specs := []spec{
		{"side-1", "puebla-centro", "puebla", "orders"},
		{"side-2", "puebla-centro", "puebla", "tracking"},
		{"side-3", "puebla-norte", "puebla", "orders"},
	}
	routes := []route{{prefix: "/view/", kind: "safe", service: "orders", timeout: 4 * time.Second, attempts: 2}}
	f, err = newFleet(r, root, specs, []string{"orders", "tracking"}, routes)
	if err != nil {
		return nil, nil, nil, err
	}
	if err = f.startAll(); err == nil {
		leaving, err = newInstance(r, "i-leaving", f.machines["side-1"], 20*time.Millisecond)
	}
	if err == nil {
		staying, err = newInstance(r, "i-staying", f.machines["side-3"], 20*time.Millisecond)
	}
	if err != nil {
		f.stop(false)
	}
	return f, leaving, staying, err
}

// readFrom has a client of a machine read until end is closed. The returned channel is
// closed when it has ended.
func (f *fleet) readFrom(name string, end <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := &client{record: f.record, machine: f.machines[name]}
		defer c.close()
		c.repeat(end, http.MethodGet, "/view/x", 50*time.Millisecond)
	}()
	return done
}

// checkLeft checks that no request reached an instance later than the drain time after
// its leaving was acknowledged.
func checkLeft(leaving, staying *instance, acked time.Time) ([]string, error) {
	var broken []string
	for _, x := range leaving.allRuns() {
		if after := x.arrived.Sub(acked); after > drain {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.1f s after its leaving was acknowledged", x.id, x.instance, after.Seconds()))
		}
	}
	if len(staying.allRuns())+len(leaving.allRuns()) == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
