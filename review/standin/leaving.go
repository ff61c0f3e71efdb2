package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// linger is how long the instance serves after its leaving is acknowledged.
	linger = 10 * time.Second
	// leavingWork is how long an order takes, and leavingClients the number of clients
	// that send some.
	leavingWork    = 120 * time.Millisecond
	leavingClients = 6
)

// newLeavingFleet returns a fleet with two instances of a service in two zones, and a
// machine beside the first one from which clients send orders.
func newLeavingFleet(r *record, root string) (f *fleet, leaving, staying *instance, err error) {
	specs := []spec{
		{"side-1", "puebla-centro", "puebla", "orders", 0},
		{"side-2", "puebla-centro", "puebla", "tracking", 0},
		{"side-3", "puebla-norte", "puebla", "orders", 0},
	}
	routes := []route{{prefix: "/order/", kind: "unsafe", service: "orders", timeout: 4 * time.Second, attempts: 2}}
	f, err = newFleet(r, root, specs, []string{"orders", "tracking"}, routes)
	if err != nil {
		return nil, nil, nil, err
	}
	if err = f.startAll(); err == nil {
		leaving, err = newInstance(r, "i-leaving", f.machines["side-1"], leavingWork)
	}
	if err == nil {
		staying, err = newInstance(r, "i-staying", f.machines["side-3"], leavingWork)
	}
	if err != nil {
		f.stop(false)
	}
	return f, leaving, staying, err
}

// orderFrom has the clients of a machine send orders until end is closed. The returned
// channel gives their requests then.
func (f *fleet) orderFrom(name string, end <-chan struct{}) <-chan []sent {
	done := make(chan []sent, 1)
	var mu sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	for range leavingClients {
		clients.Go(func() {
			c := &client{record: f.record, machine: f.machines[name]}
			defer c.close()
			taken := c.repeat(end, http.MethodPost, "/order/x", 50*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, taken...)
		})
	}
	go func() {
		clients.Wait()
		done <- all
	}()
	return done
}

// checkLeft checks that no request reached an instance later than the drain time after
// its leaving was acknowledged. It records which of them were cut when it ended.
func checkLeft(leaving, staying *instance, acked time.Time, orders []sent) ([]string, error) {
	var broken []string
	for _, x := range leaving.startedRuns() {
		if after := x.arrived.Sub(acked); after > drain {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.1f s after its leaving was acknowledged", x.id, x.instance, after.Seconds()))
		}
	}
	cut := 0
	for _, s := range orders {
		if s.status != http.StatusOK && leaving.hasStarted(s.id) {
			cut++
			leaving.add("order %s was running at %s as it ended; its client got %d", s.id, leaving.id, s.status)
		}
	}
	leaving.add("%d orders were cut as %s ended", cut, leaving.id)
	if len(staying.startedRuns())+len(leaving.startedRuns()) == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
