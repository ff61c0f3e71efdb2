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
func (b *Books) claim(ctx context.Context, req *sqclaimwire.ClaimRequest) *sqclaimwire.ClaimAnswer {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(b.shards) {
		return answerWith(sqclaimwire.ClaimAnswer_NOT_HOME)
	}
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	keeping, ok := b.Keepers.Keeping(id, now)
	if ok {
		b.startTenure(id, keeping, now)
	}
	if !ok || s.paused || !b.mayDecide(s, req) {
		s.mu.Unlock()
		return answerWith(sqclaimwire.ClaimAnswer_NOT_HOME)
	}
	c := claimFromWire(req, now)
	decision := s.table.Claim(now, c)
	record, _ := s.table.Get(c.Key)
	s.mu.Unlock()

	if decision.Verdict == sqoperation.Granted && !b.confirmGrant(ctx, id, keeping, record, now) {
		// The record stays: the same claim, sent twice, may have been granted.
		return answerWith(sqclaimwire.ClaimAnswer_NOT_COPIED)
	}
	return &sqclaimwire.ClaimAnswer{Verdict: verdicts[decision.Verdict], Answer: answerToWire(decision.Answer)}
}

// mayDecide reports whether this daemon may decide on the claim. A minted key names its
// home. For a caller's own key, the entry and the keeper must both use the current set
// of data centres, and the table must have the records that moved here under that set.
func (b *Books) mayDecide(s *shard, req *sqclaimwire.ClaimRequest) bool {
	if req.GetMinted() != 0 {
		return true
	}
	_, epoch := b.Keepers.Centres()
	return req.GetShares() == epoch && s.importedEpoch == epoch
}

// confirmGrant copies a granted claim to the backup, and reports whether the daemon
// was still the keeper, with the same backup, once the copy had arrived.
func (b *Books) confirmGrant(ctx context.Context, id sqid.ShardID, k Keeping, e sqoperation.Record, now time.Time) bool {
	if k.Backup.Daemon != "" && !b.skipMirroring {
		req := b.mirrorRequest(id, k.Since)
		req.Put = []*sqclaimwire.Entry{recordToWire(e, now)}
		if !b.sendMirror(ctx, k.Backup, req) {
			return false
		}
	}
	after, ok := b.Keepers.Keeping(id, time.Now())
	return ok && after.Since == k.Since && after.Backup.Is(k.Backup)
}

// finish records the outcome of a run and copies it to the backup. The copy may be late
// or lost: the backup then still has the operation as running, and as uncertain after
// its deadline.
func (b *Books) finish(ctx context.Context, req *sqclaimwire.FinishRequest) {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(b.shards) {
		return
	}
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	keeping, ok := b.Keepers.Keeping(id, now)
	if !ok {
		s.mu.Unlock()
		return
	}
	b.startTenure(id, keeping, now)
	k := keyFromWire(req.GetKey())
	outcome := sqoperation.Outcome{Run: squnit.RunState(req.GetRun()), Answer: answerFromWire(req.GetAnswer())}
	if !s.table.Finish(now, k, sqoperation.Token(req.GetToken()), outcome) {
		s.mu.Unlock()
		return
	}
	record, kept := s.table.Get(k)
	s.mu.Unlock()
	if keeping.Backup.Daemon == "" {
		return
	}
	m := b.mirrorRequest(id, keeping.Since)
	if kept {
		m.Put = []*sqclaimwire.Entry{recordToWire(record, now)}
	} else {
		m.Removed = []*sqclaimwire.Entry{{Key: req.GetKey(), Token: req.GetToken()}}
	}
	b.sendMirror(ctx, keeping.Backup, m)
}

func (b *Books) mirrorRequest(id sqid.ShardID, tenure sqid.Epoch) *sqclaimwire.MirrorRequest {
	return &sqclaimwire.MirrorRequest{
		Shard: uint32(id), Keeper: string(b.Self.Daemon), Incarnation: uint64(b.Self.Incarnation), Since: uint64(tenure),
	}
}

// sendMirror sends a change of a table to a daemon that holds its replica, and reports
// whether that daemon applied it.
func (b *Books) sendMirror(ctx context.Context, to sqkeeper.Member, req *sqclaimwire.MirrorRequest) bool {
	client, err := b.dial(to.PeerAddress)
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
func (b *Books) applyMirror(req *sqclaimwire.MirrorRequest) bool {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(b.shards) {
		return false
	}
	tenure := sqid.Epoch(req.GetSince())
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica != nil && s.replica.tenure > tenure || s.tenure > tenure {
		return false
	}
	if req.GetReset_() {
		s.replica = &replica{tenure: tenure, table: b.newTable()}
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
