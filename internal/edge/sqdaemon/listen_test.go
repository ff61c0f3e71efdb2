package sqdaemon

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// TestHeaderTooLarge sends a larger header than the server accepts.
func TestHeaderTooLarge(t *testing.T) {
	e, err := listen("callerAddress", "127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("handler was reached")
	}))
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = e.serve() }()
	defer e.shutdown(t.Context(), logr.Discard())
	r, err := http.NewRequest(http.MethodGet, "http://"+e.listener.Addr().String()+"/calendar/x", nil)
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("X-Large", strings.Repeat("x", 2*maxHeaderBytes))
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}
