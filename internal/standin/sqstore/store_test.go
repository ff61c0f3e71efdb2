package sqstore_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// TestLeaseExpiry checks that a lease expires exactly its ttl after its last
// renewal, that its keys are removed with it, and that a watch receives the
// removal.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := (&sqstore.Store{}).Platform()
		ctx := t.Context()
		lease, err := p.Grant(ctx, 10*time.Second)
		qt.Assert(t, err, qt.IsNil)
		version, err := p.Swap(ctx, "k", 0, []byte("v"), lease)
		qt.Assert(t, err, qt.IsNil)
		// A key that is overwritten without the lease must survive the lease.
		kept, err := p.Swap(ctx, "kept", 0, nil, lease)
		qt.Assert(t, err, qt.IsNil)
		_, err = p.Swap(ctx, "kept", kept, nil, 0)
		qt.Assert(t, err, qt.IsNil)

		time.Sleep(9 * time.Second)
		qt.Assert(t, p.Renew(ctx, lease), qt.IsNil)
		renewed := time.Now()
		err = p.Watch(ctx, "k", version+2, func(e sqkv.Event) error {
			qt.Check(t, e.Record.Key, qt.Equals, "k")
			qt.Check(t, e.Deleted, qt.IsTrue)
			return http.ErrAbortHandler
		})
		qt.Assert(t, err, qt.ErrorIs, http.ErrAbortHandler)
		qt.Assert(t, time.Since(renewed), qt.Equals, 10*time.Second)
		qt.Assert(t, p.Renew(ctx, lease), qt.ErrorIs, sqkv.ErrLeaseEnded)
		left, _, err := p.List(ctx, "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, left, qt.HasLen, 1)
		qt.Assert(t, left[0].Key, qt.Equals, "kept")
	})
}

// TestHistoryLimit checks that changes beyond HistoryLimit are compacted.
func TestHistoryLimit(t *testing.T) {
	p := (&sqstore.Store{HistoryLimit: 3}).Platform()
	version := sqkv.Version(0)
	for range 5 {
		var err error
		version, err = p.Swap(t.Context(), "k", version, nil, 0)
		qt.Assert(t, err, qt.IsNil)
	}
	stop := func(sqkv.Event) error { return http.ErrAbortHandler }
	qt.Assert(t, p.Watch(t.Context(), "k", 1, stop), qt.ErrorIs, sqkv.ErrCompacted)
	qt.Assert(t, p.Watch(t.Context(), "k", 2, stop), qt.ErrorIs, http.ErrAbortHandler)
}

// TestFaultAPI checks the fault API: faults, counts, save, restore and compact.
func TestFaultAPI(t *testing.T) {
	store := &sqstore.Store{}
	call := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		store.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code, strings.TrimSpace(w.Body.String())
	}
	code, _ := call("PUT", "/v1/faults", `{"down":true,"delay":"200ms","loseAnswers":2}`)
	qt.Assert(t, code, qt.Equals, 204)
	_, err := store.Platform().Get(t.Context(), "k")
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUnavailable)
	_, body := call("GET", "/v1/faults", "")
	qt.Assert(t, body, qt.Equals, `{"down":true,"delay":"200ms","loseAnswers":2,"loseWrites":0}`)
	code, _ = call("PUT", "/v1/faults", `{"up":true}`)
	qt.Assert(t, code, qt.Equals, 400)
	_, _ = call("PUT", "/v1/faults", `{}`)

	for _, path := range []string{"/v1/save", "/v1/compact"} {
		code, _ = call("POST", path, "")
		qt.Assert(t, code, qt.Equals, 204)
	}
	_, err = store.Platform().Swap(t.Context(), "k", 0, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	_, _ = call("POST", "/v1/restore", "")
	r, err := store.Platform().Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Version, qt.Equals, sqkv.Version(0))
	_, body = call("GET", "/v1/counts", "")
	qt.Assert(t, body, qt.Equals, `{"get":2,"list":0,"swap":1,"delete":0,"grant":0,"renew":0,"watch":0,"watching":0}`)
}
