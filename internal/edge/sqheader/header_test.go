package sqheader_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
)

// FuzzHeaders tests with arbitrary headers that no credential and none of the product's
// own headers are forwarded, and that an accepted timeout is positive.
func FuzzHeaders(f *testing.F) {
	f.Add("Bearer sq_1", "1500ms", "close, X-Own", "text/plain")
	f.Add("bearer  ", "-1s", "Authorization", "")
	f.Add("Basic YTpi", "1e9h", ",,", "x\x00y")
	f.Fuzz(func(t *testing.T, authorization, timeout, connection, other string) {
		h := http.Header{
			"Authorization": {authorization}, "Sequoia-Timeout": {timeout}, "Sequoia-Call": {"forged"},
			"Connection": {connection}, "Proxy-Authorization": {other}, "Content-Type": {other}, "X-Own": {other},
		}
		key, err := sqheader.BearerKey(h)
		qt.Assert(t, err != nil && key != "", qt.IsFalse)
		if d, err := sqheader.RequestedTimeout(h); err == nil && timeout != "" {
			qt.Assert(t, d > 0, qt.IsTrue)
		}
		for _, x := range sqheader.Forwardable(h) {
			qt.Assert(t, strings.HasPrefix(x.GetName(), "Sequoia-"), qt.IsFalse)
			qt.Assert(t, strings.Contains(x.GetName(), "uthorization"), qt.IsFalse)
		}
	})
}

// TestConnectionHeadersAreDropped tests that headers listed in the Connection header are
// not forwarded (RFC 9110, section 7.6.1).
func TestConnectionHeadersAreDropped(t *testing.T) {
	h := http.Header{"Connection": {"close, x-own"}, "X-Own": {"1"}, "X-Other": {"2"}}
	out := sqheader.Forwardable(h)
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Assert(t, out[0].GetName(), qt.Equals, "X-Other")
}
