package sqdaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
)

// zeros is a body without end.
type zeros struct{}

// Read fills b.
func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// hijack returns the TCP connection of a target's request.
func hijack(t testing.TB, w http.ResponseWriter) *net.TCPConn {
	c, _, err := w.(http.Hijacker).Hijack()
	qt.Assert(t, err, qt.IsNil)
	return c.(*net.TCPConn)
}

// TestResetAnswerIsNotComplete guards against a target's answer without a length that reaches
// the caller as complete although its connection was reset while the request's body was
// sent. The target is beside the entry, or beside another daemon.
func TestResetAnswerIsNotComplete(t *testing.T) {
	const uploadBytes = 32 << 20
	for _, place := range []int{0, 1} {
		for _, size := range []int{0, 10_000, 3 * sqgate.FrameBytes} {
			for _, proto := range []string{"HTTP/1.1"} {
				t.Run(fmt.Sprintf("node %d/%d bytes/%s", place, size, proto), func(t *testing.T) {
					f := newFleet(t, 2, planAllowing(0, "photos"))
					f.target(place, "photos", func(w http.ResponseWriter, _ *http.Request) {
						c := hijack(t, w)
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", strings.Repeat("p", size))
						time.Sleep(30 * time.Millisecond)
						_ = c.SetLinger(0)
						_ = c.Close()
					})
					for range 5 {
						c, err := net.Dial("tcp", f.nodes[0].caller.Listener.Addr().String())
						qt.Assert(t, err, qt.IsNil)
						go func() {
							_, _ = fmt.Fprintf(c, "PUT /photos/1 %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", proto, testKey, uploadBytes)
							_, _ = io.CopyN(c, zeros{}, uploadBytes)
						}()
						_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
						resp, err := http.ReadResponse(bufio.NewReader(c), nil)
						if err == nil {
							var got []byte
							got, err = io.ReadAll(resp.Body)
							if err == nil {
								qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("complete with %d bytes", len(got)))
								qt.Check(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "unknown")
							}
						}
						_ = c.Close()
					}
				})
			}
		}
	}
}

// TestCutAnswerOfHTTP10 guards against a part of an answer that looks complete to a caller
// of HTTP/1.0, to which the close of its connection is the end of an answer.
func TestCutAnswerOfHTTP10(t *testing.T) {
	for _, place := range []int{0, 1} {
		t.Run(fmt.Sprintf("node %d", place), func(t *testing.T) {
			f := newFleet(t, 2, planAllowing(0, "photos"))
			f.target(place, "photos", func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("p", 3*sqgate.FrameBytes))
				panic(http.ErrAbortHandler)
			})
			c, err := net.Dial("tcp", f.nodes[0].caller.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_, err = fmt.Fprintf(c, "GET /photos/1 HTTP/1.0\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
			qt.Assert(t, err, qt.IsNil)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(c)
			qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET, qt.Commentf("complete with %d bytes", len(got)))
		})
	}
}

// TestPanicAfterPartOfAnswer guards against an answer that looks complete, with other bytes
// at its end, although its handler has panicked in the middle of it.
func TestPanicAfterPartOfAnswer(t *testing.T) {
	s := newServer(recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/part" {
			_, _ = io.WriteString(w, strings.Repeat("p", sqgate.FrameBytes))
		}
		panic("fault")
	}), logr.Discard()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	http2 := new(http.Protocols)
	http2.SetUnencryptedHTTP2(true)
	for name, client := range map[string]*http.Client{
		"HTTP/1.1": {Transport: &http.Transport{}},
		"HTTP/2":   {Transport: &http.Transport{Protocols: http2}},
	} {
		t.Run(name, func(t *testing.T) {
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + l.Addr().String() + "/none")
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusInternalServerError)
			qt.Check(t, resp.Close, qt.Equals, resp.ProtoMajor == 1)
			resp, err = client.Get("http://" + l.Addr().String() + "/part")
			qt.Assert(t, err, qt.IsNil)
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("complete with %d bytes", len(got)))
		})
	}
}

// TestPanicAfterFieldsOfAnswer guards against fields of an answer that stand in the head of the
// failure that is written after a panic.
func TestPanicAfterFieldsOfAnswer(t *testing.T) {
	s := httptest.NewServer(recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h := w.Header()
		h.Set("Signature", "of the target")
		h.Set("Content-Length", "5")
		h.Add("Connection", "keep-alive")
		w.WriteHeader(0)
	}), logr.Discard()))
	defer s.Close()
	resp, err := http.Get(s.URL)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusInternalServerError)
	qt.Check(t, resp.Header.Get("Signature"), qt.Equals, "")
	qt.Check(t, resp.Close, qt.IsTrue)
	qt.Check(t, string(text), qt.Contains, `"status":500`)
}

// TestCutHeadIsAnHonestFailure guards against an answer that is cut in its head, at each
// byte, and reaches the caller as a success, or has a non-idempotent request run again. The
// target is beside the entry, or beside another daemon.
func TestCutHeadIsAnHonestFailure(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	}
	for _, place := range []int{0, 1} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("node %d/reset %v", place, reset), func(t *testing.T) {
				f := newFleet(t, 2, planAllowing(1, "photos"))
				var runs atomic.Int64
				f.target(place, "photos", func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					var head, n int
					if c, _ := fmt.Sscanf(r.URL.Path, "/%d/%d", &head, &n); c < 2 {
						_, _ = io.WriteString(w, "whole")
						return
					}
					c := hijack(t, w)
					_, _ = io.WriteString(c, heads[head][:n])
					if reset {
						_ = c.SetLinger(0)
					}
					_ = c.Close()
				})
				for head := range heads {
					for n := range len(heads[head]) {
						for method, maxRuns := range map[string]int64{http.MethodGet: 2, http.MethodPost: 1} {
							comment := qt.Commentf("%s, cut after %q", method, heads[head][:n])
							runs.Store(0)
							resp, _ := f.do(method, fmt.Sprintf("/photos/%d/%d", head, n), testKey, nil)
							qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, comment)
							qt.Assert(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "unknown", comment)
							qt.Assert(t, runs.Load() <= maxRuns, qt.IsTrue, comment)
						}
					}
				}
				_, text := f.do(http.MethodGet, "/photos/whole", testKey, nil)
				qt.Assert(t, text, qt.Equals, "whole")
			})
		}
	}
}

// TestFailureQuotesNoAnswer guards against a failure whose detail quotes the target's answer.
// The target is beside the entry, or beside another daemon.
func TestFailureQuotesNoAnswer(t *testing.T) {
	for _, place := range []int{0, 1} {
		f := newFleet(t, 2, planAllowing(0, "photos"))
		f.target(place, "photos", func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(t, w)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nfield-without-colon\r\n\r\n")
			_ = c.Close()
		})
		resp, text := f.do(http.MethodGet, "/photos/1", testKey, nil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
		qt.Check(t, text, qt.Not(qt.Contains), "field-without-colon")
	}
}

// cutProxy forwards connections to address, and of what comes back only some bytes; then it
// closes or resets both sides. It reports through cut whether it has done so.
func cutProxy(t testing.TB, address string, bytes int64, reset bool, cut *atomic.Bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			back, err := net.Dial("tcp", address)
			if err != nil {
				_ = c.Close()
				continue
			}
			go func() { _, _ = io.Copy(back, c) }()
			go func() {
				defer back.Close()
				defer c.Close()
				if n, _ := io.CopyN(c, back, bytes); n < bytes {
					return
				}
				cut.Store(true)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestCutPeerAnswerIsAnHonestFailure guards against a peer's answer that is cut, at any byte,
// and reaches the caller as a success with another body, or as not run although it has run,
// or has a non-idempotent request run again.
func TestCutPeerAnswerIsAnHonestFailure(t *testing.T) {
	const step = 7
	for _, reset := range []bool{false, true} {
		for _, size := range []int{5, 2 * sqgate.FrameBytes} {
			t.Run(fmt.Sprintf("reset %v/%d bytes", reset, size), func(t *testing.T) {
				t.Parallel()
				whole := strings.Repeat("p", size)
				isCut, length := true, int64(0)
				for ; isCut; length += step {
					if length > 400 && length < int64(size) {
						length = int64(size)
					}
					isCut = checkCutPeer(t, whole, length, reset)
				}
				qt.Check(t, length > int64(size), qt.IsTrue, qt.Commentf("whole after %d bytes", length))
			})
		}
	}
}

// checkCutPeer sends a request to a target beside a peer whose answers are cut after some
// bytes, and reports whether they were.
func checkCutPeer(t *testing.T, whole string, bytes int64, reset bool) bool {
	f := newFleet(t, 2, planAllowing(1, "photos"))
	var runs atomic.Int64
	f.target(1, "photos", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, whole)
	})
	var cut atomic.Bool
	for _, row := range f.directory.Service("photos") {
		row.PeerAddress = cutProxy(t, row.PeerAddress, bytes, reset, &cut)
		f.directory.Put(row.ID, row)
	}
	r, err := http.NewRequest(http.MethodPost, f.nodes[0].caller.URL+"/photos/1", nil)
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Sequoia-Timeout", "2s")
	comment := qt.Commentf("cut after %d bytes", bytes)
	resp, err := http.DefaultClient.Do(r)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	switch {
	case err != nil:
		qt.Check(t, cut.Load(), qt.IsTrue, comment)
	case resp.StatusCode == http.StatusOK:
		qt.Check(t, string(text) == whole, qt.IsTrue, comment)
	case resp.Header.Get("Sequoia-Run") == "not-run":
		qt.Check(t, runs.Load(), qt.Equals, int64(0), comment)
	default:
		qt.Check(t, resp.Header.Get("Sequoia-Run"), qt.Equals, "unknown", comment)
	}
	qt.Check(t, runs.Load() <= 1, qt.IsTrue, comment)
	return cut.Load()
}

// TestTooLargeBodyEndsConnection guards against the rest of a body that is too large and is
// read as the next request on the caller's connection.
func TestTooLargeBodyEndsConnection(t *testing.T) {
	f := newFleet(t, 2, planAllowing(0, "photos"))
	f.target(0, "photos", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	c, err := net.Dial("tcp", f.nodes[0].caller.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(c, "PUT /photos/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", testKey)
		w := httputil.NewChunkedWriter(c)
		_, _ = io.CopyN(w, zeros{}, int64(sqentry.MaxBodyBytes))
		for err := error(nil); err == nil; {
			_, err = io.WriteString(w, "GET /photos/2 HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}()
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	qt.Assert(t, err, qt.IsNil)
	_, _ = io.Copy(io.Discard, resp.Body)
	qt.Check(t, resp.Close, qt.IsTrue, qt.Commentf("status %d", resp.StatusCode))
	_, err = http.ReadResponse(br, nil)
	qt.Check(t, err, qt.IsNotNil, qt.Commentf("the rest of the body is answered"))
}
