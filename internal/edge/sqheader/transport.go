package sqheader

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/go-faster/errors"
)

// CheckedTransport returns an error for answers that CheckHead or CheckTrailer rejects.
//
// It can't see a transfer encoding in an answer of HTTP/1.0, which net/http removes. The body
// of such an answer is the framing.
type CheckedTransport struct {
	*http.Transport
}

// RoundTrip sends a request and returns the head of its answer.
func (t CheckedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{Got1xxResponse: checkInformational})
	answer, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(answer); err != nil {
		_ = answer.Body.Close()
		// The connection of an answer without a body is idle already.
		t.CloseIdleConnections()
		return nil, errors.Wrap(err, "malformed answer")
	}
	answer.Body = &checkedBody{ReadCloser: answer.Body, answer: answer}
	return answer, nil
}

func checkInformational(_ int, h textproto.MIMEHeader) error {
	if err := checkNames(http.Header(h)); err != nil {
		return errors.Wrap(err, "malformed informational answer")
	}
	return nil
}

// checkedBody is the body of an answer, whose trailer it checks.
type checkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read reads the next part.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if failure := CheckTrailer(b.answer); failure != nil {
			err = failure
		}
	}
	return n, err
}
