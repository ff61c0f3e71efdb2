package sqlimiter

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshare"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqpartwire"
)

const (
	// farLatency is the one-way latency between regions, nearLatency that within one.
	farLatency  = 20 * time.Millisecond
	nearLatency = 500 * time.Microsecond
	// regions is the number of regions; the daemons are spread evenly over them.
	regions = 2
)

// fakeFleet is a simulated fleet of rate limiters with an in-memory network.
type fakeFleet struct {
	plans    map[sqid.WorkspaceID]sqlimit.Capacity
	limiters []*Limiter
	// cut daemons can neither send nor receive. Requests to daemons in answersLost
	// arrive, but their answers are lost. Requests to daemons in requestsLost are lost,
	// but those daemons can send requests and get the answers.
	cut, answersLost, requestsLost map[sqid.DaemonID]bool

	// opened has the pairs of daemons with an open connection. If it is not nil, the first
	// call between two daemons takes two more round trips.
	opened map[[2]int]bool

	// fillTime is the time in which shares fill before the first request.
	fillTime time.Duration
	// asks counts the borrow calls between daemons.
	asks atomic.Int64

	mu sync.Mutex
	// spent is when tokens were spent, since began.
	spent []time.Duration
	began time.Time
}

func newFakeFleet(n int, plan sqlimit.Capacity) *fakeFleet {
	w := &fakeFleet{
		plans: map[sqid.WorkspaceID]sqlimit.Capacity{"w": plan}, began: time.Now(), fillTime: 2 * time.Second,
		cut: make(map[sqid.DaemonID]bool), answersLost: make(map[sqid.DaemonID]bool), requestsLost: make(map[sqid.DaemonID]bool),
	}
	for i := range n {
		w.limiters = append(w.limiters, &Limiter{
			Self: name(i), Plans: w, Conns: conns{w, i}, MinMembers: func() int { return regions }, Logger: logr.Discard(),
			Members: func() []Member { return members(n, i) },
		})
	}
	return w
}

func name(i int) sqid.DaemonID { return sqid.DaemonID(fmt.Sprintf("d%02d", i)) }

// members returns the fleet as daemon self sees it.
func members(n, self int) []Member {
	all := make([]Member, n)
	for i := range n {
		away := 0
		if i%regions != self%regions {
			away = 2
		}
		all[i] = Member{
			Member:  sqshare.Member{ID: name(i), Region: sqid.RegionID(fmt.Sprint(i % regions))},
			Address: string(name(i)), Distance: away, Near: away == 0, Alive: true,
		}
	}
	return all
}

func (w *fakeFleet) Plan(id sqid.WorkspaceID) (sqlimit.Capacity, bool) {
	p, ok := w.plans[id]
	return p, ok
}

func (w *fakeFleet) Limited() []sqid.WorkspaceID { return []sqid.WorkspaceID{"w"} }

// conns opens a daemon's connections to others.
type conns struct {
	w    *fakeFleet
	self int
}

func (c conns) Conn(address string) (grpc.ClientConnInterface, error) {
	return link{c.w, c.self, address}, nil
}

// link is a simulated connection between two daemons, with latency and faults.
type link struct {
	w    *fakeFleet
	self int
	to   string
}

func (l link) Invoke(ctx context.Context, _ string, in, out any, _ ...grpc.CallOption) error {
	l.w.asks.Add(1)
	var i int
	_, _ = fmt.Sscanf(l.to, "d%d", &i)
	latency := nearLatency
	if i%regions != l.self%regions {
		latency = farLatency
	}
	to := sqid.DaemonID(l.to)
	if l.w.cut[to] || l.w.cut[name(l.self)] || l.w.requestsLost[to] {
		<-ctx.Done()
		return ctx.Err()
	}
	if l.w.isNewConnection(l.self, i) {
		time.Sleep(4 * latency)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	time.Sleep(latency)
	answer, err := (&server{limiter: l.w.limiters[i]}).Borrow(ctx, in.(*sqpartwire.BorrowRequest))
	if l.w.answersLost[to] {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(latency)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	out.(*sqpartwire.BorrowAnswer).Tokens, out.(*sqpartwire.BorrowAnswer).NextUs = answer.Tokens, answer.NextUs
	return err
}

// isNewConnection reports whether a call between two daemons has to open a connection.
func (w *fakeFleet) isNewConnection(from, to int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.opened == nil || w.opened[[2]int{from, to}] {
		return false
	}
	w.opened[[2]int{from, to}] = true
	return true
}

func (l link) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("streams are not supported")
}

// sendLoad sends Poisson requests at a rate, spread by weight over the daemons, after the
// shares have filled. It returns how many requests were sent and admitted.
func (w *fakeFleet) sendLoad(rate float64, duration time.Duration, weight func(i int) float64) (sent, admitted int) {
	rng := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	var count sync.Mutex
	total := 0.0
	for i := range w.limiters {
		total += weight(i)
	}
	stop := make(chan struct{})
	for _, p := range w.limiters {
		wg.Go(func() {
			for {
				p.Tick(time.Now())
				select {
				case <-stop:
					return
				case <-time.After(TickPeriod):
				}
			}
		})
	}
	time.Sleep(w.fillTime)
	w.began = time.Now()
	var requests sync.WaitGroup
	for time.Since(w.began) < duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		at := rng.Float64() * total
		i := 0
		for at -= weight(i); at > 0 && i < len(w.limiters)-1; at -= weight(i) {
			i++
		}
		sent++
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			ok, _, err := w.limiters[i].Charge(ctx, "w")
			if err != nil || !ok {
				return
			}
			w.mu.Lock()
			w.spent = append(w.spent, time.Since(w.began))
			w.mu.Unlock()
			count.Lock()
			admitted++
			count.Unlock()
		})
	}
	requests.Wait()
	// Let borrowing rounds end that no request waits for.
	time.Sleep(maxAsksPerRound * farTimeout)
	close(stop)
	wg.Wait()
	return sent, admitted
}

// excess returns by how many tokens the spending exceeds the rate and burst, in the
// worst window.
func (w *fakeFleet) excess(plan sqlimit.Capacity) float64 {
	worst := 0.0
	for i := range w.spent {
		for j := i; j < len(w.spent); j++ {
			span := (w.spent[j] - w.spent[i]).Seconds()
			worst = max(worst, float64(j-i+1)-float64(plan.Burst)-float64(plan.Rate)*span)
		}
	}
	return worst
}

func evenly(int) float64 { return 1 }

// TestShares sends requests within and above a workspace's rate, evenly over the
// daemons and unevenly. What the plan allows is admitted, and no more.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		plan   sqlimit.Capacity
		demand float64
		weight func(int) float64
		// minRatio is the least ratio of admitted requests to those sent, or to what
		// the rate allows if that is less.
		minRatio float64
	}{
		"within the rate":          {sqlimit.Capacity{Rate: 99, Burst: 99}, 62, evenly, 0.995},
		"above it":                 {sqlimit.Capacity{Rate: 99, Burst: 99}, 200, evenly, 0.97},
		"far above it":             {sqlimit.Capacity{Rate: 99, Burst: 99}, 500, evenly, 0.97},
		"little above it":          {sqlimit.Capacity{Rate: 99, Burst: 99}, 110, evenly, 0.95},
		"from one region":          {sqlimit.Capacity{Rate: 99, Burst: 99}, 90, func(i int) float64 { return float64(1 - i%2) }, 0.98},
		"small, within":            {sqlimit.Capacity{Rate: 12, Burst: 12}, 7, evenly, 0.97},
		"small, above":             {sqlimit.Capacity{Rate: 12, Burst: 12}, 40, evenly, 0.95},
		"tiny, above":              {sqlimit.Capacity{Rate: 3, Burst: 3}, 20, evenly, 0.9},
		"uneven by a factor of 16": {sqlimit.Capacity{Rate: 99, Burst: 99}, 120, func(i int) float64 { return float64(1 + i) }, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const duration = 30 * time.Second
				w := newFakeFleet(16, c.plan)
				sent, admitted := w.sendLoad(c.demand, duration, c.weight)
				allowed := min(float64(sent), float64(c.plan.Rate)*duration.Seconds())
				t.Logf("sent %d, admitted %d, %.3f of what is allowed, excess %.1f", sent, admitted, float64(admitted)/allowed, w.excess(c.plan))
				qt.Check(t, float64(admitted) >= c.minRatio*allowed, qt.IsTrue)
				qt.Check(t, w.excess(c.plan) <= 1, qt.IsTrue)
			})
		})
	}
}

// TestPartitionedHoldersSpendOnlyTheirOwnShares partitions 5 of 16 daemons, in both
// directions or in one. The fleet stays within the plan, and all daemons go on with
// their own shares.
func TestPartitionedHoldersSpendOnlyTheirOwnShares(t *testing.T) {
	for cut, set := range map[string]func(w *fakeFleet, id sqid.DaemonID){
		"both ways":     func(w *fakeFleet, id sqid.DaemonID) { w.cut[id] = true },
		"answers lost":  func(w *fakeFleet, id sqid.DaemonID) { w.answersLost[id] = true },
		"requests lost": func(w *fakeFleet, id sqid.DaemonID) { w.requestsLost[id] = true },
	} {
		t.Run(cut, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				plan := sqlimit.Capacity{Rate: 99, Burst: 99}
				w := newFakeFleet(16, plan)
				for i := range 5 {
					set(w, name(i))
				}
				_, admitted := w.sendLoad(300, 20*time.Second, evenly)
				qt.Check(t, w.excess(plan) <= 1, qt.IsTrue, qt.Commentf("excess %.1f", w.excess(plan)))
				qt.Check(t, float64(admitted) >= 0.9*float64(plan.Rate)*20, qt.IsTrue, qt.Commentf("%d admitted", admitted))
			})
		})
	}
}

// TestRestartAllowsNoBurst restarts all daemons several times while a workspace sends
// far above its rate. New shares must start empty.
func TestRestartAllowsNoBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := sqlimit.Capacity{Rate: 99, Burst: 99}
		w := newFakeFleet(16, plan)
		for range 4 {
			began := w.began
			spent := w.spent
			_, _ = w.sendLoad(400, 3*time.Second, evenly)
			// Shift the times of this run to the start of the first.
			shift := w.began.Sub(began)
			for i := len(spent); i < len(w.spent); i++ {
				w.spent[i] += shift
			}
			w.began = began
			fresh := newFakeFleet(16, plan)
			w.limiters = fresh.limiters
			for i, p := range w.limiters {
				p.Plans, p.Conns = w, conns{w, i}
			}
		}
		qt.Assert(t, w.excess(plan) <= 1, qt.IsTrue, qt.Commentf("excess %.1f", w.excess(plan)))
	})
}

// TestFleetRestartStaysWithinPlan restarts all daemons, which discover each other over
// 1.5 s, while a workspace sends far above its rate. If each daemon divided the plan
// among the members that it knows, the first seconds would admit several times the
// rate.
func TestFleetRestartStaysWithinPlan(t *testing.T) {
	const n, converge = 16, 1500 * time.Millisecond
	plan := sqlimit.Capacity{Rate: 99, Burst: 99}
	runLoad := func(t *testing.T, minMembers int) (excess float64) {
		synctest.Test(t, func(*testing.T) {
			w := newFakeFleet(n, plan)
			began := time.Now()
			for i, p := range w.limiters {
				p.MinMembers = func() int { return minMembers }
				p.Members = func() []Member {
					// The daemon and its next neighbours in a ring, more with time.
					known := 2 + int(float64(n)*time.Since(began).Seconds()/converge.Seconds())
					return slices.DeleteFunc(members(n, i), func(m Member) bool {
						var j int
						_, _ = fmt.Sscanf(string(m.ID), "d%d", &j)
						return (j-i+n)%n >= known
					})
				}
			}
			w.fillTime = 0
			_, _ = w.sendLoad(400, 5*time.Second, evenly)
			excess = w.excess(plan)
		})
		return excess
	}
	qt.Check(t, runLoad(t, n) <= 1, qt.IsTrue, qt.Commentf("the fleet's size is known: excess %.1f", runLoad(t, n)))
	before := runLoad(t, regions)
	qt.Check(t, before > 1, qt.IsTrue, qt.Commentf("the fleet's size is not known: excess %.1f", before))
	t.Logf("excess if the fleet's size is not known: %.1f", before)
}

// TestBorrowCallsStayFew sends far above a workspace's rate in a larger fleet, where
// there is always one more holder to ask. A borrow call takes about 100 bytes, and a
// daemon may use at most 2 KB a second.
func TestBorrowCallsStayFew(t *testing.T) {
	const n, maxAsks = 78, 20
	plan := sqlimit.Capacity{Rate: 400, Burst: 400}
	synctest.Test(t, func(t *testing.T) {
		const duration = 10 * time.Second
		w := newFakeFleet(n, plan)
		_, admitted := w.sendLoad(1600, duration, evenly)
		asks := float64(w.asks.Load()) / duration.Seconds() / n
		t.Logf("%.1f borrow calls per second and daemon, %d admitted", asks, admitted)
		qt.Check(t, asks <= maxAsks, qt.IsTrue, qt.Commentf("%.1f borrow calls per second and daemon", asks))
		qt.Check(t, float64(admitted) >= 0.97*float64(plan.Rate)*duration.Seconds(), qt.IsTrue, qt.Commentf("%d admitted", admitted))
	})
}

// TestUnlimited checks that a workspace without a limit is always admitted, and that
// no tokens are lent for it.
func TestUnlimited(t *testing.T) {
	p := &Limiter{Self: "a", Plans: &fakeFleet{}, Members: func() []Member { return nil }, MinMembers: func() int { return 1 }, Logger: logr.Discard()}
	ok, _, err := p.Charge(t.Context(), "free")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	p.Return("free")
	given, _ := p.lend(t.Context(), "free", squnit.Tokens(1), false)
	qt.Assert(t, given, qt.Equals, squnit.Tokens(0))
}

// TestOddBorrowMessages passes numbers of tokens that no daemon of this build sends, as a
// borrow call and as its answer. They count as none.
func TestOddBorrowMessages(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(-1), -1, 0} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet(16, sqlimit.Capacity{Rate: 1, Burst: 99})
			p := w.limiters[0]
			p.Tick(time.Now())
			lent, _ := p.lend(t.Context(), "w", squnit.Tokens(odd), false)
			qt.Check(t, lent, qt.Equals, squnit.Tokens(0), qt.Commentf("asked for %v", odd))
			a := p.accounts["w"]
			qt.Check(t, a.waiting, qt.Equals, 0)
			got := p.noteAnswer(a, Member{}, 3, &sqpartwire.BorrowAnswer{Tokens: odd}, nil)
			qt.Check(t, got, qt.Equals, squnit.Tokens(0), qt.Commentf("answer %v", odd))
			got = p.noteAnswer(a, Member{}, 3, &sqpartwire.BorrowAnswer{Tokens: math.Inf(1), NextUs: math.MaxInt64}, nil)
			qt.Check(t, got, qt.Equals, squnit.Tokens(3))
		})
	}
}

// cancelledAfter is a context whose Err is nil for a number of calls, and Canceled after
// them.
type cancelledAfter struct {
	context.Context
	calls int
}

func (c *cancelledAfter) Err() error {
	if c.calls--; c.calls < 0 {
		return context.Canceled
	}
	return nil
}

// TestCancelledChargeIsNotCountedAsWaiting cancels charges at various moments of their
// wait for a token of a workspace that has none. The account's count of waiting requests
// must return to 0.
func TestCancelledChargeIsNotCountedAsWaiting(t *testing.T) {
	for calls := range 8 {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet(16, sqlimit.Capacity{Rate: 1, Burst: 99})
			p := w.limiters[0]
			p.Tick(time.Now())
			ok, _, _ := p.Charge(&cancelledAfter{t.Context(), calls}, "w")
			qt.Check(t, ok, qt.IsFalse)
			qt.Check(t, p.accounts["w"].waiting, qt.Equals, 0, qt.Commentf("the context ends after %d calls of Err", calls))
			time.Sleep(maxAsksPerRound * farTimeout)
		})
	}
}
