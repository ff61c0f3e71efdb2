package sqdaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

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
			resp, err = client.Get("http://" + l.Addr().String() + "/part")
			qt.Assert(t, err, qt.IsNil)
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("complete with %d bytes", len(got)))
		})
	}
}
