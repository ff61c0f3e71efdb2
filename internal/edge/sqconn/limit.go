package sqconn

import (
	"io"

	"github.com/go-faster/errors"
)

const (
	// maxHeadBytes bounds the head of an answer, with the informational answers before it.
	maxHeadBytes = 256 << 10
	// maxForeignBytes bounds an answer to another request that is read to its end.
	maxForeignBytes = 4 << 20
	// unlimited is no limit.
	unlimited = -1
)

// errTooLong is returned if a target sends more than an answer may have. Targets in trouble
// send bytes that are no answer until the connection is closed.
var errTooLong = errors.New("answer is too long")

// limitedReader is a reader that fails once left bytes have been read.
type limitedReader struct {
	io.Reader
	left int
}

// Read reads at most the bytes that are left.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left == unlimited {
		return r.Reader.Read(p)
	}
	if r.left == 0 {
		return 0, errTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
