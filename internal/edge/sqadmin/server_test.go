package sqadmin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqadmin"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

const key = "operator's key"

// testServer is one daemon's API over a stand-in of the platform.
type testServer struct {
	store   *sqstore.Store
	ready   error
	handler http.Handler
}

func newTestServer() *testServer {
	a := &testServer{store: &sqstore.Store{}}
	holder := &sqlists.Holder{}
	s := &sqadmin.Server{
		Daemon: "d1", Holder: holder,
		Acceptor:   &sqlists.Acceptor{Store: a.store.Platform(), Holder: holder},
		KeyDigests: []sqid.KeyDigest{sqid.DigestKey("another"), sqid.DigestKey(key)},
		Status:     func() sqadmin.Status { return sqadmin.Status{Daemon: "d1", Revision: holder.Revision()} },
		Ready:      func() error { return a.ready },
		Metrics:    sqmetric.New(),
	}
	a.handler = s.Handler()
	return a
}

func (a *testServer) do(method, path, authorization, match, body string) *http.Response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", authorization)
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	return w.Result()
}

func (a *testServer) put(t *testing.T, match, list, body string) *http.Response {
	t.Helper()
	return a.do("PUT", "/v1/lists/"+list, "Bearer "+key, match, body)
}

func decodeProblem(t *testing.T, r *http.Response) sqproblem.Problem {
	t.Helper()
	qt.Assert(t, r.Header.Get("Content-Type"), qt.Equals, sqproblem.ContentType)
	var p sqproblem.Problem
	qt.Assert(t, json.NewDecoder(r.Body).Decode(&p), qt.IsNil)
	qt.Assert(t, p.Status, qt.Equals, r.StatusCode)
	qt.Assert(t, r.Header.Get("Sequoia-Run"), qt.Equals, p.Run)
	return p
}

// TestRequests runs the requests in a data file. Each line has method, path,
// Authorization, If-Match and body of a request, and the status and a part of the
// expected answer.
func TestRequests(t *testing.T) {
	text, err := os.ReadFile("testdata/requests.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range txtar.Parse(text).Files {
		t.Run(f.Name, func(t *testing.T) {
			a := newTestServer()
			for line := range strings.Lines(string(f.Data)) {
				field := strings.Split(strings.TrimSpace(line), " | ")
				qt.Assert(t, field, qt.HasLen, 7, qt.Commentf(line))
				for i := range field {
					field[i] = strings.TrimSpace(field[i])
					if field[i] == "-" {
						field[i] = ""
					}
				}
				r := a.do(field[0], field[1], field[2], field[3], field[4])
				got := new(strings.Builder)
				qt.Assert(t, r.Header.Write(got), qt.IsNil)
				got.WriteString(r.Status + "\n")
				body := make([]byte, 1<<16)
				n, _ := r.Body.Read(body)
				got.Write(body[:n])
				qt.Check(t, got.String(), qt.Contains, field[5], qt.Commentf(line))
				qt.Check(t, got.String(), qt.Contains, field[6], qt.Commentf(line))
			}
		})
	}
}

// TestPlatformOut checks that lists can be read while the platform is unavailable, that
// a change is then answered as not run, and that lost answers don't fail a change.
func TestPlatformOut(t *testing.T) {
	a := newTestServer()
	plans := `[{"name":"p","rate":1,"burst":1}]`
	qt.Assert(t, a.put(t, `"0"`, "plans", plans).StatusCode, qt.Equals, 200)
	a.store.SetFaults(sqstore.Faults{Down: true})
	r := a.do("GET", "/v1/lists/plans", "Bearer "+key, "", "")
	qt.Assert(t, r.StatusCode, qt.Equals, 200)
	qt.Assert(t, r.Header.Get("ETag"), qt.Equals, `"1"`)
	r = a.put(t, `"1"`, "plans", `[]`)
	qt.Assert(t, r.Header.Get("Retry-After"), qt.Equals, "1")
	p := decodeProblem(t, r)
	qt.Assert(t, p.Status, qt.Equals, 503)
	qt.Assert(t, p.Run, qt.Equals, "not-run")
	a.store.SetFaults(sqstore.Faults{LoseAnswers: 3})
	qt.Assert(t, a.put(t, `"1"`, "plans", `[]`).StatusCode, qt.Equals, 200)
}

// TestLimits checks the answers to a body that is too large, and readiness and health.
func TestLimits(t *testing.T) {
	a := newTestServer()
	large := `["` + strings.Repeat("x", sqlists.MaxListBytes) + `"]`
	p := decodeProblem(t, a.put(t, `"0"`, "plans", large))
	qt.Assert(t, p.Status, qt.Equals, 413)
	qt.Assert(t, p.Run, qt.Equals, "not-run")
	qt.Assert(t, a.do("GET", "/readyz", "", "", "").StatusCode, qt.Equals, 200)
	a.ready = errors.New("stopping")
	p = decodeProblem(t, a.do("GET", "/readyz", "", "", ""))
	qt.Assert(t, p.Status, qt.Equals, 503)
	qt.Assert(t, p.Detail, qt.Equals, "stopping")
	qt.Assert(t, a.do("GET", "/healthz", "", "", "").StatusCode, qt.Equals, 200)
}
