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
	switch {
	case err != nil:
		return nil, err
	case isHTTP10:
		return readHTTP10Head(c, request)
	}
	return readCheckedHead(c, request)
}

func readCheckedHead(c *conn, request *http.Request) (*http.Response, error) {
	answer, err := http.ReadResponse(c.br, request)
	if err != nil {
		return nil, err
	}
	if err := sqheader.CheckHead(answer); err != nil {
		return nil, errors.Wrap(err, "malformed answer")
	}
	return answer, nil
}

// readHTTP10Head reads a head of HTTP/1.0, which has no transfer encodings. net/http removes
// the field from such a head and takes the framing for a part of the body; RFC 9112, section
// 6.1, has such a framing be taken as faulty. To find the field, a copy of the bytes is kept.
func readHTTP10Head(c *conn, request *http.Request) (*http.Response, error) {
	raw := new(bytes.Buffer)
	buffered, _ := c.br.Peek(c.br.Buffered())
	raw.Write(buffered)
	defer func(r io.Reader) { c.in.Reader = r }(c.in.Reader)
	c.in.Reader = io.TeeReader(c.in.Reader, raw)
	answer, err := readCheckedHead(c, request)
	if err == nil && hasTransferEncoding(raw) {
		return nil, errors.New("malformed answer: HTTP/1.0 with a transfer encoding")
	}
	return answer, err
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
// encoding.
func hasTransferEncoding(raw *bytes.Buffer) bool {
	r := textproto.NewReader(bufio.NewReader(raw))
	if _, err := r.ReadLine(); err != nil {
		return false
	}
	h, _ := r.ReadMIMEHeader()
	return len(h["Transfer-Encoding"]) > 0
}
