package sqconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
)

// readHead reads the head of the next answer to request, which may be informational, and
// checks it before any of it is used.
func readHead(c *conn, request *http.Request) (*http.Response, error) {
	isHTTP10, err := beginsWith(c.br, "HTTP/1.0")
	if err != nil {
		return nil, err
	}
	var raw bytes.Buffer
	if isHTTP10 {
		buffered, _ := c.br.Peek(c.br.Buffered())
		raw.Write(buffered)
		defer func(r io.Reader) { c.in.Reader = r }(c.in.Reader)
		c.in.Reader = io.TeeReader(c.in.Reader, &raw)
	}
	answer, err := http.ReadResponse(c.br, request)
	if err != nil {
		return nil, err
	}
	if err := sqheader.CheckHead(answer); err != nil {
		return nil, errors.Wrap(err, "malformed answer")
	}
	if isHTTP10 && hasTransferEncoding(&raw) {
		return nil, errors.New("malformed answer: HTTP/1.0 with a transfer encoding")
	}
	return answer, nil
}

// beginsWith reports whether prefix is what r has next. It waits for no more than it needs.
func beginsWith(r *bufio.Reader, prefix string) (bool, error) {
	for i := range len(prefix) {
		b, err := r.Peek(i + 1)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return false, err
		}
		if b[i] != prefix[i] {
			return false, nil
		}
	}
	return true, nil
}

// hasTransferEncoding reports whether the head at the beginning of raw has a transfer
// encoding. net/http ignores and removes that of HTTP/1.0, so that the framing would become
// a part of the body (RFC 9112, section 6.1).
func hasTransferEncoding(raw *bytes.Buffer) bool {
	r := textproto.NewReader(bufio.NewReader(raw))
	if _, err := r.ReadLine(); err != nil {
		return false
	}
	h, _ := r.ReadMIMEHeader()
	return len(h["Transfer-Encoding"]) > 0
}
