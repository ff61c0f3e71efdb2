package sqsimtarget

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
)

func newTarget(t *testing.T, b Behaviour) (*Target, *httptest.Server) {
	target := &Target{Config: Config{Name: "t", Service: "s", Address: "-", Slots: 1, Behaviour: b}}
	target.Prepare(time.Now())
	server := httptest.NewServer(target.Handler())
	t.Cleanup(server.Close)
	return target, server
}

func get(t *testing.T, url string, header http.Header) (int, []byte, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	qt.Assert(t, err, qt.IsNil)
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// TestOutcomes checks the answer and the recorded call for each behaviour.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name      string
		behaviour Behaviour
		status    int
		cut       bool
		outcome   Outcome
	}{
		{"healthy", Behaviour{}, http.StatusOK, false, OutcomeDone},
		{"shed", Behaviour{ShedAll: true}, http.StatusServiceUnavailable, false, OutcomeShed},
		{"fail", Behaviour{FailEvery: 1}, http.StatusInternalServerError, false, OutcomeFailed},
		{"truncate", Behaviour{TruncateEvery: 1}, http.StatusOK, true, OutcomeFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target, server := newTarget(t, c.behaviour)
			status, body, err := get(t, server.URL+"/p", http.Header{RequestIDHeader: {"r1"}, "Sequoia-Workspace": {"w"}})
			qt.Assert(t, status, qt.Equals, c.status)
			qt.Assert(t, err != nil, qt.Equals, c.cut)
			server.Close()
			runs := target.callLog.Calls()
			qt.Assert(t, runs, qt.HasLen, 1)
			qt.Check(t, runs[0].Outcome, qt.Equals, c.outcome)
			qt.Check(t, runs[0].Outcome.Ran(), qt.Equals, c.outcome != OutcomeShed)
			qt.Check(t, runs[0].RequestID, qt.Equals, "r1")
			if c.outcome == OutcomeDone {
				var a Answer
				qt.Assert(t, json.Unmarshal(body, &a), qt.IsNil)
				qt.Check(t, a, qt.Equals, Answer{RequestID: "r1", Workspace: "w", Service: "s", Target: "t"})
			}
		})
	}
}

func TestKeySeen(t *testing.T) {
	target, server := newTarget(t, Behaviour{})
	for _, h := range []http.Header{
		{},
		{"Authorization": {"Bearer x"}},
		{"X-Other": {"sq_ABC"}},
		{"X-Other": {"Bearer abc"}},
	} {
		_, _, err := get(t, server.URL, h)
		qt.Assert(t, err, qt.IsNil)
	}
	server.Close()
	var seen []bool
	for _, run := range target.callLog.Calls() {
		seen = append(seen, run.KeySeen)
	}
	qt.Assert(t, seen, qt.DeepEquals, []bool{false, true, true, true})
}

// TestWaitingCallCancelled checks that a call that its caller cancels while it
// waits for a slot is recorded as not run.
func TestWaitingCallCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &Target{Config: Config{
			Name: "t", Service: "s", Slots: 1,
			ServiceTime: ServiceTime{Mean: sqsettings.Span(time.Second)},
		}}
		target.Prepare(time.Now())
		serve := func(ctx context.Context) {
			req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
			target.serveCall(httptest.NewRecorder(), req)
		}
		go serve(t.Context())
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		serve(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		runs := target.callLog.Calls()
		qt.Assert(t, runs[0].Outcome, qt.Equals, OutcomeDone)
		qt.Assert(t, runs[1].Outcome, qt.Equals, OutcomeAbandoned)
		qt.Assert(t, runs[1].Started, qt.Equals, int64(0))
	})
}

func TestColdStart(t *testing.T) {
	b := Behaviour{ColdFor: sqsettings.Span(10 * time.Second), ColdFactor: 5}
	qt.Check(t, b.factor(0), qt.Equals, 5.0)
	qt.Check(t, b.factor(5*time.Second), qt.Equals, 3.0)
	qt.Check(t, b.factor(10*time.Second), qt.Equals, 1.0)
	qt.Check(t, Behaviour{SlowFactor: 4}.factor(0), qt.Equals, 4.0)
}
