package sqproblem_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
)

// TestWrite writes a refusal with each reason and reads it back.
func TestWrite(t *testing.T) {
	for _, reason := range sqreason.Refusals() {
		e := sqerror.Refuse(sqerror.StepGate, reason, errors.New("cause"))
		e.Peer, e.RetryAfter = "puebla-1", 1200*time.Millisecond
		w := httptest.NewRecorder()
		sqproblem.Write(w, e)

		qt.Assert(t, w.Code, qt.Equals, reason.Status())
		qt.Assert(t, w.Header().Get("Content-Type"), qt.Equals, sqproblem.ContentType)
		qt.Assert(t, w.Header().Get("Sequoia-Run"), qt.Equals, "not-run")
		qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "2")
		var p sqproblem.Problem
		qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil)
		qt.Assert(t, p.Title, qt.Not(qt.Equals), "")
		p.Title = ""
		qt.Assert(t, p, qt.DeepEquals, sqproblem.Problem{
			Type: "urn:sequoiatack:problem:" + string(reason), Status: reason.Status(),
			Reason: reason, Run: "not-run", Step: "gate", Peer: "puebla-1", Detail: "cause",
		})
	}
}

// TestWriteUncertain tests that an error without step and reason has the run state
// "unknown", never "not-run".
func TestWriteUncertain(t *testing.T) {
	w := httptest.NewRecorder()
	sqproblem.Write(w, &sqerror.Error{})
	qt.Assert(t, w.Code, qt.Equals, 500)
	qt.Assert(t, w.Header().Get("Sequoia-Run"), qt.Equals, "unknown")
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "")
}
