package sqconn

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
)

// readHead reads the head of the next answer to request, which may be informational, and
// checks it before any of it is used.
func readHead(c *conn, request *http.Request) (*http.Response, error) {
	answer, err := http.ReadResponse(c.br, request)
	if err != nil {
		return nil, err
	}
	if err := sqheader.CheckHead(answer); err != nil {
		return nil, errors.Wrap(err, "malformed answer")
	}
	return answer, nil
}
