package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// copyDelay is how long after an answer the faulty instance sends it once more.
	copyDelay = 30 * time.Millisecond
	// copyShare is the largest share of its answers that the instance sends twice.
	copyShare = 0.03
	// copyWarmUp is how long requests are served before the instance is faulty, and
	// copyTime how long it rejects some orders, with or without second copies.
	copyWarmUp = 3 * time.Second
	copyTime   = 5 * time.Second
	// viewClients is the number of clients that read.
	viewClients = 6
	orderWork   = 150 * time.Millisecond
	viewWork    = 20 * time.Millisecond
)

// secondCopy has clients read from a service with one instance, and one client that sends
// orders. For some seconds the instance rejects the first arrival of some orders. With the
// disruption it sends such an answer twice, the second copy late, on the connection that
// is in use again.
func secondCopy(r *record, root string, trouble, keepLogs bool) ([]string, error) {
	specs := []spec{{"side-1", "puebla-centro", "puebla", "orders", 0}, {"side-2", "puebla-norte", "puebla", "tracking", 0}}
	routes := []route{
		{prefix: "/order/", kind: "unsafe", service: "orders", timeout: 4 * time.Second, attempts: 3},
		{prefix: "/view/", kind: "safe", service: "orders", timeout: 4 * time.Second, attempts: 2},
	}
	f, err := newFleet(r, root, specs, []string{"orders", "tracking"}, routes)
	if err != nil {
		return nil, err
	}
	defer f.stop(keepLogs)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	orders, err := newInstance(r, "i-orders", f.machines["side-1"], viewWork)
	if err != nil {
		return nil, err
	}
	orders.workFor = func(path string) time.Duration {
		if strings.HasPrefix(path, "/order/") {
			return orderWork
		}
		return viewWork
	}
	var mu sync.Mutex
	seen := make(map[string]bool)
	var faultyFrom time.Time
	copies, rejected := 0, 0
	orders.shed = func(id, path string) (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !strings.HasPrefix(path, "/order/") || seen[id] {
			return false, 0
		}
		seen[id] = true
		if len(seen)%2 == 0 {
			return false, 0
		}
		if faultyFrom.IsZero() || time.Since(faultyFrom) >= copyTime {
			return false, 0
		}
		rejected++
		if !trouble || float64(copies+1) > copyShare*float64(orders.answersSince(faultyFrom)) {
			return true, 0
		}
		copies++
		return true, copyDelay
	}
	tracking, err := newInstance(r, "i-tracking", f.machines["side-2"], viewWork)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go orders.announce(stop)
	go tracking.announce(stop)
	time.Sleep(stable + time.Second)

	end := make(chan struct{})
	var clients sync.WaitGroup
	var answers []sent
	for range viewClients {
		clients.Go(func() {
			c := &client{record: r, machine: f.machines["side-1"]}
			defer c.close()
			c.repeat(end, http.MethodGet, "/view/x", 10*time.Millisecond)
		})
	}
	clients.Go(func() {
		c := &client{record: r, machine: f.machines["side-1"]}
		defer c.close()
		answers = c.repeat(end, http.MethodPost, "/order/x", 50*time.Millisecond)
	})
	time.Sleep(copyWarmUp)
	mu.Lock()
	faultyFrom = time.Now()
	mu.Unlock()
	time.Sleep(copyTime)
	given := orders.answersSince(faultyFrom)
	time.Sleep(time.Second)
	close(end)
	clients.Wait()
	time.Sleep(time.Second)
	r.add("instance i-orders: %d answers in %v, %d of them rejections, %d sent twice", given, copyTime, rejected, copies)
	return checkRunOnce(answers, orders.allRuns())
}

// checkRunOnce checks that each request ran at most once, and not at all if its answer
// promises so.
func checkRunOnce(answers []sent, runs []run) ([]string, error) {
	count := make(map[string]int)
	for _, x := range runs {
		count[x.id]++
	}
	var broken []string
	served := 0
	for _, s := range answers {
		if s.status == http.StatusOK {
			served++
		}
		if n := count[s.id]; n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times; its client got %d", s.id, n, s.status))
		} else if n > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s has run; its client got %d", s.id, s.status))
		}
	}
	if served == 0 {
		return broken, fmt.Errorf("no order was served")
	}
	return broken, nil
}
