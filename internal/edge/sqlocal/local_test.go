package sqlocal_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqlocal"
)

// TestRequests sends the requests of the data file in order to one server. A section is
// named "METHOD PATH STATUS"; its first line is the body, and the rest is text that the
// answer must contain.
func TestRequests(t *testing.T) {
	text, err := os.ReadFile("testdata/requests.txtar")
	qt.Assert(t, err, qt.IsNil)
	s := &sqlocal.Server{Daemon: "d1", Targets: new(sqgate.Targets), Nested: http.NotFoundHandler()}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for _, f := range txtar.Parse(text).Files {
		field := strings.Fields(f.Name)
		body, want, _ := strings.Cut(string(f.Data), "\n")
		r, err := http.NewRequest(field[0], server.URL+field[1], strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		resp, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		answer, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Check(t, resp.Status[:3], qt.Equals, field[2], qt.Commentf("%s: %s", f.Name, answer))
		qt.Check(t, string(answer), qt.Contains, strings.TrimSpace(want), qt.Commentf("%s", f.Name))
	}
	qt.Assert(t, s.Targets.All(), qt.HasLen, 0)
}

// TestOtherHostsAreRefused sends a request from an address of another host.
func TestOtherHostsAreRefused(t *testing.T) {
	s := &sqlocal.Server{Daemon: "d1", Targets: new(sqgate.Targets), Nested: http.NotFoundHandler()}
	r := httptest.NewRequest(http.MethodPut, "/v1/targets/t1", strings.NewReader(`{"service":"s","address":"127.0.0.1:1","slots":1}`))
	r.RemoteAddr = "192.0.2.7:4000"
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, http.StatusForbidden)
	qt.Assert(t, s.Targets.All(), qt.HasLen, 0)
}
