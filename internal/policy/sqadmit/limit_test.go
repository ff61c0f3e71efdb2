package sqadmit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// end is the time at which a call ends, when it began, in seconds, and the
// calls in flight then.
type end struct {
	at, began float64
	inFlight  int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// settle runs calls through a target with slots of its own and a queue in order of
// arrival, as many as the limit allows and the load brings, and returns the
// mean limit over the last half of the time.
func settle(l *Limit, slots int, load, slow float64, seed uint64) float64 {
	const service, span = 0.02, 60.0
	rng := rand.New(rand.NewPCG(seed, 1))
	free := make([]float64, slots)
	var running ends
	var sum, n float64
	for at := 0.0; at < span; at += rng.ExpFloat64() * service / (load * float64(slots)) {
		for len(running) > 0 && running[0].at <= at {
			e := heap.Pop(&running).(end)
			l.Ended(epoch.Add(seconds(e.at)), e.inFlight, len(running)+1, Result{Latency: seconds(e.at - e.began)})
		}
		if at > span/2 {
			sum, n = sum+float64(l.Slots()), n+1
		}
		if len(running) >= l.Slots() {
			continue
		}
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		work := service * (0.3 + 0.7*rng.ExpFloat64())
		if at > span/3 {
			work *= slow
		}
		free[first] = max(at, free[first]) + work
		heap.Push(&running, end{free[first], at, len(running) + 1})
	}
	return sum / n
}

func TestLimitSettles(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/limits.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			var announced, slots int
			var load, slow, low, high float64
			_, err := fmt.Sscan(strings.TrimSpace(string(f.Data)), &announced, &slots, &load, &slow, &low, &high)
			qt.Assert(t, err, qt.IsNil)
			for seed := range uint64(3) {
				l := &Limit{}
				l.Announce(epoch, squnit.Slots(announced))
				got := settle(l, slots, load, slow, seed)
				qt.Check(t, got >= low && got <= high, qt.IsTrue, qt.Commentf("seed %d: settled at %.1f, must be %v to %v", seed, got, low, high))
			}
		})
	}
}
