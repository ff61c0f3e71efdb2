package main

import (
	"fmt"
	"net/http"
	"time"
)

// The bounds of the small sites.
const (
	boundDrain  = 2500 * time.Millisecond
	boundStable = 3 * time.Second
)

// The course of the case, from its first step.
const (
	heartbeatSent = 300 * time.Millisecond
	deregistered  = 500 * time.Millisecond
	daemonsKilled = 800 * time.Millisecond
	daemonsBack   = 1300 * time.Millisecond
	storeBack     = 3 * time.Second
	// heartbeatIn is when the heartbeat arrives, heartbeatIn - heartbeatSent late.
	heartbeatIn = 3300 * time.Millisecond
	// judgedFrom is when all machines have been in touch for a while: the store and the
	// processes have been without disruption for boundStable.
	judgedFrom = storeBack + boundStable + 300*time.Millisecond
	courseEnd  = 10 * time.Second
	// requestPeriod is the time between two requests of the clients.
	requestPeriod = 100 * time.Millisecond
)

const departureConfig = `{"version":"00000007",
"services":[{"name":"orders","health_path":"/health","max_connections":628,"protocol":"h1","tls":false},{"name":"designs","health_path":"/health","max_connections":628,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"taller","api_keys":["` + apiKey + `"],"priority":1,"rate_per_s":99,"burst":99}],
"virtual_hosts":[{"host":"orders.example","paths":[{"name":"r-orders","prefix":"/orders/","kind":"unsafe","timeout":"4000ms","target_latency":"1500ms","priority":0,"service":"orders","max_attempts":2,"public":true}]}]}`

// forgottenDeparture has an instance leave. With trouble, the store is down at that moment
// and all daemons are killed soon after. A heartbeat from before the departure arrives late
// in either case. The instance goes on serving to the end.
func forgottenDeparture(f *fleet) ([]string, error) {
	leaving, err := f.addHost("orders-1", "z1", "r1", "orders")
	if err != nil {
		return nil, err
	}
	for _, h := range [][2]string{{"orders-2", "z2"}, {"designs-1", "z1"}, {"designs-2", "z2"}} {
		if _, err := f.addHost(h[0], h[1], "r1", h[0][:len(h[0])-2]); err != nil {
			return nil, err
		}
	}
	entry := f.hosts[2]
	if err := f.start(departureConfig); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)

	start := time.Now()
	sent := f.sendOrders(entry, start)
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	if f.trouble {
		f.store.setBusy(true)
		f.rec.printf("the store is down: it answers 503")
	}
	at(heartbeatSent)
	leaving.instance.silent.Store(true)
	late := leaving.instance.heartbeat("ready")
	f.rec.printf("instance %s sends a heartbeat, which is delayed: %s", leaving.instance.id, late)
	at(deregistered)
	if err := leaving.instance.call("instances.deregister", fmt.Appendf(nil, `{"born":%d}`, leaving.instance.born)); err != nil {
		return nil, fmt.Errorf("the departure was not acknowledged: %w", err)
	}
	acked := time.Now()
	f.rec.printf("the departure of instance %s is acknowledged", leaving.instance.id)
	if f.trouble {
		at(daemonsKilled)
		for _, h := range f.hosts {
			h.kill()
		}
		f.rec.printf("all daemons are killed")
		at(daemonsBack)
		for _, h := range f.hosts {
			if err := h.start(); err != nil {
				return nil, err
			}
		}
		at(storeBack)
		f.store.setBusy(false)
		f.rec.printf("the store is back")
	}
	at(heartbeatIn)
	err = leaving.instance.call("instances.heartbeat", late)
	f.rec.printf("the delayed heartbeat of instance %s arrives: %v", leaving.instance.id, err)
	at(courseEnd)
	return f.lateRuns(leaving.instance, sent(), start.Add(judgedFrom), acked.Add(boundDrain)), nil
}

// sendOrders sends requests until the course's end, each on a connection of its own. The
// function that it returns waits for the answers and returns when each request was sent.
func (f *fleet) sendOrders(h *host, start time.Time) func() map[string]time.Time {
	sent := make(map[string]time.Time)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; time.Since(start) < courseEnd-requestPeriod; n++ {
			id := fmt.Sprintf("order-%03d", n)
			sent[id] = time.Now()
			got, err := sendOnce(h, id)
			f.rec.printf("client sends POST /orders/new, id %s, and gets %v, error %v", id, got, err)
			time.Sleep(requestPeriod)
		}
	}()
	return func() map[string]time.Time {
		<-done
		return sent
	}
}

func sendOnce(h *host, id string) (answer, error) {
	c, err := dialClient(h)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	if _, err := c.Write([]byte(head(http.MethodPost, "orders.example", "/orders/new", id, 0))); err != nil {
		return answer{}, err
	}
	return c.readAnswer(callerTimeout)
}

// lateRuns returns the runs at an instance, later than bound, of requests that were sent
// after from.
func (f *fleet) lateRuns(i *instance, sent map[string]time.Time, from, bound time.Time) []string {
	var broken []string
	for _, r := range f.allRuns() {
		if r.instance == i.id && r.at.After(bound) && sent[r.id].After(from) {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached instance %s %.1f s after the bound", r.id, i.id, r.at.Sub(bound).Seconds()))
		}
	}
	return broken
}
