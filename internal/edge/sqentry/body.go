package sqentry

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// body is a request's body: its first part is kept, so that a short body can
// be sent again, and the rest is streamed once.
type body struct {
	first []byte
	// whole says that first is all of it.
	whole bool
	rest  io.Reader
	spent bool
}

func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{whole: true}, nil
	}
	size := int64(sqgate.FrameBytes)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	buf := make([]byte, size)
	n, err := sqgate.Fill(r.Body, buf)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	whole := err != nil || int64(n) == r.ContentLength
	return &body{first: buf[:n], whole: whole, rest: r.Body}, nil
}

// again reports whether the body can be sent once more.
func (b *body) again() bool {
	return b.whole || !b.spent
}

// frames sends the rest of a body that is not whole in the first frame.
func (b *body) frames(send func(*sqcallwire.CallFrame) error) error {
	b.spent = true
	buf := make([]byte, sqgate.FrameBytes)
	for {
		n, err := b.rest.Read(buf)
		if n > 0 || err == io.EOF {
			frame := &sqcallwire.CallFrame{Body: buf[:n], Last: err == io.EOF}
			if sendErr := send(frame); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reader returns the body for a target of the same daemon.
func (b *body) reader() io.Reader {
	first := &replay{part: b.first}
	if b.whole {
		return first
	}
	return io.MultiReader(first, spending{b})
}

type replay struct{ part []byte }

// Read reads what is left of the part.
func (p *replay) Read(buf []byte) (int, error) {
	if len(p.part) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, p.part)
	p.part = p.part[n:]
	return n, nil
}

type spending struct{ b *body }

// Read reads the rest of the body and marks it as spent.
func (s spending) Read(buf []byte) (int, error) {
	s.b.spent = true
	return s.b.rest.Read(buf)
}
