package sqconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqconn"
)

// uploadBytes is more than the sockets' buffers hold, so that sending an upload that nobody
// reads goes on until the connection ends.
const uploadBytes = 64 << 20

// upload returns a request with a long body, which is sent in chunks if chunked is set.
func upload(id string, chunked bool) *sqconn.Request {
	r := get(id)
	r.Method, r.Body, r.Length = "POST", io.LimitReader(zeros{}, uploadBytes), uploadBytes
	if chunked {
		r.Length = -1
	}
	return r
}

// zeros is a body without end.
type zeros struct{}

// Read fills b.
func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// serveEarly starts a server that answers each upload without a length, before it has read
// its body, and then ends the connection by end once proceed has a value.
func serveEarly(t *testing.T, body string, proceed <-chan struct{}, end func(c *net.TCPConn)) string {
	return serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := br.ReadString('\n'); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n%s", body)
		<-proceed
		end(c.(*net.TCPConn))
	})
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestResetDuringUpload guards against an answer without a length that looks complete
// although its connection was reset: the write of the request's body got the error of the
// reset, and the read that followed a plain end.
func TestResetDuringUpload(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, sent := range []string{"", "half", strings.Repeat("half", 20_000)} {
			for _, writerFirst := range []bool{true, false} {
				t.Run(fmt.Sprintf("chunked %v/%d bytes/writer first %v", chunked, len(sent), writerFirst), func(t *testing.T) {
					for range 20 {
						proceed := make(chan struct{}, 1)
						address := serveEarly(t, sent, proceed, resetConn)
						ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
						resp, err := (&sqconn.Pool{IsOwnAnswer: hasID}).Do(ctx, address, upload("1", chunked))
						qt.Assert(t, err, qt.IsNil)
						proceed <- struct{}{}
						if writerFirst {
							<-sqconn.Written(resp)
						}
						got, err := io.ReadAll(resp.Body)
						qt.Assert(t, err, qt.IsNotNil, qt.Commentf("complete with %d bytes", len(got)))
						_, err = resp.Body.Read(make([]byte, 1))
						qt.Assert(t, err, qt.Not(qt.Equals), io.EOF, qt.Commentf("read again"))
						_ = resp.Body.Close()
						cancel()
					}
				})
			}
		}
	}
}

// TestEarlyAnswerWithoutLength checks that an answer without a length is whole if it was
// ended by the target, although the sending of the request's body is stuck then or fails
// later, and that its end does not wait for that.
func TestEarlyAnswerWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the connection after the answer.
		end func(c *net.TCPConn, hold <-chan struct{})
		// failed says that the sending has failed before the answer is read.
		failed bool
	}{
		"sending is stuck": {end: func(c *net.TCPConn, hold <-chan struct{}) {
			_ = c.CloseWrite()
			<-hold
		}},
		"the connection is reset after the end": {failed: true, end: func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			resetConn(c)
		}},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/chunked %v", name, chunked), func(t *testing.T) {
				whole := strings.Repeat("whole", 10_000)
				proceed, hold := make(chan struct{}, 1), make(chan struct{})
				defer close(hold)
				address := serveEarly(t, whole, proceed, func(conn *net.TCPConn) { c.end(conn, hold) })
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				resp, err := (&sqconn.Pool{IsOwnAnswer: hasID}).Do(ctx, address, upload("1", chunked))
				qt.Assert(t, err, qt.IsNil)
				proceed <- struct{}{}
				if c.failed {
					<-sqconn.Written(resp)
				}
				start := time.Now()
				got, err := io.ReadAll(resp.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, string(got) == whole, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(whole)))
				qt.Check(t, time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("the end took %v", time.Since(start)))
			})
		}
	}
}

// TestSlowReaderAfterReset guards against a sound answer that is cut because it is read
// slowly and the sending of the request's body has failed meanwhile.
func TestSlowReaderAfterReset(t *testing.T) {
	for _, head := range []string{"Connection: close", "Content-Length: 50000"} {
		t.Run(head, func(t *testing.T) {
			whole := strings.Repeat("whole", 10_000)
			proceed := make(chan struct{}, 1)
			address := serveRaw(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if _, err := br.ReadString('\n'); err != nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\n\r\n%s", head, whole)
				_ = c.(*net.TCPConn).CloseWrite()
				<-proceed
				resetConn(c.(*net.TCPConn))
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			resp, err := (&sqconn.Pool{IsOwnAnswer: hasID}).Do(ctx, address, upload("1", false))
			qt.Assert(t, err, qt.IsNil)
			proceed <- struct{}{}
			<-sqconn.Written(resp)
			time.Sleep(200 * time.Millisecond)
			got, err := io.ReadAll(resp.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(got) == whole, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(whole)))
		})
	}
}

// TestHeadAnswersWithoutLength checks that the connection stays usable after an answer to a
// HEAD request, which has neither a body nor, here, a length.
func TestHeadAnswersWithoutLength(t *testing.T) {
	address := serveRaw(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequestID(br)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConn: %d\r\n\r\n", id, n)
		}
	})
	p := &sqconn.Pool{IsOwnAnswer: hasID}
	for _, id := range []string{"1", "2", "3"} {
		r := get(id)
		r.Method = "HEAD"
		resp, err := p.Do(t.Context(), address, r)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Check(t, resp.Header.Get("Conn"), qt.Equals, "1")
	}
}
