package sqconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqconn"
)

// The ends of a connection on which an answer is cut.
const (
	closed = "closed"
	reset  = "reset"
	silent = "silent"
)

// cutAnswer is an answer that is cut after some bytes.
type cutAnswer struct {
	// before is sent before the answer, and kept is set if the connection has carried another
	// request.
	before string
	kept   bool
	head   string
	bytes  int
	end    string
	// sent is closed once its bytes have been sent.
	sent chan struct{}
}

// serve answers request 0 whole, request 1 with the cut answer, and others whole.
func (a *cutAnswer) serve(c net.Conn, br *bufio.Reader) {
	for {
		id, err := readRequestID(br)
		if err != nil {
			return
		}
		if id != "1" {
			reply(c, id, "whole "+id)
			continue
		}
		_, _ = io.WriteString(c, a.before+a.head[:a.bytes])
		close(a.sent)
		switch a.end {
		case reset:
			_ = c.(*net.TCPConn).SetLinger(0)
		case silent:
			_, _ = br.ReadByte()
		}
		return
	}
}

// TestCutHeads guards against an answer that is cut in its head and taken for a whole one,
// with a short body or none, and against a connection that is used again after that. The
// answer is cut at each byte.
func TestCutHeads(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nX-Name: value\r\n\r\n"
		chunked  = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nX-Name: value\r\n\r\n"
		framed   = "HTTP/1.1 200 OK\r\nId: 1\r\nX-Name: value\r\nContent-Length: 5\r\n\r\n"
	)
	for _, head := range []string{unframed, chunked, framed} {
		for name, before := range map[string]string{
			"alone":                      "",
			"after an informational one": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
			"after another's answer":     "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nother",
		} {
			for _, kept := range []bool{false, true} {
				for _, end := range []string{closed, reset, silent} {
					t.Run(fmt.Sprintf("%d/%s/kept %v/%s", len(head), name, kept, end), func(t *testing.T) {
						t.Parallel()
						// An answer without a length that is closed after its head is whole.
						for n := range len(head) {
							checkCut(t, &cutAnswer{before: before, kept: kept, head: head, bytes: n, end: end, sent: make(chan struct{})})
						}
					})
				}
			}
		}
	}
}

// checkCut checks that a cut answer is an error of a request that was sent, in time, and that
// the next request gets its own answer.
func checkCut(t *testing.T, a *cutAnswer) {
	t.Helper()
	comment := qt.Commentf("cut after %q", a.head[:a.bytes])
	address := serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) { a.serve(c, br) })
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	if a.kept {
		_, err := do(t, p, address, get("0"))
		qt.Assert(t, err, qt.IsNil, comment)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if a.end == silent {
		go func() {
			<-a.sent
			time.Sleep(time.Millisecond)
			cancel()
		}()
	}
	resp, err := p.Do(ctx, address, get("1"))
	if err == nil {
		_ = resp.Body.Close()
	}
	qt.Assert(t, err, qt.IsNotNil, comment)
	e, ok := errors.Into[*sqconn.Error](err)
	qt.Assert(t, ok && e.Sent, qt.IsTrue, comment)
	text, err := do(t, p, address, get("2"))
	qt.Assert(t, err, qt.IsNil, comment)
	qt.Assert(t, text, qt.Equals, "whole 2", comment)
}
