package sqconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqconn"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

// serveRaw starts a TCP server that runs serve for each connection, numbered from 1.
func serveRaw(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequestID reads one request and returns its Id header.
func readRequestID(br *bufio.Reader) (string, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id"), err
}

func hasID(answer http.Header, id string) bool { return answer.Get("Id") == id }

func reply(c net.Conn, id, body string, lines ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(lines, ""), body)
}

func get(id string) *sqconn.Request {
	return &sqconn.Request{ID: id, Method: "GET", URI: "/a%2Fb/../c?d", Host: "h.example", Header: http.Header{"Id": {id}}}
}

// do sends a request and returns its answer's body.
func do(t *testing.T, p *sqconn.Pool, address string, r *sqconn.Request) (string, error) {
	t.Helper()
	_, text, err := doWhole(t, p, address, r)
	return text, err
}

// doWhole sends a request, and reads its answer to the end.
func doWhole(t *testing.T, p *sqconn.Pool, address string, r *sqconn.Request) (*http.Response, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	resp, err := p.Do(ctx, address, r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// TestRequestIsUnchanged tests that the request line arrives as given, and that
// connections are reused.
func TestRequestIsUnchanged(t *testing.T) {
	lines := make(chan string, 10)
	address := serveRaw(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			line, err := br.Peek(26)
			if err != nil {
				return
			}
			lines <- fmt.Sprint(n, " ", string(line))
			id, err := readRequestID(br)
			if err != nil {
				return
			}
			reply(c, id, "whole "+id)
		}
	})
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	for _, id := range []string{"1", "2"} {
		text, err := do(t, p, address, get(id))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, text, qt.Equals, "whole "+id)
		qt.Assert(t, <-lines, qt.Equals, "1 GET /a%2Fb/../c?d HTTP/1.1")
	}
}

// TestForeignAnswerIsSkipped has a target answer each request a second time, late:
// no request gets another's answer, and none is lost.
func TestForeignAnswerIsSkipped(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) {
		last := ""
		for {
			id, err := readRequestID(br)
			if err != nil {
				return
			}
			if last != "" {
				reply(c, last, "late "+last)
			}
			reply(c, id, "whole "+id)
			last = id
		}
	})
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	for i := range 20 {
		id := fmt.Sprint(i)
		text, err := do(t, p, address, get(id))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, text, qt.Equals, "whole "+id)
	}
}

// TestStrayBytesEndAConnection tests that an idle connection on which stray bytes
// arrive is not reused.
func TestStrayBytesEndAConnection(t *testing.T) {
	address := serveRaw(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequestID(br)
			if err != nil {
				return
			}
			reply(c, id, fmt.Sprint(n), "Keep-Alive: timeout=30\r\n")
			time.Sleep(10 * time.Millisecond)
			reply(c, id, "stray")
		}
	})
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	for i := 1; i <= 3; i++ {
		text, err := do(t, p, address, get(fmt.Sprint(i)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, text, qt.Equals, fmt.Sprint(i), qt.Commentf("number of the connection"))
		time.Sleep(50 * time.Millisecond)
	}
}

// TestCopyOfEarlierAnswer guards against a request that runs twice, or is told that it has
// not run, since a late copy of the answer to one attempt is taken for the answer to
// another. A target sends each answer again as soon as the same id arrives on the same
// connection, also if other requests have used it meanwhile.
func TestCopyOfEarlierAnswer(t *testing.T) {
	for _, ids := range []string{"a a", "a a a", "a b a", "a b c a b a c", "a b c d e f g h a"} {
		t.Run(ids, func(t *testing.T) {
			address := serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) {
				answered := make(map[string]string)
				for {
					id, err := readRequestID(br)
					if err != nil {
						return
					}
					id, attempt, _ := strings.Cut(id, "-")
					if copied, ok := answered[id]; ok {
						reply(c, id, copied)
					}
					answered[id] = attempt
					reply(c, id, attempt)
				}
			})
			own := func(answer http.Header, id string) bool { return answer.Get("Id") == id }
			p := &sqconn.Pool{IsOwnAnswer: own}
			for i, id := range strings.Fields(ids) {
				r := get(id)
				r.Header.Set("Id", fmt.Sprint(id, "-", i))
				text, err := do(t, p, address, r)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, text, qt.Equals, fmt.Sprint(i), qt.Commentf("attempt of %s", id))
			}
		})
	}
}

// TestConnsAreReused guards against a new connection for each request: connections that
// carried other requests are used again.
func TestConnsAreReused(t *testing.T) {
	conns := make(chan int, 100)
	address := serveRaw(t, func(n int, c net.Conn, br *bufio.Reader) {
		conns <- n
		for {
			id, err := readRequestID(br)
			if err != nil {
				return
			}
			reply(c, id, "whole")
		}
	})
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	for i := range 50 {
		for range 2 {
			_, err := do(t, p, address, get(fmt.Sprint(i)))
			qt.Assert(t, err, qt.IsNil)
		}
	}
	qt.Check(t, len(conns), qt.Equals, 2)
}

// TestIncompleteAnswers tests that every incomplete answer ends in an error, which
// says whether the request was sent.
func TestIncompleteAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":        "",
		"half a head":    "HTTP/1.1 200 OK\r\nId: 1\r\nConte",
		"short body":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"short chunks":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no answer":      "GARBAGE\r\n\r\n",
		"only another's": "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nx",
	} {
		address := serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if _, err := readRequestID(br); err == nil {
				_, _ = io.WriteString(c, answer)
			}
		})
		_, err := do(t, &sqconn.Pool{IsOwnAnswer: hasID}, address, get("1"))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
		if e, ok := errors.Into[*sqconn.Error](err); ok {
			qt.Check(t, e.Sent, qt.IsTrue, qt.Commentf("%s", name))
		}
	}
	_, err := do(t, &sqconn.Pool{}, "127.0.0.1:1", get("1"))
	e, ok := errors.Into[*sqconn.Error](err)
	qt.Assert(t, ok && !e.Sent, qt.IsTrue, qt.Commentf("no listener at the address"))
}

// TestResetWithoutLength has the connection reset during an answer without a length:
// the answer is incomplete.
func TestResetWithoutLength(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := readRequestID(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := do(t, &sqconn.Pool{IsOwnAnswer: hasID}, address, get("1"))
	qt.Assert(t, err, qt.IsNotNil)
}

// TestEarlyAnswer has a target answer before it has received the body: the rest is
// not sent, and the connection is not reused for another request.
func TestEarlyAnswer(t *testing.T) {
	address := serveRaw(t, func(n int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		reply(c, r.Header.Get("Id"), fmt.Sprint(n))
		_, _ = io.Copy(io.Discard, br)
	})
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	body, writer := io.Pipe()
	defer writer.Close()
	r := get("1")
	r.Method, r.Body, r.Length = "POST", body, 1000
	text, err := do(t, p, address, r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, "1")
	text, err = do(t, p, address, get("2"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, "2", qt.Commentf("number of the connection"))
}

// TestCancelEndsTheConnection tests that the target's connection ends with the
// context of its request.
func TestCancelEndsTheConnection(t *testing.T) {
	gone := make(chan struct{})
	began := make(chan struct{})
	address := serveRaw(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, err := readRequestID(br); err != nil {
			return
		}
		close(began)
		_, _ = br.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := (&sqconn.Pool{IsOwnAnswer: hasID}).Do(ctx, address, get("1"))
	qt.Assert(t, err, qt.IsNotNil)
	select {
	case <-gone:
	case <-time.After(testTimeout):
		t.Fatal("the target did not notice the cancellation")
	}
}

// TestKeepAliveOfTheTarget tests that a connection is not reused near the end of the
// idle timeout that the target announces.
func TestKeepAliveOfTheTarget(t *testing.T) {
	address := serveRaw(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequestID(br)
			if err != nil {
				return
			}
			reply(c, id, fmt.Sprint(n), "Keep-Alive: timeout=1\r\n")
		}
	})
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	for i, want := range []string{"1", "1", "2"} {
		text, err := do(t, p, address, get(fmt.Sprint(i)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, text, qt.Equals, want)
		if i == 1 {
			time.Sleep(800 * time.Millisecond)
		}
	}
}

// TestAbandonedRequestIsReset cancels a request that the target has received: the
// connection is reset, so that bytes still in flight don't arrive later.
func TestAbandonedRequestIsReset(t *testing.T) {
	ended := make(chan error, 1)
	arrived := make(chan struct{})
	address := serveRaw(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, err := readRequestID(br); err != nil {
			ended <- err
			return
		}
		close(arrived)
		_, err := br.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := (&sqconn.Pool{IsOwnAnswer: hasID}).Do(ctx, address, get("gone"))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, <-ended, qt.ErrorIs, syscall.ECONNRESET)
}

// TestEndedRequestIsNotSent sends requests whose context has ended while a
// connection is idle, as when a stalled link delivers a call and its cancellation
// together. The target must not receive them, and the connection stays usable.
func TestEndedRequestIsNotSent(t *testing.T) {
	heads := make(chan string, 100)
	address := serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequestID(br)
			if err != nil {
				return
			}
			heads <- id
			reply(c, id, id)
		}
	})
	pool := &sqconn.Pool{IsOwnAnswer: hasID}
	ask := func(ctx context.Context, id string) error {
		resp, err := pool.Do(ctx, address, get(id))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	qt.Assert(t, ask(t.Context(), "first"), qt.IsNil)
	qt.Assert(t, <-heads, qt.Equals, "first")
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := ask(ctx, "gone")
		qt.Assert(t, err, qt.ErrorIs, context.Canceled)
		e, ok := errors.Into[*sqconn.Error](err)
		qt.Assert(t, ok && !e.Sent, qt.IsTrue)
	}
	qt.Assert(t, ask(t.Context(), "last"), qt.IsNil)
	qt.Assert(t, <-heads, qt.Equals, "last")
}

// TestAnswersWithoutEnd has targets that send bytes without end instead of an answer, until
// the connection is closed. The request must fail with no more read than a head may have,
// and its connection must not be used again.
func TestAnswersWithoutEnd(t *testing.T) {
	// maxSent is what a target may get rid of: a head's limit and the sockets' buffers.
	const maxSent = 16 << 20
	line := strings.Repeat("a", 1000)
	for name, c := range map[string]struct{ start, repeated string }{
		"no line":              {"", line},
		"a status line":        {"HTTP/1.1 200 ", line},
		"a header line":        {"HTTP/1.1 200 OK\r\nX: ", line},
		"header lines":         {"HTTP/1.1 200 OK\r\n", "X: " + line + "\r\n"},
		"continuation lines":   {"HTTP/1.1 200 OK\r\nX: a\r\n", " " + line + "\r\n"},
		"informational":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"blank lines":          {"", "\r\n"},
		"a foreign body":       {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 999999999999\r\n\r\n", line},
		"a foreign chunk line": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
		"foreign trailers":     {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := serveRaw(t, func(n int, conn net.Conn, br *bufio.Reader) {
				id, err := readRequestID(br)
				if err != nil || n > 1 {
					reply(conn, id, "whole")
					return
				}
				total, err := io.WriteString(conn, c.start)
				for part := strings.Repeat(c.repeated, 1+64<<10/len(c.repeated)); err == nil && total < 4*maxSent; {
					var m int
					m, err = io.WriteString(conn, part)
					total += m
				}
				sent <- total
			})
			p := &sqconn.Pool{IsOwnAnswer: hasID}
			_, err := do(t, p, address, get("1"))
			qt.Assert(t, err, qt.Not(qt.IsNil))
			total := <-sent
			qt.Check(t, total <= maxSent, qt.IsTrue, qt.Commentf("the target sent %d bytes", total))
			text, err := do(t, p, address, get("2"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, text, qt.Equals, "whole")
		})
	}
}
