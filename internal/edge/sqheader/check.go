package sqheader

import (
	"net/http"
	"net/textproto"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// CheckHead returns an error if the head of an answer is broken although net/http has read
// it: net/http takes any three characters that are a number for a status, and ignores fields
// whose names contain a blank. Informational answers are allowed, but for 101: no request
// asks for another protocol.
func CheckHead(answer *http.Response) error {
	switch {
	case answer.ProtoMajor != 1:
		return errors.Errorf("version %q is not one of HTTP/1", answer.Proto)
	case answer.StatusCode < http.StatusContinue || answer.StatusCode > maxStatus:
		return errors.Errorf("status %d is out of range", answer.StatusCode)
	case answer.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("protocol is switched without a request for it")
	case !httpguts.ValidHeaderFieldValue(answer.Status):
		return errors.New("reason phrase has a control character")
	}
	return checkNames(answer.Header)
}

// CheckTrailer returns an error if a field of an answer's trailer is broken. The answer's
// body must have been read to its end.
func CheckTrailer(answer *http.Response) error {
	for name, values := range answer.Trailer {
		// Names without values were only announced.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrap(invalidName(name), "trailer")
		}
	}
	return nil
}

// checkNames checks the names of fields. net/http has checked the values.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalidName(name)
		}
	}
	return nil
}

func invalidName(name string) error { return errors.Errorf("field name %.100q is not a token", name) }

// CheckForwarded returns an error if the head of an answer that another daemon has forwarded
// or kept can't be written to a caller as it is.
func CheckForwarded(head *sqcallwire.AnswerHead) error {
	if s := head.GetStatus(); s < http.StatusOK || s > maxStatus {
		return errors.Errorf("status %d is out of range", s)
	}
	for _, x := range head.GetHeaders() {
		switch name := x.GetName(); {
		case !httpguts.ValidHeaderFieldName(name):
			return invalidName(name)
		case !isForwardable(textproto.CanonicalMIMEHeaderKey(name)):
			return errors.Errorf("field %q is not forwarded", name)
		case !httpguts.ValidHeaderFieldValue(string(x.GetValue())):
			return errors.Errorf("value of field %q has a control character", name)
		}
	}
	return nil
}
