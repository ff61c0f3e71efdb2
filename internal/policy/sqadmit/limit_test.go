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

// completion is a simulated call: the times at which it ends and began, in
// seconds, and the calls in flight when it began, itself included.
type completion struct {
	at, began float64
	inFlight  int
}

// completions implements heap.Interface, the earliest end first.
type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulate runs calls through a target with a number of slots and a FIFO queue
// of its own. It sends as many as the limit allows and the load brings, and
// multiplies service times by slowdown after a third of the time. It returns
// the mean limit over the last half of the time.
func simulate(l *Limit, slots int, load, slowdown float64, seed uint64) float64 {
	const serviceTime, duration = 0.02, 60.0
	rng := rand.New(rand.NewPCG(seed, 1))
	free := make([]float64, slots)
	var running completions
	var sum, n float64
	for at := 0.0; at < duration; at += rng.ExpFloat64() * serviceTime / (load * float64(slots)) {
		for len(running) > 0 && running[0].at <= at {
			e := heap.Pop(&running).(completion)
			l.Ended(epoch.Add(seconds(e.at)), e.inFlight, len(running)+1, Result{Latency: seconds(e.at - e.began)})
		}
		if at > duration/2 {
			sum, n = sum+float64(l.Slots()), n+1
		}
		if len(running) >= l.Slots() {
			continue
		}
		earliest := 0
		for i := range free {
			if free[i] < free[earliest] {
				earliest = i
			}
		}
		work := serviceTime * (0.3 + 0.7*rng.ExpFloat64())
		if at > duration/3 {
			work *= slowdown
		}
		free[earliest] = max(at, free[earliest]) + work
		heap.Push(&running, completion{free[earliest], at, len(running) + 1})
	}
	return sum / n
}

func TestLimitSettles(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/limits.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			var announced, slots int
			var load, slowdown, low, high float64
			_, err := fmt.Sscan(strings.TrimSpace(string(f.Data)), &announced, &slots, &load, &slowdown, &low, &high)
			qt.Assert(t, err, qt.IsNil)
			for seed := range uint64(3) {
				l := &Limit{}
				l.Announce(epoch, squnit.Slots(announced))
				got := simulate(l, slots, load, slowdown, seed)
				qt.Check(t, got >= low && got <= high, qt.IsTrue, qt.Commentf("seed %d: mean limit %.1f, want %v to %v", seed, got, low, high))
			}
		})
	}
}
