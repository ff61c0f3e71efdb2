package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// stopClients is the number of clients, each with a connection of its own.
	stopClients = 30
	// largeGrace and largeStable are the bounds of the large deployment, and largeSlots
	// the slots of its instances. orderTimeout is its orders' timeout.
	largeGrace   = 10 * time.Second
	largeStable  = 4 * time.Second
	largeSlots   = 30
	orderTimeout = 2500 * time.Millisecond
	// earlySend is the time after SIGTERM up to which requests whose instance is still at
	// work at the end of the grace period don't count.
	earlySend = 3 * time.Second
)

// drawWork draws the time of a piece of work as the site's sheet gives it: the mean, a
// spread of a half of it, a maximum.
func drawWork(mean, most time.Duration) time.Duration {
	const sigma = 0.5
	x := math.Exp(rand.NormFloat64()*sigma - sigma*sigma/2)
	return min(most, time.Duration(x*float64(mean)))
}

// orderWorkOfLarge draws the time of a sewing order of the large deployment: its own work,
// and the call that it makes, which makes four more in turn.
func orderWorkOfLarge() time.Duration {
	own := drawWork(310*time.Millisecond, 1900*time.Millisecond)
	call := drawWork(15*time.Millisecond, 360*time.Millisecond)
	for range 4 {
		call += drawWork(60*time.Millisecond, 360*time.Millisecond)
	}
	return own + call
}

// plannedStop sends orders on kept connections to the only daemon of its zone. With the
// disruption, that daemon gets a SIGTERM. Its clients go on, as fewer than half of the
// zone's daemons are in.
func plannedStop(r *record, root string, trouble, keepLogs bool) ([]string, error) {
	stopGrace = largeGrace
	specs := []spec{
		{"side-1", "puebla-centro", "puebla", "tracking", 0},
		{"side-2", "puebla-norte", "puebla", "orders", 0},
		{"side-3", "puebla-norte", "puebla", "orders", 0},
	}
	routes := []route{{prefix: "/order/", kind: "unsafe", service: "orders", timeout: orderTimeout, attempts: 2}}
	f, err := newFleet(r, root, specs, []string{"orders", "tracking"}, routes)
	if err != nil {
		return nil, err
	}
	defer f.stop(keepLogs)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var instances []*instance
	for _, name := range []string{"side-2", "side-3"} {
		i, err := newInstance(r, "i-"+name, f.machines[name], 0)
		if err != nil {
			return nil, err
		}
		i.slots = largeSlots
		i.workFor = func(string) time.Duration { return orderWorkOfLarge() }
		go i.announce(stop)
		instances = append(instances, i)
	}
	time.Sleep(largeStable + time.Second)

	var mu sync.Mutex
	var answers []sent
	end := make(chan struct{})
	var clients sync.WaitGroup
	for n := range stopClients {
		clients.Go(func() {
			c := &client{record: r, machine: f.machines["side-1"]}
			defer c.close()
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			taken := c.repeat(end, http.MethodPost, "/order/x", time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, taken...)
		})
	}
	time.Sleep(largeStable + time.Second)
	stopped := time.Now()
	if trouble {
		f.signal("side-1", syscall.SIGTERM)
		select {
		case <-f.machines["side-1"].exited:
		case <-time.After(largeGrace):
			f.signal("side-1", syscall.SIGKILL)
		}
	}
	time.Sleep(time.Until(stopped.Add(largeGrace + time.Second)))
	close(end)
	clients.Wait()
	time.Sleep(time.Second)

	runs := make(map[string]run)
	for _, i := range instances {
		for _, x := range i.allRuns() {
			runs[x.id] = x
		}
	}
	return checkCut(answers, runs, stopped)
}

// checkCut checks that no request was cut that had been passed on to an instance. Not
// counted are those that were sent before the stop or in its first part, and those whose
// time was used up.
func checkCut(answers []sent, runs map[string]run, stopped time.Time) ([]string, error) {
	var broken []string
	served := 0
	for _, s := range answers {
		if s.status == http.StatusOK {
			served++
		}
		x, passedOn := runs[s.id]
		if s.status != 0 || !passedOn || s.at.Before(stopped.Add(earlySend)) || s.ended.Sub(s.at) >= orderTimeout {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: %s, sent %.2f s after SIGTERM and run by %s, was cut %.2f s after SIGTERM: %v",
			s.id, s.at.Sub(stopped).Seconds(), x.instance, s.ended.Sub(stopped).Seconds(), s.err))
	}
	if served == 0 {
		return broken, fmt.Errorf("no request was served")
	}
	return broken, nil
}
