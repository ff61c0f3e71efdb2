// Package sqheader has the headers of the outside interface, and the rules by
// which headers pass between callers and targets.
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
	Run            = "Sequoia-Run"
	Timeout        = "Sequoia-Timeout"
	Call           = "Sequoia-Call"
	Workspace      = "Sequoia-Workspace"
	Deadline       = "Sequoia-Deadline"
	IdempotencyKey = "Idempotency-Key"
	// NextKey carries a fresh idempotency key for the caller's next operation.
	NextKey = "Sequoia-Next-Key"
	// Replayed is "true" on an answer that an operation gave earlier.
	Replayed = "Sequoia-Replayed"

	ownPrefix = "Sequoia-"
	bearer    = "Bearer "
)

// held are the headers that never pass: those of one connection (RFC 9110,
// section 7.6.1) and those that carry keys.
var held = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Proxy-Authorization": true, "Proxy-Authenticate": true,
}

// Outward returns the headers of h that pass on: none of the connection's own,
// none with keys, none of the system's.
func Outward(h http.Header) []*sqcallwire.Header {
	dropped := named(h)
	out := make([]*sqcallwire.Header, 0, len(h))
	for name, values := range h {
		if held[name] || dropped[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, v := range values {
			out = append(out, &sqcallwire.Header{Name: name, Value: v})
		}
	}
	return out
}

// named returns the headers that the Connection header makes the connection's.
func named(h http.Header) map[string]bool {
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

// Set adds the headers to h.
func Set(h http.Header, headers []*sqcallwire.Header) {
	for _, x := range headers {
		h[x.GetName()] = append(h[x.GetName()], x.GetValue())
	}
}

// Key returns the key of a request, empty if it has none. More than one
// Authorization header, or one of another form, is an error.
func Key(h http.Header) (string, error) {
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

// TimeoutOf returns the caller's timeout, 0 if it asks for none.
func TimeoutOf(h http.Header) (time.Duration, error) {
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
