package sqconn

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
)

// Request is a request to a target.
type Request struct {
	// ID identifies the request to the pool's IsOwnAnswer. All attempts of a request have
	// the same; no connection carries two of them.
	ID     string
	Method string
	// URI is the request target, written to the request line as it is.
	URI    string
	Host   string
	Header http.Header
	// Body is read to its end. Length is its size in bytes, -1 if unknown.
	Body   io.Reader
	Length int64
	// BodyBuffered is set for a body that is in memory as a whole. It is sent before the
	// answer is read; other bodies are sent while it is.
	BodyBuffered bool
}

// Error is the error of a request that got no answer.
type Error struct {
	// Sent is set if bytes of the request may have reached the target.
	Sent bool
	Err  error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errForeignAnswer is returned if only answers to other requests were received.
var errForeignAnswer = errors.New("answer belongs to another request")

// pastDeadline is a deadline in the past; it ends all reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Do sends a request to address and returns the head of its answer. The body of the
// answer must be closed. Errors are of type *Error. If ctx ends, so do the request
// and the reading of its answer.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*http.Response, error) {
	c, err := p.take(ctx, address, r.ID)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if err := ctx.Err(); err != nil {
		// Dialling may outlast the context, and the function given to AfterFunc may run
		// only after the request was written.
		p.put(c)
		return nil, &Error{Err: err}
	}
	if p.IsOwnAnswer != nil {
		now := time.Now()
		until, ok := ctx.Deadline()
		if !ok {
			until = now.Add(carriedFor)
		}
		if !c.carried.add(now, r.ID, until) {
			c.unusable = true
		}
	}
	x := &exchange{conn: c, r: r}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	resp, err := x.run()
	if err != nil {
		x.end(false)
		return nil, &Error{Sent: x.sent, Err: err}
	}
	return resp, nil
}

// exchange is one request on a connection, until its answer's body has ended.
type exchange struct {
	conn *conn
	r    *Request
	// stop detaches the connection from the request's context. It reports false if
	// the context has ended.
	stop func() bool
	// sent is set once bytes of the request may have been written.
	sent bool
	once sync.Once

	// written is closed once the writing of the request has ended; writeErr is valid
	// from then on.
	written  chan struct{}
	writeErr error
}

func (x *exchange) run() (*http.Response, error) {
	x.sent = true
	x.written = make(chan struct{})
	if x.r.BodyBuffered || x.r.Length == 0 {
		x.writeErr = x.write()
		close(x.written)
		if x.writeErr != nil {
			return nil, errors.Wrap(x.writeErr, "send request")
		}
	} else {
		go func() {
			defer close(x.written)
			x.writeErr = x.write()
			if x.writeErr != nil && !x.conn.out.hasFailed() {
				// The target doesn't receive the whole body, so it may never answer.
				_ = x.conn.SetReadDeadline(time.Now().Add(lateAnswerTimeout))
			}
		}()
	}
	return x.readAnswer()
}

// lateAnswerTimeout bounds the wait for an answer after the request's body could not be
// read: the target may have answered already. After a failure of the connection no bound is
// needed: what has arrived can be read, and then the end.
const lateAnswerTimeout = 50 * time.Millisecond

func (x *exchange) write() error {
	bw, r := x.conn.bw, x.r
	bw.WriteString(r.Method)
	bw.WriteByte(' ')
	bw.WriteString(r.URI)
	bw.WriteString(" HTTP/1.1\r\nHost: ")
	bw.WriteString(r.Host)
	bw.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			bw.WriteString(name)
			bw.WriteString(": ")
			bw.WriteString(v)
			bw.WriteString("\r\n")
		}
	}
	switch {
	case r.Length < 0:
		bw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		bw.WriteString("Content-Length: ")
		bw.WriteString(strconv.FormatInt(r.Length, 10))
		bw.WriteString("\r\n\r\n")
	default:
		bw.WriteString("\r\n")
	}
	if !r.BodyBuffered && r.Length != 0 {
		// A target may answer before it receives the body.
		if err := bw.Flush(); err != nil {
			return err
		}
	}
	if err := x.writeBody(); err != nil {
		return err
	}
	return bw.Flush()
}

func (x *exchange) writeBody() error {
	bw, r := x.conn.bw, x.r
	switch {
	case r.Length == 0 || r.Body == nil:
		return nil
	case r.Length > 0:
		n, err := io.Copy(flushingWriter{bw}, io.LimitReader(r.Body, r.Length))
		if err == nil && n < r.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(flushingWriter{bw})
	if _, err := io.Copy(chunks, r.Body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := bw.WriteString("\r\n")
	return err
}

// flushingWriter flushes each write. It hides bufio.Writer.ReadFrom, which would
// hold back a part of the body until the buffer is full.
type flushingWriter struct{ bw *bufio.Writer }

// Write writes and flushes: a target may answer after the first bytes of a body.
func (w flushingWriter) Write(b []byte) (int, error) {
	n, err := w.bw.Write(b)
	if err != nil {
		return n, err
	}
	return n, w.bw.Flush()
}

// readAnswer reads answers until it finds the request's own. It skips informational
// answers, and up to maxForeignAnswers that belong to other requests.
func (x *exchange) readAnswer() (*http.Response, error) {
	request := &http.Request{Method: x.r.Method, Header: x.r.Header}
	in := x.conn.in
	in.left = maxHeadBytes
	for foreign := 0; foreign <= maxForeignAnswers; {
		resp, err := readHead(x.conn, request)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if x.conn.pool.IsOwnAnswer == nil || x.conn.pool.IsOwnAnswer(resp.Header, x.r.ID) {
			in.left = unlimited
			x.noteIdleTimeout(resp)
			resp.Body = &body{ReadCloser: resp.Body, x: x, answer: resp, unframed: isUnframed(resp)}
			return resp, nil
		}
		foreign++
		x.conn.unusable = true
		if resp.Close || isUnframed(resp) {
			break
		}
		in.left = maxForeignBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "read another request's answer")
		}
		in.left = maxHeadBytes
	}
	return nil, errForeignAnswer
}

// noteIdleTimeout notes how long the target keeps the connection open while idle.
func (x *exchange) noteIdleTimeout(resp *http.Response) {
	if resp.Close {
		x.conn.unusable = true
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			x.conn.idleTimeout = time.Duration(n) * time.Second
		}
	}
}

// end returns the connection to the pool if the answer is complete and the request
// was written, and closes it otherwise.
func (x *exchange) end(complete bool) {
	x.once.Do(func() {
		c := x.conn
		if !x.stop() {
			c.unusable = true
		}
		select {
		case <-x.written:
			if x.writeErr != nil {
				c.unusable = true
			}
		default:
			// The target answered before it had received the whole body. The rest is
			// not sent.
			c.unusable = true
		}
		if !complete {
			c.unusable, c.resetOnClose = true, true
		}
		c.pool.put(c)
	})
}

// isUnframed reports whether an answer's body ends with its connection. The answer to a HEAD
// request has no body, whatever its head says.
func isUnframed(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && answer.Body != http.NoBody
}

// body is the body of an answer. The exchange ends with it.
type body struct {
	io.ReadCloser
	x        *exchange
	answer   *http.Response
	unframed bool
}

// Read reads the next part.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if failure := b.checkEnd(); failure != nil {
			err = failure
		}
	}
	if err != nil {
		b.x.end(err == io.EOF)
	}
	return n, err
}

// checkEnd returns an error if the answer is not complete although its body has ended. An
// answer that ends with its connection is complete only if the target has closed that.
func (b *body) checkEnd() error {
	if b.unframed {
		if failure := b.x.conn.out.stop(); failure != nil {
			return errors.Wrap(failure, "answer is incomplete")
		}
	}
	return sqheader.CheckTrailer(b.answer)
}

// Close ends the exchange. If the answer was not read to its end, the connection is
// closed.
func (b *body) Close() error {
	b.x.end(false)
	return nil
}
