package sqload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
)

// Run sends the load until the duration is over or ctx ends, waits for the last
// answers and returns the measurements.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	r := &runner{cfg: cfg, start: time.Now(), timeout: cfg.timeout()}
	var senders sync.WaitGroup
	for i := range cfg.Workspaces {
		senders.Go(func() { r.send(ctx, uint64(i), &cfg.Workspaces[i]) })
	}
	senders.Wait()
	r.requests.Wait()
	return newResult(cfg, r.start, r.samples, int(r.notSent.Load())), nil
}

// runner is the state shared by the senders of one run; mu guards samples.
type runner struct {
	cfg      Config
	start    time.Time
	timeout  time.Duration
	requests sync.WaitGroup
	inFlight atomic.Int64
	notSent  atomic.Int64

	mu      sync.Mutex
	samples []Sample
}

// sender sends the requests of one workspace; mu guards bucket and rnd.
type sender struct {
	run       *runner
	workspace *Workspace
	client    *http.Client
	bucket    bucket

	mu  sync.Mutex
	rnd *rand.Rand
}

const idleConnections = 1024

func (r *runner) newSender(seed uint64, w *Workspace) *sender {
	var protocols http.Protocols
	protocols.SetHTTP1(!r.cfg.H2C)
	protocols.SetUnencryptedHTTP2(r.cfg.H2C)
	tr := &http.Transport{Protocols: &protocols, MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &sender{
		run: r, workspace: w,
		client: &http.Client{Transport: tr},
		rnd:    rand.New(rand.NewPCG(r.cfg.Seed, seed)),
		bucket: bucket{rate: w.PlanRate, burst: w.PlanBurst},
	}
}

func (r *runner) send(ctx context.Context, seed uint64, w *Workspace) {
	s := r.newSender(2*seed+1, w)
	schedule := Schedule{
		Rate: w.Rate, Phases: w.Phases, Poisson: r.cfg.Arrivals != ArrivalsFixed,
		Rand: rand.New(rand.NewPCG(r.cfg.Seed, 2*seed)),
	}
	for n := 0; ; n++ {
		at, ok := schedule.Next()
		if !ok || at >= time.Duration(r.cfg.Duration) || sqtimer.Sleep(ctx, time.Until(r.start.Add(at))) != nil {
			return
		}
		route := s.pickRoute()
		if r.inFlight.Add(1) > int64(r.cfg.maxInFlight()) {
			r.inFlight.Add(-1)
			r.notSent.Add(1)
			continue
		}
		id := fmt.Sprintf("%d-%s-%d", r.cfg.Seed, w.Name, n)
		r.requests.Go(func() {
			defer r.inFlight.Add(-1)
			r.addSample(s.request(ctx, id, route, r.start.Add(at)))
		})
	}
}

func (r *runner) addSample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (s *sender) pickRoute() *Route {
	total := 0.0
	for i := range s.workspace.Routes {
		total += routeWeight(&s.workspace.Routes[i])
	}
	s.mu.Lock()
	x := s.rnd.Float64() * total
	s.mu.Unlock()
	for i := range s.workspace.Routes {
		if x -= routeWeight(&s.workspace.Routes[i]); x < 0 {
			return &s.workspace.Routes[i]
		}
	}
	return &s.workspace.Routes[len(s.workspace.Routes)-1]
}

func routeWeight(r *Route) float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Weight
}

// pickEntry returns a random entry, other than last if there are several.
func (s *sender) pickEntry(last string) string {
	entries := s.run.cfg.Entries
	s.mu.Lock()
	i := s.rnd.IntN(len(entries))
	s.mu.Unlock()
	if entries[i] == last {
		i = (i + 1) % len(entries)
	}
	return entries[i]
}

// request sends one request, retries it as the workspace allows, and returns all
// attempts.
func (s *sender) request(ctx context.Context, id string, route *Route, scheduled time.Time) Sample {
	sample := Sample{
		Workspace: s.workspace.Name, Path: route.Path, Method: route.method(),
		Importance: route.Importance, Scheduled: scheduled.UnixNano(),
	}
	operation := ""
	if route.Operations {
		operation = "op-" + id
	}
	entry := ""
	for n := 0; n <= s.workspace.Repeats; n++ {
		if n > 0 && sqtimer.Sleep(ctx, time.Duration(s.workspace.Backoff)) != nil {
			break
		}
		entry = s.pickEntry(entry)
		a := s.attempt(ctx, call{
			entry: entry, id: fmt.Sprintf("%s-%d", id, n), operation: operation, route: route,
		})
		sample.Attempts = append(sample.Attempts, a)
		if a.Complete || !a.mayRetry(route) {
			break
		}
	}
	last := sample.Attempts[len(sample.Attempts)-1]
	sample.Complete, sample.Ended = last.Complete, last.Ended
	return sample
}

// call holds the parameters of one attempt.
type call struct {
	entry     string
	id        string
	operation string
	route     *Route
}

// expectedWorkspace returns the workspace that answers must name: none if the
// request carries no key.
func (s *sender) expectedWorkspace() sqid.WorkspaceID {
	if s.workspace.Key == "" || s.run.cfg.Direct {
		return ""
	}
	return s.workspace.Name
}
