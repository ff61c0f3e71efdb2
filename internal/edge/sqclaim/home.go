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

// verdicts maps the book's verdicts to those of the wire.
var verdicts = map[sqoperation.Verdict]sqclaimwire.ClaimAnswer_Verdict{
	sqoperation.Uncertain: sqclaimwire.ClaimAnswer_UNCERTAIN,
	sqoperation.Granted:   sqclaimwire.ClaimAnswer_GRANTED,
	sqoperation.Running:   sqclaimwire.ClaimAnswer_RUNNING,
	sqoperation.Replay:    sqclaimwire.ClaimAnswer_REPLAY,
	sqoperation.Mismatch:  sqclaimwire.ClaimAnswer_MISMATCH,
	sqoperation.Full:      sqclaimwire.ClaimAnswer_FULL,
}

func verdict(v sqclaimwire.ClaimAnswer_Verdict) *sqclaimwire.ClaimAnswer {
	return &sqclaimwire.ClaimAnswer{Verdict: v}
}

// claim decides on a claim as the shard's keeper. A grant is copied to the
// backup before it is given.
func (b *Books) claim(ctx context.Context, req *sqclaimwire.ClaimRequest) *sqclaimwire.ClaimAnswer {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(b.shards) {
		return verdict(sqclaimwire.ClaimAnswer_NOT_HOME)
	}
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	keeping, ok := b.Keepers.Keeping(id, now)
	if ok {
		b.adopt(id, keeping, now)
	}
	if !ok || s.paused || !b.homeOf(s, req) {
		s.mu.Unlock()
		return verdict(sqclaimwire.ClaimAnswer_NOT_HOME)
	}
	c := claimOf(req, now)
	decision := s.book.Claim(now, c)
	entry, _ := s.book.Get(c.Key)
	s.mu.Unlock()

	if decision.Verdict == sqoperation.Granted && !b.copied(ctx, id, keeping, entry, now) {
		// The claim stays: another copy of it may have been granted.
		return verdict(sqclaimwire.ClaimAnswer_NOT_COPIED)
	}
	return &sqclaimwire.ClaimAnswer{Verdict: verdicts[decision.Verdict], Answer: answerToWire(decision.Answer)}
}

// homeOf reports whether this daemon may decide on the claim. A minted key
// names its home. That of a caller's own key is computed from the set of data
// centres; the book must have what came with the newest set.
func (b *Books) homeOf(s *shard, req *sqclaimwire.ClaimRequest) bool {
	if req.GetMinted() != 0 {
		return true
	}
	_, epoch := b.Keepers.Centres()
	return req.GetShares() == epoch && s.joined == epoch
}

// copied copies a granted claim to the backup, and checks that the daemon was
// still keeper when the copy was there.
func (b *Books) copied(ctx context.Context, id sqid.ShardID, k Keeping, e sqoperation.Record, now time.Time) bool {
	if k.Backup.Daemon != "" && !b.unbacked {
		req := b.mirrorRequest(id, k.Since)
		req.Put = []*sqclaimwire.Entry{entryToWire(e, now)}
		if !b.mirror(ctx, k.Backup, req) {
			return false
		}
	}
	after, ok := b.Keepers.Keeping(id, time.Now())
	return ok && after.Since == k.Since && after.Backup.Is(k.Backup)
}

// finish records how a run has ended. Its copy may be late or lost: the
// backup then has the claim as running, which becomes uncertain.
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
	b.adopt(id, keeping, now)
	k := keyOf(req.GetKey())
	outcome := sqoperation.Outcome{Run: squnit.RunState(req.GetRun()), Answer: answerOf(req.GetAnswer())}
	if !s.book.Finish(now, k, sqoperation.Token(req.GetToken()), outcome) {
		s.mu.Unlock()
		return
	}
	entry, kept := s.book.Get(k)
	s.mu.Unlock()
	if keeping.Backup.Daemon == "" {
		return
	}
	m := b.mirrorRequest(id, keeping.Since)
	if kept {
		m.Put = []*sqclaimwire.Entry{entryToWire(entry, now)}
	} else {
		m.Removed = []*sqclaimwire.Entry{{Key: req.GetKey(), Token: req.GetToken()}}
	}
	b.mirror(ctx, keeping.Backup, m)
}

func (b *Books) mirrorRequest(id sqid.ShardID, since sqid.Epoch) *sqclaimwire.MirrorRequest {
	return &sqclaimwire.MirrorRequest{
		Shard: uint32(id), Keeper: string(b.Self.Daemon), Incarnation: uint64(b.Self.Incarnation), Since: uint64(since),
	}
}

// mirror sends a change of a book to a daemon that copies it.
func (b *Books) mirror(ctx context.Context, to sqkeeper.Member, req *sqclaimwire.MirrorRequest) bool {
	client, err := b.dial(to.PeerAddress)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	answer, err := client.Mirror(ctx, req)
	return err == nil && answer.GetKnown()
}

// copyBook takes a change of another keeper's book. A late message of an
// earlier tenure changes nothing.
func (b *Books) copyBook(req *sqclaimwire.MirrorRequest) bool {
	id := sqid.ShardID(req.GetShard())
	if int(id) >= len(b.shards) {
		return false
	}
	since := sqid.Epoch(req.GetSince())
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy != nil && s.copy.since > since || s.since > since {
		return false
	}
	if req.GetReset_() {
		s.copy = &mirror{since: since, book: b.newBook()}
		if age := req.GetCompleteAgeUs(); age != alwaysComplete {
			s.copy.book.CompleteSince = now.Add(-time.Duration(age) * time.Microsecond)
			s.copy.book.CompleteEpoch = sqid.Epoch(req.GetCompleteEpoch())
		}
	}
	if s.copy == nil || s.copy.since != since {
		return false
	}
	for _, e := range req.GetPut() {
		s.copy.book.Put(entryOf(e, now))
	}
	for _, e := range req.GetRemoved() {
		s.copy.book.Remove(keyOf(e.GetKey()), sqoperation.Token(e.GetToken()))
	}
	s.copy.whole = s.copy.whole || req.GetWhole()
	return true
}
