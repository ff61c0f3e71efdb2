package sqdaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
