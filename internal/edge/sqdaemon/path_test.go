package sqdaemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqlog"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqlocal"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqroute"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshed"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqstop"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

const testKey = "sq_test"

// fixedLists provides lists that a test sets.
type fixedLists struct{ index *sqlists.Index }

func (f *fixedLists) Index() *sqlists.Index { return f.index }
func (f *fixedLists) Stale(time.Time) bool  { return false }

// unlimitedCharger admits all requests.
type unlimitedCharger struct{}

func (unlimitedCharger) Charge(context.Context, sqid.WorkspaceID) (bool, time.Duration, error) {
	return true, 0, nil
}

func (unlimitedCharger) Return(sqid.WorkspaceID) {}

// noOperations mints no keys, as if no keeper were known.
type noOperations struct{ sqentry.Operations }

func (noOperations) Mint(time.Time) string { return "" }

// node is the data path of one daemon on loopback.
type node struct {
	name    sqid.DaemonID
	peer    string
	caller  *httptest.Server
	local   *httptest.Server
	targets *sqgate.Targets
	gate    *sqgate.Gate
	router  *sqentry.Router
	entry   *sqentry.Entry
}

// fleet is a few nodes that know each other's targets.
type fleet struct {
	t         testing.TB
	lists     *fixedLists
	directory *sqtarget.Directory
	nodes     []*node
	metric    *sqmetric.Set
}

func newFleet(t testing.TB, n int, plans ...sqlists.Plan) *fleet {
	f := &fleet{t: t, directory: new(sqtarget.Directory), metric: sqmetric.New()}
	f.lists = &fixedLists{index: sqlists.NewIndex(sqlists.Lists{
		Plans:      plans,
		Workspaces: []sqlists.Workspace{{Name: "grower", Plan: plans[0].Name, KeyDigests: []sqid.KeyDigest{sqid.DigestKey(testKey)}}},
	})}
	for i := range n {
		f.nodes = append(f.nodes, f.newNode(sqid.DaemonID(string(rune('a'+i)))))
	}
	return f
}

func (f *fleet) newNode(name sqid.DaemonID) *node {
	calls, stop := new(sqcall.Table), new(sqstop.Stop)
	n := &node{name: name, targets: new(sqgate.Targets), router: newRouter(f.directory)}
	n.gate = &sqgate.Gate{Daemon: name, Targets: n.targets, Calls: calls, Metrics: f.metric, Logger: logr.Discard(), Conns: sqgate.NewConns(), Stop: stop}
	pool := new(sqpeer.Pool)
	entry := &sqentry.Entry{
		Daemon: name, Lists: f.lists, Router: n.router, Gate: n.gate, Conns: pool, Calls: calls,
		Charger: unlimitedCharger{}, Operations: noOperations{}, Metrics: f.metric, Decisions: &sqlog.DecisionLog{Logger: logr.Discard()}, ReportUnreachable: func(sqid.DaemonID) {}, Stop: stop,
	}
	n.entry = entry
	server := sqpeer.NewServer(logr.Discard())
	(&sqgate.Server{Gate: n.gate}).Register(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f.t, err, qt.IsNil)
	go func() { _ = server.Serve(l) }()
	n.peer = l.Addr().String()
	n.caller = httptest.NewServer(recoverPanics(entry.Callers(), logr.Discard()))
	local := &sqlocal.Server{Daemon: name, Targets: n.targets, Nested: entry.Nested()}
	n.local = httptest.NewServer(local.Handler())
	f.t.Cleanup(func() {
		n.caller.CloseClientConnections()
		server.Stop()
		pool.Close()
		n.caller.Close()
		n.local.Close()
	})
	return n
}

func newRouter(directory *sqtarget.Directory) *sqentry.Router {
	return &sqentry.Router{Targets: directory, Balancer: new(sqroute.Router), Shed: new(sqshed.Table)}
}

// target starts a target of a service beside node i.
func (f *fleet) target(i int, service sqid.ServiceID, h http.HandlerFunc) {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	n := f.nodes[i]
	id := sqid.TargetID(string(service) + "-" + string(n.name))
	n.targets.Announce(sqgate.LocalTarget{ID: id, Service: service, Address: s.Listener.Addr().String(), Slots: 50}, time.Now())
	key := sqtarget.ID{Daemon: n.name, Target: id}
	f.directory.Put(key, sqtarget.Row{ID: key, Service: service, Slots: 50, PeerAddress: n.peer})
}

func (f *fleet) do(method, path, key string, body io.Reader) (*http.Response, string) {
	r, err := http.NewRequest(method, f.nodes[0].caller.URL+path, body)
	qt.Assert(f.t, err, qt.IsNil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(f.t, err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return resp, string(text)
}

// planAllowing returns a plan that may use some services, with retries for each.
func planAllowing(retries squnit.Credit, services ...sqid.ServiceID) sqlists.Plan {
	p := sqlists.Plan{Name: "small", Rate: 100, Burst: 10, Weight: 1}
	for _, s := range services {
		p.Uses = append(p.Uses, sqlists.Use{Service: s, Retries: retries})
	}
	return p
}

func TestCallPassesThroughTwoDaemonsWithNestedCall(t *testing.T) {
	f := newFleet(t, 2, planAllowing(0, "calendar"))
	var seen http.Header
	f.target(1, "calendar", func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		inner, err := http.NewRequest(http.MethodGet, f.nodes[1].local.URL+"/call/directory/members?q=1", nil)
		qt.Check(t, err, qt.IsNil)
		inner.Header.Set("Sequoia-Call", r.Header.Get("Sequoia-Call"))
		resp, err := http.DefaultClient.Do(inner)
		qt.Check(t, err, qt.IsNil)
		defer resp.Body.Close()
		w.Header().Set("Sequoia-Secret", "no")
		_, _ = io.Copy(w, resp.Body)
	})
	f.target(0, "directory", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Sequoia-Workspace")+" "+r.URL.RequestURI())
	})
	resp, text := f.do(http.MethodGet, "/calendar/today", testKey, nil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, text, qt.Equals, "grower /members?q=1")
	qt.Assert(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "run")
	qt.Assert(t, resp.Header.Get("Sequoia-Secret"), qt.Equals, "")
	qt.Assert(t, seen.Get("Authorization"), qt.Equals, "")
}

func TestRefusals(t *testing.T) {
	f := newFleet(t, 1, planAllowing(0, "calendar", "ghost"))
	f.target(0, "calendar", func(http.ResponseWriter, *http.Request) {})
	f.target(0, "payments", func(http.ResponseWriter, *http.Request) {})
	for _, c := range []struct {
		path, key, reason string
		status            int
	}{
		{"/calendar/x", "", "key-missing", 401},
		{"/calendar/x", "sq_other", "key-unknown", 401},
		{"/payments/x", testKey, "route-not-allowed", 403},
		{"/ghost/x", testKey, "service-unknown", 404},
		{"/", testKey, "service-unknown", 404},
	} {
		resp, text := f.do(http.MethodGet, c.path, c.key, nil)
		qt.Check(t, resp.StatusCode, qt.Equals, c.status, qt.Commentf("%s", c.path))
		qt.Check(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "not-run")
		qt.Check(t, text, qt.Contains, `"reason":"`+c.reason+`"`)
	}
	r, _ := http.NewRequest(http.MethodGet, f.nodes[0].local.URL+"/call/calendar/x", nil)
	r.Header.Set("Sequoia-Call", "forged")
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, 401)
}

func TestLargeBodiesStream(t *testing.T) {
	f := newFleet(t, 2, planAllowing(0, "photos"))
	f.target(1, "photos", func(w http.ResponseWriter, r *http.Request) {
		photo, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		_, _ = w.Write(photo)
	})
	for _, size := range []int{0, 1, sqgate.FrameBytes - 1, sqgate.FrameBytes, sqgate.FrameBytes + 1, 64 << 20} {
		for _, known := range []bool{true, false} {
			var body io.Reader = strings.NewReader(strings.Repeat("p", size))
			if !known {
				body = io.MultiReader(body)
			}
			resp, text := f.do(http.MethodPut, "/photos/1", testKey, body)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Assert(t, len(text), qt.Equals, size)
		}
	}
}

// TestTruncatedAnswerIsDetected has a target send less than its Content-Length. The
// caller must not take the answer as complete.
func TestTruncatedAnswerIsDetected(t *testing.T) {
	for _, size := range []int{10, 3 * sqgate.FrameBytes} {
		for _, place := range []int{0, 1} {
			f := newFleet(t, 2, planAllowing(0, "photos"))
			f.target(place, "photos", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "1000000")
				_, _ = io.WriteString(w, strings.Repeat("p", size))
				panic(http.ErrAbortHandler)
			})
			r, _ := http.NewRequest(http.MethodGet, f.nodes[0].caller.URL+"/photos/1", nil)
			r.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				continue
			}
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil {
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
				qt.Assert(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "unknown")
			}
		}
	}
}

// TestNonIdempotentRunsOnce has all targets abort the connection after a request has
// run: a retry would be a second run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for method, want := range map[string]int{http.MethodPost: 1, http.MethodGet: 3} {
		f := newFleet(t, 3, planAllowing(2, "payments"))
		runs := make(chan struct{}, 10)
		for i := range f.nodes {
			f.target(i, "payments", func(http.ResponseWriter, *http.Request) {
				runs <- struct{}{}
				panic(http.ErrAbortHandler)
			})
		}
		resp, _ := f.do(method, "/payments/fee", testKey, nil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
		qt.Check(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "unknown")
		qt.Check(t, len(runs), qt.Equals, want, qt.Commentf("%s", method))
	}
}

// TestNotRunCoversAllAttempts has a read's first attempt run and fail, and the next ones
// refused without a run. The answer must not say that the request has not run.
func TestNotRunCoversAllAttempts(t *testing.T) {
	f := newFleet(t, 3, planAllowing(3, "photos"))
	var runs atomic.Int64
	for i := range f.nodes {
		f.target(i, "photos", func(w http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Sequoia-Run", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	resp, text := f.do(http.MethodGet, "/photos/1", testKey, nil)
	qt.Assert(t, runs.Load() > 1, qt.IsTrue)
	qt.Assert(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "unknown", qt.Commentf("%s", text))
}

// TestDrainingTargetGetsNothingNew drains a target that the entry still sends calls to.
func TestDrainingTargetGetsNothingNew(t *testing.T) {
	f := newFleet(t, 2, planAllowing(0, "calendar"))
	f.target(0, "calendar", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a") })
	f.target(1, "calendar", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b") })
	qt.Assert(t, f.nodes[1].targets.Drain("calendar-b"), qt.IsTrue)
	for range 20 {
		resp, text := f.do(http.MethodPost, "/calendar/book", testKey, strings.NewReader("x"))
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Assert(t, text, qt.Equals, "a")
	}
}

// TestBadInput sends invalid requests. None may reach a target.
func TestBadInput(t *testing.T) {
	f := newFleet(t, 1, planAllowing(0, "calendar"))
	f.target(0, "calendar", func(http.ResponseWriter, *http.Request) { t.Error("target was reached") })
	for name, c := range map[string]struct {
		header http.Header
		length int64
		status int
	}{
		"negative timeout":   {http.Header{"Sequoia-Timeout": {"-1s"}}, 0, 400},
		"malformed timeout":  {http.Header{"Sequoia-Timeout": {"soon"}}, 0, 400},
		"two keys":           {http.Header{"Authorization": {"Bearer a", "Bearer b"}}, 0, 401},
		"another scheme":     {http.Header{"Authorization": {"Basic YTpi"}}, 0, 401},
		"a body too large":   {nil, int64(sqentry.MaxBodyBytes) + 1, 413},
		"a key far too long": {http.Header{"Idempotency-Key": {strings.Repeat("k", sqentry.MaxKeyBytes+1)}}, 0, 400},
	} {
		r := httptest.NewRequest(http.MethodPost, "/calendar/x", http.NoBody)
		r.Header.Set("Authorization", "Bearer "+testKey)
		for k, v := range c.header {
			r.Header[k] = v
		}
		r.ContentLength = c.length
		w := httptest.NewRecorder()
		f.nodes[0].caller.Config.Handler.ServeHTTP(w, r)
		qt.Check(t, w.Code, qt.Equals, c.status, qt.Commentf("%s: %s", name, w.Body))
		qt.Check(t, w.Header().Get("Sequoia-Run"), qt.Equals, "not-run", qt.Commentf("%s", name))
	}
}
