package sqconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqconn"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqanswer"
)

// TestHeads guards against an answer with a broken head that is taken for one, keeps its
// request waiting, or has its connection used again; and against a sound answer that is
// refused or changed.
func TestHeads(t *testing.T) {
	answers, err := sqanswer.Heads()
	qt.Assert(t, err, qt.IsNil)
	for _, a := range answers {
		t.Run(a.Name, func(t *testing.T) {
			conns := make(chan int, 2)
			address := serveRaw(t, func(n int, c net.Conn, br *bufio.Reader) {
				for {
					id, err := readRequestID(br)
					if err != nil {
						return
					}
					conns <- n
					if id != "1" {
						reply(c, id, "whole "+id)
						continue
					}
					_, _ = io.WriteString(c, a.Text)
					if a.Sound && a.EndsWithConn() {
						return
					}
				}
			})
			p := &sqconn.Pool{IsOwnAnswer: hasID}
			start := time.Now()
			resp, text, err := doWhole(t, p, address, get("1"))
			qt.Check(t, time.Since(start) < testTimeout/2, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
			if a.Sound {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
				qt.Check(t, text, qt.Equals, "whole")
				qt.Check(t, resp.Header["X-Name"], qt.DeepEquals, []string{a.Value})
				return
			}
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("got %v with %q", resp, text))
			if e, ok := errors.Into[*sqconn.Error](err); ok {
				qt.Check(t, e.Sent, qt.IsTrue)
			}
			text, err = do(t, p, address, get("2"))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, text, qt.Equals, "whole 2")
			qt.Check(t, []int{<-conns, <-conns}, qt.DeepEquals, []int{1, 2})
		})
	}
}
