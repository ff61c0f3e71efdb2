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

// Run sends the load until its duration is over or ctx ends, waits for the
// last answers and returns the accounts.
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

// sender sends one workspace's requests.
type sender struct {
	run    *runner
	space  *Workspace
	client *http.Client
	bucket bucket

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
		run: r, space: w,
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
			r.keep(s.request(ctx, id, route, r.start.Add(at)))
		})
	}
}

func (r *runner) keep(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (s *sender) pickRoute() *Route {
	total := 0.0
	for i := range s.space.Routes {
		total += share(&s.space.Routes[i])
	}
	s.mu.Lock()
	x := s.rnd.Float64() * total
	s.mu.Unlock()
	for i := range s.space.Routes {
		if x -= share(&s.space.Routes[i]); x < 0 {
			return &s.space.Routes[i]
		}
	}
	return &s.space.Routes[len(s.space.Routes)-1]
}

func share(r *Route) float64 {
	if r.Share == 0 {
		return 1
	}
	return r.Share
}

// pickEntry returns an entry other than last, if there is one.
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

// request sends one request with its repeats.
func (s *sender) request(ctx context.Context, id string, route *Route, scheduled time.Time) Sample {
	sample := Sample{
		Workspace: s.space.Name, Path: route.Path, Method: route.method(),
		Importance: route.Importance, Scheduled: scheduled.UnixNano(),
	}
	operation := ""
	if route.Operations {
		operation = "op-" + id
	}
	entry := ""
	for n := 0; n <= s.space.Repeats; n++ {
		if n > 0 && sqtimer.Sleep(ctx, time.Duration(s.space.Backoff)) != nil {
			break
		}
		entry = s.pickEntry(entry)
		a := s.attempt(ctx, call{
			entry: entry, id: fmt.Sprintf("%s-%d", id, n), operation: operation, route: route,
		})
		sample.Attempts = append(sample.Attempts, a)
		if a.Whole || !a.mayRepeat(route) {
			break
		}
	}
	last := sample.Attempts[len(sample.Attempts)-1]
	sample.Whole, sample.Ended = last.Whole, last.Ended
	return sample
}

// call is what one attempt sends.
type call struct {
	entry     string
	id        string
	operation string
	route     *Route
}

func (s *sender) expectedWorkspace() sqid.WorkspaceID {
	if s.space.Key == "" || s.run.cfg.Direct {
		return ""
	}
	return s.space.Name
}
