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

// maxMessageRecords bounds the records in one message when a table is copied.
const maxMessageRecords = 8

// Run maintains the tables of the daemon's shards until ctx ends: it takes over
// replicas, imports the records of keys that moved here from other data centres, and
// assigns backups. It always returns nil.
func (svc *Service) Run(ctx context.Context) error {
	svc.init()
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			svc.maintain(ctx)
		}
	}
}

// maintain does the maintenance that is due for each shard that the daemon keeps.
func (svc *Service) maintain(ctx context.Context) {
	now := time.Now()
	backups := make(map[sqid.ShardID]sqkeeper.Member)
	var notImported []sqid.ShardID
	candidates := svc.Keepers.Candidates()
	_, epoch := svc.Keepers.DataCentres()
	for id := range sqid.ShardID(len(svc.shards)) {
		assignment, ok := svc.Keepers.ActiveAssignment(id, now)
		if !ok {
			continue
		}
		s := &svc.shards[id]
		s.mu.Lock()
		svc.startTenure(id, assignment, now)
		imported := s.importedEpoch == epoch
		uncertain := s.hasUncertainWrite(assignment.RecordEpoch)
		s.mu.Unlock()
		if !imported {
			notImported = append(notImported, id)
		}
		if m, due := chooseBackup(id, assignment, candidates); due && !uncertain {
			backups[id] = m
		}
	}
	if len(notImported) > 0 {
		svc.importMoved(ctx, notImported)
	}
	if len(backups) > 0 {
		svc.changeBackups(ctx, backups)
	}
}

// chooseBackup returns the daemon that should become a shard's backup, and whether
// the backup has to change. A member without a name means that no daemon is available.
func chooseBackup(id sqid.ShardID, k Assignment, candidates []sqkeeper.Member) (sqkeeper.Member, bool) {
	if k.Backup.Daemon != "" && sqkeeper.Roster(candidates).Index(k.Backup) >= 0 {
		return sqkeeper.Member{}, false
	}
	if len(candidates) == 0 {
		return sqkeeper.Member{}, k.Backup.Daemon != ""
	}
	hash := xxhash.Sum64([]byte{byte(id), byte(id >> 8)})
	return candidates[hash%uint64(len(candidates))], true
}

// hasUncertainWrite reports whether the stored keepers record may name a backup that
// this daemon doesn't know of. A record newer than the one that the write was meant to
// replace resolves this: either it includes the write or the write can no longer happen.
func (s *shard) hasUncertainWrite(record sqid.Epoch) bool {
	if s.uncertainWrite != 0 && record > s.uncertainWrite {
		s.uncertainWrite, s.paused = 0, false
	}
	return s.uncertainWrite != 0
}

// changeBackups copies whole tables to new backups and writes these into the keepers
// record. Grants are paused from before the copy until the record names the backup.
func (svc *Service) changeBackups(ctx context.Context, backups map[sqid.ShardID]sqkeeper.Member) {
	records := make(map[sqid.ShardID]sqid.Epoch)
	for id, m := range backups {
		assignment, ok := svc.Keepers.ActiveAssignment(id, time.Now())
		svc.setPaused(id, true)
		if !ok || m.Daemon != "" && !svc.copyTable(ctx, id, m) {
			svc.setPaused(id, false)
			delete(backups, id)
		}
		records[id] = assignment.RecordEpoch
	}
	if len(backups) == 0 {
		return
	}
	err := svc.Keepers.SetBackups(ctx, backups)
	if err != nil {
		svc.Logger.Error(err, "writing backups into the keepers record failed", "shards", len(backups))
	}
	for id := range backups {
		if errors.Is(err, sqkv.ErrUncertain) {
			svc.markUncertainWrite(id, records[id])
			continue
		}
		svc.setPaused(id, false)
	}
}

func (svc *Service) setPaused(id sqid.ShardID, paused bool) {
	s := &svc.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// markUncertainWrite keeps grants paused until a keepers record newer than the given
// epoch is known.
func (svc *Service) markUncertainWrite(id sqid.ShardID, record sqid.Epoch) {
	s := &svc.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncertainWrite = record
}

// BeforeHandover hands the tables of shards that this daemon no longer keeps over to
// their next keeper.
func (svc *Service) BeforeHandover(ctx context.Context, shards []sqid.ShardID, to sqkeeper.Member) {
	svc.init()
	for _, id := range shards {
		svc.ensureTable(id)
		if !svc.copyTable(ctx, id, to) {
			svc.Logger.Info("dedup table was not handed over", "shard", id, "peer", to.Daemon)
		}
	}
}

// ensureTable sets the table of a shard that was assigned to this daemon so recently
// that neither a claim nor Run has done so.
func (svc *Service) ensureTable(id sqid.ShardID) {
	if k, ok := svc.Keepers.Assignment(id); ok {
		s := &svc.shards[id]
		s.mu.Lock()
		defer s.mu.Unlock()
		svc.startTenure(id, k, time.Now())
	}
}

// copyTable sends the whole table of a shard, and reports whether all of it arrived.
func (svc *Service) copyTable(ctx context.Context, id sqid.ShardID, to sqkeeper.Member) bool {
	for _, req := range svc.tableMessages(id) {
		if !svc.sendMirror(ctx, to, req) {
			return false
		}
	}
	return true
}

// tableMessages returns the messages from which the receiver builds a replica of a
// shard's table.
func (svc *Service) tableMessages(id sqid.ShardID) []*sqclaimwire.MirrorRequest {
	now := time.Now()
	s := &svc.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil
	}
	req := svc.mirrorRequest(id, s.tenure)
	req.Reset_ = true
	req.CompleteAgeUs, req.CompleteEpoch = completeAge(s.table, now), uint64(s.table.CompleteEpoch)
	messages := []*sqclaimwire.MirrorRequest{req}
	s.table.Each(func(e sqoperation.Record) bool {
		if len(req.Put) >= maxMessageRecords {
			req = svc.mirrorRequest(id, s.tenure)
			messages = append(messages, req)
		}
		req.Put = append(req.Put, recordToWire(e, now))
		return true
	})
	req.Whole = true
	return messages
}

// completeAge returns how long ago a table became complete, in microseconds. It is
// negative if the table becomes complete in the future.
func completeAge(table *sqoperation.DedupTable, now time.Time) int64 {
	if table.CompleteSince.IsZero() {
		return alwaysComplete
	}
	return now.Sub(table.CompleteSince).Microseconds()
}

// alwaysComplete is the age of a table that was never incomplete.
const alwaysComplete = -1 << 62
