package main

import (
	"fmt"
	"syscall"
	"time"
)

// beatDelay is how late the instance's last heartbeat arrives, counted from the
// deregistration before which it was made.
const beatDelay = 2 * time.Second

// lateBeat has an instance deregister and serve on for some seconds, as instances do that
// never report that they drain. With the disruption, the daemon on its machine is killed
// and restarted after the acknowledgement, and a heartbeat made before the
// deregistration arrives late.
func lateBeat(r *record, root string, trouble, keepLogs bool) ([]string, error) {
	f, leaving, staying, err := newLeavingFleet(r, root)
	if err != nil {
		return nil, err
	}
	defer f.stop(keepLogs)
	stopLeaving, stop, end := make(chan struct{}), make(chan struct{}), make(chan struct{})
	defer close(stop)
	go leaving.announce(stopLeaving)
	go staying.announce(stop)
	orders := f.orderFrom("side-2", end)
	time.Sleep(stable + 2*time.Second)

	close(stopLeaving)
	late := leaving.beat()
	if !leaving.machine.call("instances.deregister", leaving.id, map[string]any{"born": leaving.born}) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	acked := time.Now()
	r.add("the deregistration of %s is acknowledged", leaving.id)
	if trouble {
		f.signal("side-1", syscall.SIGKILL)
		<-f.machines["side-1"].exited
		time.Sleep(restartDelay)
		if err := f.start("side-1"); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(acked.Add(beatDelay)))
	ok := leaving.machine.call("instances.heartbeat", leaving.id, late)
	r.add("a heartbeat of %s, made before its deregistration, arrives: acknowledged %v", leaving.id, ok)
	time.Sleep(time.Until(acked.Add(linger)))
	leaving.exit()
	close(end)
	return checkLeft(leaving, staying, acked, <-orders)
}
