package sqdaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
)

// earlyAnswer is a target's answer without a length to an upload that it has not read.
type earlyAnswer struct {
	// place is the node beside which the target runs.
	place int
	head  string
	size  int
	// The connection ends after a time, by a reset, or as it should.
	after time.Duration
	reset bool
	// caller is the version of the request, which is sent in chunks if chunked is set.
	caller  string
	chunked bool
	// readAfter is when the caller begins to read the answer.
	readAfter time.Duration
}

// answer sends the answer and ends the connection.
func (a *earlyAnswer) answer(c *net.TCPConn) {
	defer c.Close()
	_, _ = fmt.Fprintf(c, "%s\r\n\r\n%s", a.head, strings.Repeat("p", a.size))
	time.Sleep(a.after)
	if a.reset {
		_ = c.SetLinger(0)
		return
	}
	// A close would reset the connection, which has unread bytes.
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// upload sends a request of 32 MB and returns the body of the answer, or the error by which
// the caller knows that the answer is cut.
func (a *earlyAnswer) upload(n *node) (status int, body []byte, took time.Duration, err error) {
	const uploadBytes = 32 << 20
	c, err := net.Dial("tcp", n.caller.Listener.Addr().String())
	if err != nil {
		return 0, nil, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	start := time.Now()
	sent := make(chan error, 1)
	go func() {
		framing, w := fmt.Sprintf("Content-Length: %d", uploadBytes), io.Writer(c)
		if a.chunked {
			framing, w = "Transfer-Encoding: chunked", httputil.NewChunkedWriter(c)
		}
		_, _ = fmt.Fprintf(c, "PUT /photos/1 %s\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", a.caller, testKey, framing)
		_, err := io.CopyN(w, zeros{}, uploadBytes)
		sent <- err
	}()
	time.Sleep(a.readAfter)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		status = resp.StatusCode
		body, err = io.ReadAll(resp.Body)
	}
	took = time.Since(start)
	if err == nil && a.caller == "HTTP/1.0" {
		// The sender may have got the error of the reset in place of the reader.
		_ = c.Close()
		if sendErr := <-sent; errors.Is(sendErr, syscall.ECONNRESET) {
			err = sendErr
		}
	}
	return status, body, took, err
}

// TestEarlyAnswers guards against a part of an early answer without a length that looks
// complete although its connection was reset, against a whole one that doesn't, and against a
// long wait for either.
func TestEarlyAnswers(t *testing.T) {
	for _, a := range earlyAnswers() {
		name := fmt.Sprintf("node %d/%.60s/%d bytes/after %v/reset %v/%s/chunked %v", a.place, a.head, a.size, a.after, a.reset, a.caller, a.chunked)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, planAllowing(0, "photos"))
			f.target(a.place, "photos", func(w http.ResponseWriter, _ *http.Request) { a.answer(hijack(t, w)) })
			status, body, took, err := a.upload(f.nodes[0])
			comment := qt.Commentf("status %d, %d bytes, error %v", status, len(body), err)
			qt.Check(t, took < a.after+2*time.Second, qt.IsTrue, qt.Commentf("took %v", took))
			switch {
			case a.reset && err == nil:
				qt.Check(t, status, qt.Equals, http.StatusBadGateway, comment)
			case !a.reset && a.caller == "HTTP/1.1":
				qt.Check(t, err, qt.IsNil, comment)
				qt.Check(t, status, qt.Equals, http.StatusOK, comment)
				qt.Check(t, len(body), qt.Equals, a.size, comment)
			}
		})
	}
}

func earlyAnswers() []*earlyAnswer {
	var all []*earlyAnswer
	for _, place := range []int{0, 1} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\nConnection: close", "HTTP/1.1 200 OK\r\nX-Name: v", "HTTP/1.0 200 OK\r\nX-Name: v"} {
			for _, size := range []int{0, 5, sqgate.FrameBytes - 1, 3 * sqgate.FrameBytes} {
				for _, after := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond} {
					for _, reset := range []bool{true, false} {
						a := earlyAnswer{place: place, head: head, size: size, after: after, reset: reset, caller: "HTTP/1.1"}
						chunked, old := a, a
						chunked.chunked, old.caller = true, "HTTP/1.0"
						all = append(all, &a, &chunked, &old)
					}
				}
			}
		}
	}
	return all
}

// TestEarlyAnswerIsNotReset guards against a sound early answer to an upload in chunks that the
// caller can't read to its end, since its connection is reset while it still sends.
func TestEarlyAnswerIsNotReset(t *testing.T) {
	for _, place := range []int{0, 1} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("node %d/chunked %v", place, chunked), func(t *testing.T) {
				t.Parallel()
				a := earlyAnswer{place: place, head: "HTTP/1.1 200 OK\r\nConnection: close", size: 3 * sqgate.FrameBytes, caller: "HTTP/1.1", chunked: chunked, readAfter: 100 * time.Millisecond}
				f := newFleet(t, 2, planAllowing(0, "photos"))
				f.target(place, "photos", func(w http.ResponseWriter, _ *http.Request) { a.answer(hijack(t, w)) })
				for range 20 {
					status, body, _, err := a.upload(f.nodes[0])
					qt.Check(t, err, qt.IsNil, qt.Commentf("status %d, %d of %d bytes", status, len(body), a.size))
				}
			})
		}
	}
}
