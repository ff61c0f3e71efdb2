// Package sqproblem writes refusals and failures as problem details (RFC 9457), in the
// same form for callers and for operators.
package sqproblem

import (
	"cmp"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
)

const (
	// ContentType is the media type of a problem.
	ContentType = "application/problem+json"

	typePrefix         = "urn:sequoiatack:problem:"
	typeBlank          = "about:blank"
	titleClientClosed  = "Client Closed Request"
	statusClientClosed = 499
)

// Problem is the body of a refusal or failure.
type Problem struct {
	Type   string           `json:"type"`
	Title  string           `json:"title"`
	Status int              `json:"status"`
	Reason sqreason.Refusal `json:"reason,omitempty"`
	// Run says whether the request has run: "not-run", "run" or "unknown".
	Run string `json:"run"`
	// Step is the step of the request's path that failed, and Peer the daemon there.
	Step   sqerror.Step  `json:"step,omitempty"`
	Peer   sqid.DaemonID `json:"peer,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Faults lists all faults of a document that the request contained.
	Faults []Fault `json:"faults,omitempty"`
	// RetryAfter is sent as the Retry-After header if it is positive.
	RetryAfter time.Duration `json:"-"`
}

// Fault is one fault in a document.
type Fault struct {
	// Field is the path of the field, and Message describes its fault.
	Field   string `json:"field"`
	Message string `json:"what"`
}

// FromError returns the problem that describes e, with the status of its reason.
func FromError(e *sqerror.Error) Problem {
	p := Problem{
		Type:       typeBlank,
		Status:     e.Reason.Status(),
		Reason:     e.Reason,
		Run:        e.Run.String(),
		Step:       e.Step,
		Peer:       e.Peer,
		RetryAfter: e.RetryAfter,
	}
	if e.Reason != sqreason.NoReason {
		p.Type = typePrefix + string(e.Reason)
	}
	if e.Err != nil {
		p.Detail = e.Err.Error()
	}
	return p
}

// Write answers a request with the problem that describes e.
func Write(w http.ResponseWriter, e *sqerror.Error) {
	FromError(e).Write(w)
}

// Write answers a request with p. A missing type becomes "about:blank", and a missing
// title the text of the status.
func (p Problem) Write(w http.ResponseWriter) {
	p.Type = cmp.Or(p.Type, typeBlank)
	p.Title = cmp.Or(p.Title, title(p.Status))
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set(sqheader.Run, p.Run)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

func title(status int) string {
	if status == statusClientClosed {
		return titleClientClosed
	}
	return http.StatusText(status)
}
