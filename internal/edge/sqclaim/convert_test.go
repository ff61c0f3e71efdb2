package sqclaim

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
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

// emptyReplay is a keeper whose replays have no answer.
type emptyReplay struct{ sqclaimwire.ClaimsClient }

// Claim returns a replay.
func (emptyReplay) Claim(context.Context, *sqclaimwire.ClaimRequest, ...grpc.CallOption) (*sqclaimwire.ClaimAnswer, error) {
	return answerWith(sqclaimwire.ClaimAnswer_REPLAY), nil
}

// TestReplayWithoutAnswer guards against an operation that runs again, or a panic, since its
// keeper says that it has run and sends no answer.
func TestReplayWithoutAnswer(t *testing.T) {
	cl := newCluster(1, 2)
	key := sqoperation.Key{Workspace: "grower", Text: "k"}
	home, err := sqoperation.HomeOf(key, cl.agreedSet.DataCentres)
	qt.Assert(t, err, qt.IsNil)
	other := slices.IndexFunc(cl.daemons, func(d *daemon) bool { return !cl.record.Keeper(home.Shard).Is(d.member) })
	s := cl.daemons[other].service
	s.dial = func(string) (sqclaimwire.ClaimsClient, error) { return emptyReplay{}, nil }
	op, replay, refusal := s.Begin(context.Background(), key, 1, time.Now().Add(time.Second))
	qt.Assert(t, op, qt.IsNil)
	qt.Assert(t, replay, qt.IsNil)
	qt.Assert(t, refusal != nil, qt.IsTrue, qt.Commentf("neither granted, nor answered, nor refused"))
	qt.Check(t, refusal.Reason, qt.Equals, sqreason.OperationUnknown)
	qt.Check(t, refusal.Run, qt.Equals, squnit.RunUnknown)
}
