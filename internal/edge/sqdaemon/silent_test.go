package sqdaemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
)

// plainFront is a front whose requests are reads of one service.
type plainFront struct{ attempts int }

// silentDeadline is what a request of plainFront has.
const silentDeadline = 1500 * time.Millisecond

func (f plainFront) Ask(r *http.Request, now time.Time) (sqentry.Ask, *sqerror.Error) {
	return sqentry.Ask{
		Service: "lookup", Path: r.RequestURI, Importance: squnit.ImportanceNormal,
		Deadline: now.Add(silentDeadline), Credit: 3, Attempts: f.attempts,
	}, nil
}

func (plainFront) Answer(http.Header, *sqentry.Ask, squnit.RunState) {}

func (plainFront) Refuse(w http.ResponseWriter, _ *sqentry.Ask, e *sqerror.Error) {
	w.WriteHeader(e.Reason.Status())
}

// TestSilentTargetIsLeft has two targets lose every tenth answer while they have
// free slots: the request goes to the other one in time. Without the bound on the
// wait, each such request fails at its deadline.
func TestSilentTargetIsLeft(t *testing.T) {
	for attempts, want := range map[int]int{2: 0, 1: 1} {
		f := newFleet(t, 2, allow(3, "lookup"))
		var calls atomic.Int64
		for i := range f.nodes {
			f.target(i, "lookup", func(_ http.ResponseWriter, r *http.Request) {
				if calls.Add(1)%10 == 0 {
					<-r.Context().Done()
				}
			})
		}
		server := httptest.NewServer(f.nodes[0].entry.Handler(plainFront{attempts}))
		defer server.Close()
		failed, late := 0, 0
		for range 60 {
			began := time.Now()
			resp, err := http.Get(server.URL + "/x")
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				failed++
			}
			if time.Since(began) >= silentDeadline {
				late++
			}
			if attempts == 1 && failed > 0 {
				break
			}
		}
		qt.Check(t, failed, qt.Equals, want, qt.Commentf("%d attempts", attempts))
		qt.Check(t, late, qt.Equals, want, qt.Commentf("%d attempts", attempts))
		qt.Check(t, calls.Load() >= 10, qt.IsTrue, qt.Commentf("%d calls", calls.Load()))
	}
}
