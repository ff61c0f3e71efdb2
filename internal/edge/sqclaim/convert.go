package sqclaim

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

func claimFromWire(req *sqclaimwire.ClaimRequest, now time.Time) sqoperation.Claim {
	return sqoperation.Claim{
		Key:         keyFromWire(req.GetKey()),
		Fingerprint: sqoperation.Fingerprint(req.GetFingerprint()),
		Token:       sqoperation.Token(req.GetToken()),
		Deadline:    now.Add(min(time.Duration(req.GetTimeLeftUs())*time.Microsecond, MaxTimeout)),
		Minted:      sqid.Epoch(req.GetMinted()),
	}
}

func keyFromWire(k *sqclaimwire.Key) sqoperation.Key {
	return sqoperation.Key{Workspace: sqid.WorkspaceID(k.GetWorkspace()), Text: k.GetText()}
}

func keyToWire(k sqoperation.Key) *sqclaimwire.Key {
	return &sqclaimwire.Key{Workspace: string(k.Workspace), Text: k.Text}
}

func recordFromWire(e *sqclaimwire.Entry, now time.Time) sqoperation.Record {
	return sqoperation.Record{
		Key:         keyFromWire(e.GetKey()),
		Fingerprint: sqoperation.Fingerprint(e.GetFingerprint()),
		Token:       sqoperation.Token(e.GetToken()),
		Deadline:    now.Add(time.Duration(e.GetDeadlineInUs()) * time.Microsecond),
		Claimed:     now,
		Running:     e.GetRunning(),
		Answer:      answerFromWire(e.GetAnswer()),
	}
}

func recordToWire(e sqoperation.Record, now time.Time) *sqclaimwire.Entry {
	return &sqclaimwire.Entry{
		Key:          keyToWire(e.Key),
		Fingerprint:  uint64(e.Fingerprint),
		Token:        uint64(e.Token),
		DeadlineInUs: e.Deadline.Sub(now).Microseconds(),
		Running:      e.Running,
		Answer:       answerToWire(e.Answer),
	}
}

func answerFromWire(a *sqclaimwire.Answer) *sqoperation.Answer {
	if a == nil {
		return nil
	}
	out := &sqoperation.Answer{Status: int(a.GetStatus()), Body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		out.Headers = append(out.Headers, sqoperation.Header{Name: h.GetName(), Value: string(h.GetValue())})
	}
	return out
}

func answerToWire(a *sqoperation.Answer) *sqclaimwire.Answer {
	if a == nil {
		return nil
	}
	out := &sqclaimwire.Answer{Status: uint32(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		out.Headers = append(out.Headers, &sqclaimwire.Header{Name: h.Name, Value: []byte(h.Value)})
	}
	return out
}
