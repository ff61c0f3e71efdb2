package sqclaim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

// mirrorEntries bounds the operations in one message of a whole book.
const mirrorEntries = 8

// Run sees to the books that the daemon keeps until ctx ends: it takes over
// copies, fetches what moved, and names backups. Its error is nil.
func (b *Books) Run(ctx context.Context) error {
	b.init()
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.attend(ctx)
		}
	}
}

// attend does what is due for each shard that the daemon keeps.
func (b *Books) attend(ctx context.Context) {
	now := time.Now()
	backups := make(map[sqid.ShardID]sqkeeper.Member)
	var unjoined []sqid.ShardID
	candidates := b.Keepers.Candidates()
	_, epoch := b.Keepers.Centres()
	for id := range sqid.ShardID(len(b.shards)) {
		keeping, ok := b.Keepers.Keeping(id, now)
		if !ok {
			continue
		}
		s := &b.shards[id]
		s.mu.Lock()
		b.adopt(id, keeping, now)
		joined := s.joined == epoch
		doubtful := s.doubtful(keeping.Record)
		s.mu.Unlock()
		if !joined {
			unjoined = append(unjoined, id)
		}
		if m, due := nextBackup(id, keeping, candidates); due && !doubtful {
			backups[id] = m
		}
	}
	if len(unjoined) > 0 {
		b.join(ctx, unjoined)
	}
	if len(backups) > 0 {
		b.setBackups(ctx, backups)
	}
}

// nextBackup returns the daemon that should be a shard's backup, and whether
// that is a change. A member without a name says that there is nobody.
func nextBackup(id sqid.ShardID, k Keeping, candidates []sqkeeper.Member) (sqkeeper.Member, bool) {
	if k.Backup.Daemon != "" && sqkeeper.Roster(candidates).Index(k.Backup) >= 0 {
		return sqkeeper.Member{}, false
	}
	if len(candidates) == 0 {
		return sqkeeper.Member{}, k.Backup.Daemon != ""
	}
	spread := xxhash.Sum64([]byte{byte(id), byte(id >> 8)})
	return candidates[spread%uint64(len(candidates))], true
}

// doubtful reports whether the record may name a backup that this daemon does
// not know of. A newer record settles that: it has the write or excludes it.
func (s *shard) doubtful(record sqid.Epoch) bool {
	if s.doubt != 0 && record > s.doubt {
		s.doubt, s.paused = 0, false
	}
	return s.doubt != 0
}

// setBackups copies whole books to new backups and names them in the record.
// Grants pause from before the copy until the record names the backup.
func (b *Books) setBackups(ctx context.Context, backups map[sqid.ShardID]sqkeeper.Member) {
	records := make(map[sqid.ShardID]sqid.Epoch)
	for id, m := range backups {
		keeping, ok := b.Keepers.Keeping(id, time.Now())
		b.pause(id, true)
		if !ok || m.Daemon != "" && !b.copyWhole(ctx, id, m) {
			b.pause(id, false)
			delete(backups, id)
		}
		records[id] = keeping.Record
	}
	if len(backups) == 0 {
		return
	}
	err := b.Keepers.SetBackups(ctx, backups)
	if err != nil {
		b.Logger.Error(err, "backups are not in the record", "shards", len(backups))
	}
	for id := range backups {
		if errors.Is(err, sqkv.ErrUncertain) {
			b.doubt(id, records[id])
			continue
		}
		b.pause(id, false)
	}
}

func (b *Books) pause(id sqid.ShardID, paused bool) {
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// doubt leaves grants paused until a record newer than the one given is known.
func (b *Books) doubt(id sqid.ShardID, record sqid.Epoch) {
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubt = record
}

// Give sends the books of shards that this daemon has stopped keeping to
// their next keeper.
func (b *Books) Give(ctx context.Context, shards []sqid.ShardID, to sqkeeper.Member) {
	b.init()
	for _, id := range shards {
		b.settle(id)
		if !b.copyWhole(ctx, id, to) {
			b.Logger.Info("book was not handed over", "shard", id, "peer", to.Daemon)
		}
	}
}

// settle makes the book of a shard that was assigned to this daemon so short a
// time ago that it has not been used yet.
func (b *Books) settle(id sqid.ShardID) {
	if k, ok := b.Keepers.Assigned(id); ok {
		s := &b.shards[id]
		s.mu.Lock()
		defer s.mu.Unlock()
		b.adopt(id, k, time.Now())
	}
}

// copyWhole sends the whole book of a shard.
func (b *Books) copyWhole(ctx context.Context, id sqid.ShardID, to sqkeeper.Member) bool {
	for _, req := range b.wholeBook(id) {
		if !b.mirror(ctx, to, req) {
			return false
		}
	}
	return true
}

// wholeBook returns the messages that make a copy of a shard's book.
func (b *Books) wholeBook(id sqid.ShardID) []*sqclaimwire.MirrorRequest {
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book == nil {
		return nil
	}
	req := b.mirrorRequest(id, s.since)
	req.Reset_ = true
	req.CompleteAgeUs, req.CompleteEpoch = completeAge(s.book, now), uint64(s.book.CompleteEpoch)
	parts := []*sqclaimwire.MirrorRequest{req}
	s.book.Each(func(e sqoperation.Record) bool {
		if len(req.Put) >= mirrorEntries {
			req = b.mirrorRequest(id, s.since)
			parts = append(parts, req)
		}
		req.Put = append(req.Put, entryToWire(e, now))
		return true
	})
	req.Whole = true
	return parts
}

// completeAge returns how long ago a book became complete, in microseconds;
// a time to come has a negative age.
func completeAge(book *sqoperation.DedupTable, now time.Time) int64 {
	if book.CompleteSince.IsZero() {
		return alwaysComplete
	}
	return now.Sub(book.CompleteSince).Microseconds()
}

// alwaysComplete is the age of a book that was never incomplete.
const alwaysComplete = -1 << 62
