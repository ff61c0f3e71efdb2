package main

import (
	"fmt"
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
	orders := f.orderFrom("side-2", end)
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
	leaving.exit()
	close(end)
	return checkLeft(leaving, staying, acked, <-orders)
}
