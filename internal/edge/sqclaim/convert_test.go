package sqclaim

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

// TestAnswerOnWire checks that a recorded answer reaches its keeper unchanged, also with bytes
// that are not UTF-8.
func TestAnswerOnWire(t *testing.T) {
	answer := &sqoperation.Answer{
		Status: 201, Body: []byte("\xffbody"),
		Headers: []sqoperation.Header{{Name: "X-Name", Value: "\x80\xff\xc3\xb6"}, {Name: "X-Empty", Value: ""}},
	}
	text, err := proto.Marshal(answerToWire(answer))
	qt.Assert(t, err, qt.IsNil)
	received := new(sqclaimwire.Answer)
	qt.Assert(t, proto.Unmarshal(text, received), qt.IsNil)
	qt.Assert(t, answerFromWire(received), qt.DeepEquals, answer)
}
