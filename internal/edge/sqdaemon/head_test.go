package sqdaemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqanswer"
)

// rawRequest sends a request without a body to a node's callers' address and returns the
// bytes of the answer, up to the end of the connection, and what net/http reads of them.
func rawRequest(n *node, method, path, proto string) (raw []byte, resp *http.Response, body string, err error) {
	c, err := net.Dial("tcp", n.caller.Listener.Addr().String())
	if err != nil {
		return nil, nil, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(c, "%s %s %s\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", method, path, proto, testKey)
	if err != nil {
		return nil, nil, "", err
	}
	if raw, err = io.ReadAll(c); err != nil {
		return raw, nil, "", err
	}
	if resp, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil); err != nil {
		return raw, nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return raw, resp, string(text), err
}

// ofTarget matches the parts of the answers of sqanswer.
var ofTarget = regexp.MustCompile(`(?i)X.?N|\bId\b|whole|Link|Upgrade`)

// TestBrokenHeadIsAnHonestFailure guards against an answer with a broken head that reaches the
// caller as an answer, leaves a part of itself in the failure, or has a non-idempotent request
// run again; and against a sound answer that is refused or changed. The target is beside the
// entry, or beside another daemon.
func TestBrokenHeadIsAnHonestFailure(t *testing.T) {
	answers, err := sqanswer.Heads()
	qt.Assert(t, err, qt.IsNil)
	for _, place := range []int{0, 1} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(fmt.Sprintf("node %d/%s", place, proto), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 2, planAllowing(1, "photos"))
				var runs atomic.Int64
				f.target(place, "photos", func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					var i int
					if _, err := fmt.Sscanf(r.URL.Path, "/%d", &i); err != nil {
						_, _ = io.WriteString(w, "whole")
						return
					}
					c := hijack(t, w)
					defer c.Close()
					if answers[i].Sound {
						_, _ = io.WriteString(c, answers[i].Closing())
						return
					}
					_, _ = io.WriteString(c, answers[i].Text)
					_, _ = io.Copy(io.Discard, c)
				})
				for i, a := range answers {
					for method, maxRuns := range map[string]int64{http.MethodGet: 2, http.MethodPost: 1} {
						comment := qt.Commentf("%s, %s", method, a.Name)
						runs.Store(0)
						raw, resp, body, err := rawRequest(f.nodes[0], method, fmt.Sprintf("/photos/%d", i), proto)
						if err != nil {
							t.Errorf("%s, %s: %v after %q", method, a.Name, err, raw)
							continue
						}
						if a.Sound {
							qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, comment)
							qt.Check(t, body, qt.Equals, "whole", comment)
							qt.Check(t, resp.Header["X-Name"], qt.DeepEquals, []string{a.Value}, comment)
							continue
						}
						qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, comment)
						qt.Check(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "unknown", comment)
						qt.Check(t, runs.Load() <= maxRuns, qt.IsTrue, comment)
						if found := ofTarget.Find(raw); found != nil {
							t.Errorf("%s, %s: %q in %q", method, a.Name, found, raw)
						}
					}
				}
				_, _, body, err := rawRequest(f.nodes[0], http.MethodGet, "/photos/x", proto)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, "whole")
			})
		}
	}
}
