// Package sqheader defines the headers of the outside interface, and which headers are
// forwarded between callers and targets. It checks the heads of answers.
package sqheader

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// The headers of the outside interface.
const (
	// Run says on an answer whether the request has run: see squnit.RunState.
	Run = "Sequoia-Run"
	// Timeout is the duration for which a caller waits for its request.
	Timeout = "Sequoia-Timeout"
	// Call is the id of a call. The target sends it with the nested calls that it makes.
	Call = "Sequoia-Call"
	// Workspace is the workspace of a call, sent to its target.
	Workspace = "Sequoia-Workspace"
	// Deadline tells a target the time left until the call's deadline, as a duration.
	Deadline = "Sequoia-Deadline"
	// IdempotencyKey is the caller's key for an operation.
	IdempotencyKey = "Idempotency-Key"
	// NextKey carries a fresh idempotency key for the caller's next operation.
	NextKey = "Sequoia-Next-Key"
	// Replayed is "true" on an answer that was recorded for the same operation earlier.
	Replayed = "Sequoia-Replayed"

	productPrefix = "Sequoia-"
	bearer        = "Bearer "
)

// neverForwarded are the headers that are never forwarded: those that apply to one
// connection (RFC 9110, section 7.6.1) and those that carry credentials.
var neverForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Proxy-Authorization": true, "Proxy-Authenticate": true,
}

// Forwardable returns the headers of h that may be forwarded: none that apply to one
// connection, none with credentials, and none of the product's own.
func Forwardable(h http.Header) []*sqcallwire.Header {
	dropped := connectionHeaders(h)
	out := make([]*sqcallwire.Header, 0, len(h))
	for name, values := range h {
		if dropped[name] || !isForwardable(name) {
			continue
		}
		for _, v := range values {
			out = append(out, &sqcallwire.Header{Name: name, Value: []byte(v)})
		}
	}
	return out
}

// isForwardable reports whether a header with the given canonical name may be forwarded.
func isForwardable(name string) bool {
	return !neverForwarded[name] && !strings.HasPrefix(name, productPrefix)
}

// connectionHeaders returns the headers that the Connection header lists as applying
// to the connection only.
func connectionHeaders(h http.Header) map[string]bool {
	var names map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// Add adds the headers to h.
func Add(h http.Header, headers []*sqcallwire.Header) {
	for _, x := range headers {
		h[x.GetName()] = append(h[x.GetName()], string(x.GetValue()))
	}
}

// BearerKey returns the caller's key from a Bearer authorization, empty if there is none.
// More than one Authorization header, or one of another scheme, is an error.
func BearerKey(h http.Header) (string, error) {
	values := h["Authorization"]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", errors.New("more than one Authorization header")
	}
	v := values[0]
	if len(v) <= len(bearer) || !strings.EqualFold(v[:len(bearer)], bearer) {
		return "", errors.New("authorization header must be \"Bearer KEY\"")
	}
	return strings.TrimSpace(v[len(bearer):]), nil
}

// RequestedTimeout returns the timeout that the caller requests, 0 if none.
func RequestedTimeout(h http.Header) (time.Duration, error) {
	text := h.Get(Timeout)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errors.Errorf("%s must be a positive duration such as \"1500ms\", is %q", Timeout, text)
	}
	return d, nil
}
