package sqoperator_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqoperator"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqanswer"
)

// TestBrokenAnswers guards against an answer of a daemon whose head is broken and that an
// operator gets as one.
func TestBrokenAnswers(t *testing.T) {
	answers, err := sqanswer.Heads()
	qt.Assert(t, err, qt.IsNil)
	for _, a := range answers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, a.WithBody("{}"))
			}
		}()
		_, err = (&sqoperator.Client{Address: l.Addr().String(), Key: "k"}).Status(t.Context())
		qt.Check(t, err == nil, qt.Equals, a.Sound, qt.Commentf("%s: %v", a.Name, err))
		_ = l.Close()
	}
}
