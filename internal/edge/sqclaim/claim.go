package sqclaim

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

// verdicts maps the verdicts of a dedup table to those of the wire.
var verdicts = map[sqoperation.Verdict]sqclaimwire.ClaimAnswer_Verdict{
	sqoperation.Uncertain: sqclaimwire.ClaimAnswer_UNCERTAIN,
	sqoperation.Granted:   sqclaimwire.ClaimAnswer_GRANTED,
	sqoperation.Running:   sqclaimwire.ClaimAnswer_RUNNING,
	sqoperation.Replay:    sqclaimwire.ClaimAnswer_REPLAY,
	sqoperation.Mismatch:  sqclaimwire.ClaimAnswer_MISMATCH,
	sqoperation.Full:      sqclaimwire.ClaimAnswer_FULL,
}

func answerWith(v sqclaimwire.ClaimAnswer_Verdict) *sqclaimwire.ClaimAnswer {
	return &sqclaimwire.ClaimAnswer{Verdict: v}
}

// claim decides on a claim as the shard's keeper. It answers with a grant only after
// copying the claim to the backup.
func (svc *Service) claim(ctx context.Context, req *sqclaimwire.ClaimRequest) *sqclaimwire.ClaimAnswer {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(svc.shards) {
		return answerWith(sqclaimwire.ClaimAnswer_NOT_HOME)
	}
	now := time.Now()
	s := &svc.shards[id]
	s.mu.Lock()
	assignment, ok := svc.Keepers.ActiveAssignment(id, now)
	if ok {
		svc.startTenure(id, assignment, now)
	}
	if !ok || s.paused || !svc.mayDecide(s, req) {
		s.mu.Unlock()
		return answerWith(sqclaimwire.ClaimAnswer_NOT_HOME)
	}
	c := claimFromWire(req, now)
	decision := s.table.Claim(now, c)
	record, _ := s.table.Get(c.Key)
	s.mu.Unlock()

	if decision.Verdict == sqoperation.Granted && !svc.confirmGrant(ctx, id, assignment, record, now) {
		// The record stays: the same claim, sent twice, may have been granted.
		return answerWith(sqclaimwire.ClaimAnswer_NOT_COPIED)
	}
	return &sqclaimwire.ClaimAnswer{Verdict: verdicts[decision.Verdict], Answer: answerToWire(decision.Answer)}
}

// mayDecide reports whether this daemon may decide on the claim. A minted key names its
// home. For a caller's own key, the entry and the keeper must both use the current set
// of data centres, and the table must have the records that moved here under that set.
func (svc *Service) mayDecide(s *shard, req *sqclaimwire.ClaimRequest) bool {
	if req.GetMinted() != 0 {
		return true
	}
	_, epoch := svc.Keepers.DataCentres()
	return req.GetShares() == epoch && s.importedEpoch == epoch
}

// confirmGrant copies a granted claim to the backup, and reports whether the daemon
// was still the keeper, with the same backup, once the copy had arrived.
func (svc *Service) confirmGrant(ctx context.Context, id sqid.ShardID, k Assignment, e sqoperation.Record, now time.Time) bool {
	if k.Backup.Daemon != "" && !svc.skipMirroring {
		req := svc.mirrorRequest(id, k.Tenure)
		req.Put = []*sqclaimwire.Entry{recordToWire(e, now)}
		if !svc.sendMirror(ctx, k.Backup, req) {
			return false
		}
	}
	after, ok := svc.Keepers.ActiveAssignment(id, time.Now())
	return ok && after.Tenure == k.Tenure && after.Backup.Is(k.Backup)
}

// finish records the outcome of a run and copies it to the backup. The copy may be late
// or lost: the backup then still has the operation as running, and as uncertain after
// its deadline.
func (svc *Service) finish(ctx context.Context, req *sqclaimwire.FinishRequest) {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(svc.shards) {
		return
	}
	now := time.Now()
	s := &svc.shards[id]
	s.mu.Lock()
	assignment, ok := svc.Keepers.ActiveAssignment(id, now)
	if !ok {
		s.mu.Unlock()
		return
	}
	svc.startTenure(id, assignment, now)
	k := keyFromWire(req.GetKey())
	outcome := sqoperation.Outcome{Run: squnit.RunState(req.GetRun()), Answer: answerFromWire(req.GetAnswer())}
	if !s.table.Finish(now, k, sqoperation.Token(req.GetToken()), outcome) {
		s.mu.Unlock()
		return
	}
	record, kept := s.table.Get(k)
	s.mu.Unlock()
	if assignment.Backup.Daemon == "" {
		return
	}
	m := svc.mirrorRequest(id, assignment.Tenure)
	if kept {
		m.Put = []*sqclaimwire.Entry{recordToWire(record, now)}
	} else {
		m.Removed = []*sqclaimwire.Entry{{Key: req.GetKey(), Token: req.GetToken()}}
	}
	svc.sendMirror(ctx, assignment.Backup, m)
}

func (svc *Service) mirrorRequest(id sqid.ShardID, tenure sqid.Epoch) *sqclaimwire.MirrorRequest {
	return &sqclaimwire.MirrorRequest{
		Shard: uint32(id), Keeper: string(svc.Self.Daemon), Incarnation: uint64(svc.Self.Incarnation), Since: uint64(tenure),
	}
}

// sendMirror sends a change of a table to a daemon that holds its replica, and reports
// whether that daemon applied it.
func (svc *Service) sendMirror(ctx context.Context, to sqkeeper.Member, req *sqclaimwire.MirrorRequest) bool {
	client, err := svc.dial(to.PeerAddress)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	answer, err := client.Mirror(ctx, req)
	return err == nil && answer.GetKnown()
}

// applyMirror applies a change of another keeper's table to the replica, and reports
// whether it did. It ignores late messages of earlier tenures.
func (svc *Service) applyMirror(req *sqclaimwire.MirrorRequest) bool {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(svc.shards) {
		return false
	}
	tenure := sqid.Epoch(req.GetSince())
	now := time.Now()
	s := &svc.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica != nil && s.replica.tenure > tenure || s.tenure > tenure {
		return false
	}
	if req.GetReset_() {
		s.replica = &replica{tenure: tenure, table: svc.newTable()}
		if age := req.GetCompleteAgeUs(); age != alwaysComplete {
			s.replica.table.CompleteSince = now.Add(-time.Duration(age) * time.Microsecond)
			s.replica.table.CompleteEpoch = sqid.Epoch(req.GetCompleteEpoch())
		}
	}
	if s.replica == nil || s.replica.tenure != tenure {
		return false
	}
	for _, e := range req.GetPut() {
		s.replica.table.Put(recordFromWire(e, now))
	}
	for _, e := range req.GetRemoved() {
		s.replica.table.Remove(keyFromWire(e.GetKey()), sqoperation.Token(e.GetToken()))
	}
	s.replica.fullyCopied = s.replica.fullyCopied || req.GetWhole()
	return true
}
