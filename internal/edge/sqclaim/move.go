package sqclaim

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

// moveTimeout bounds one request for records that have moved.
const moveTimeout = 2 * time.Second

// importMoved asks the keepers of the other data centres for the records of keys whose
// home has moved from there to this data centre. A shard for which all of them have
// answered decides on callers' own keys from then on.
func (b *Books) importMoved(ctx context.Context, shards []sqid.ShardID) {
	centres, epoch := b.Keepers.Centres()
	if epoch == 0 {
		return
	}
	missing := make(map[sqid.ShardID]int)
	for _, id := range shards {
		missing[id] = len(centres) - 1
	}
	for _, dc := range centres {
		if dc == b.DataCentre {
			continue
		}
		for address, asked := range b.shardsByKeeper(dc, shards) {
			for _, id := range b.fetchMoved(ctx, address, epoch, asked) {
				missing[id]--
			}
		}
	}
	for id, n := range missing {
		if n == 0 {
			s := &b.shards[id]
			s.mu.Lock()
			s.importedEpoch = epoch
			s.mu.Unlock()
		}
	}
}

// shardsByKeeper groups shards by the address of their keeper in dc.
func (b *Books) shardsByKeeper(dc sqid.DataCentreID, shards []sqid.ShardID) map[string][]sqid.ShardID {
	by := make(map[string][]sqid.ShardID)
	for _, id := range shards {
		if keeper, _, ok := b.Keepers.Home(dc, id); ok {
			by[keeper.PeerAddress] = append(by[keeper.PeerAddress], id)
		}
	}
	return by
}

// fetchMoved imports the records that have moved from one keeper, and returns the
// shards for which its answer was complete.
func (b *Books) fetchMoved(ctx context.Context, address string, epoch uint64, shards []sqid.ShardID) []sqid.ShardID {
	client, err := b.dial(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	req := &sqclaimwire.MoveRequest{DataCentre: string(b.DataCentre), Shares: epoch}
	for _, id := range shards {
		req.Shards = append(req.Shards, uint32(id))
	}
	stream, err := client.Move(ctx, req)
	if err != nil {
		return nil
	}
	var complete []sqid.ShardID
	for {
		answer, err := stream.Recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				b.Logger.V(1).Info("fetch moved operations", "peerAddress", address, "error", err.Error())
			}
			return complete
		}
		b.importRecords(answer)
		if answer.GetLast() {
			complete = append(complete, sqid.ShardID(answer.GetShard()))
		}
	}
}

// importRecords adds moved records to a table. Records that the table already has are
// newer and stay.
func (b *Books) importRecords(answer *sqclaimwire.MoveAnswer) {
	now := time.Now()
	id := sqid.ShardID(answer.GetShard())
	if int(id) >= len(b.shards) {
		return
	}
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return
	}
	for _, e := range answer.GetEntries() {
		if _, ok := s.table.Get(keyFromWire(e.GetKey())); !ok {
			s.table.Put(recordFromWire(e, now))
		}
	}
	if age := answer.GetCompleteAgeUs(); age != alwaysComplete {
		completeSince := now.Add(-time.Duration(age) * time.Microsecond)
		if completeSince.After(s.table.CompleteSince) {
			s.table.CompleteSince = completeSince
		}
	}
}

// sendMoved sends the records whose home has moved to another data centre. It answers
// only for shards that this daemon keeps, and only once the daemon itself knows the set
// of data centres that the request names: from then on it grants nothing under an
// older set.
func (b *Books) sendMoved(req *sqclaimwire.MoveRequest, send func(*sqclaimwire.MoveAnswer) error) error {
	centres, epoch := b.Keepers.Centres()
	if epoch < req.GetShares() {
		return nil
	}
	to := sqid.DataCentreID(req.GetDataCentre())
	for _, n := range req.GetShards() {
		id := sqid.ShardID(n)
		if int(id) >= len(b.shards) {
			continue
		}
		answers, ok := b.movedRecords(id, to, centres)
		if !ok {
			continue
		}
		for _, a := range answers {
			if err := send(a); err != nil {
				return err
			}
		}
	}
	return nil
}

// movedRecords returns the records of one shard whose home is now the data centre `to`,
// and false if this daemon doesn't keep the shard.
func (b *Books) movedRecords(id sqid.ShardID, to sqid.DataCentreID, centres []sqid.DataCentreID) ([]*sqclaimwire.MoveAnswer, bool) {
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	keeping, ok := b.Keepers.Keeping(id, now)
	if !ok {
		return nil, false
	}
	b.startTenure(id, keeping, now)
	answer := &sqclaimwire.MoveAnswer{Shard: uint32(id), CompleteAgeUs: completeAge(s.table, now)}
	answers := []*sqclaimwire.MoveAnswer{answer}
	s.table.Each(func(e sqoperation.Record) bool {
		home, err := sqoperation.HomeOf(e.Key, centres)
		if err != nil || home.Epoch != 0 || home.DataCentre != to {
			return true
		}
		if len(answer.Entries) >= maxMessageRecords {
			answer = &sqclaimwire.MoveAnswer{Shard: uint32(id), CompleteAgeUs: alwaysComplete}
			answers = append(answers, answer)
		}
		answer.Entries = append(answer.Entries, recordToWire(e, now))
		return true
	})
	answer.Last = true
	return answers, true
}
