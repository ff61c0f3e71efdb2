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
func (svc *Service) importMoved(ctx context.Context, shards []sqid.ShardID) {
	centres, epoch := svc.Keepers.DataCentres()
	if epoch == 0 {
		return
	}
	missing := make(map[sqid.ShardID]int)
	for _, id := range shards {
		missing[id] = len(centres) - 1
	}
	for _, dc := range centres {
		if dc == svc.DataCentre {
			continue
		}
		for address, asked := range svc.shardsByKeeper(dc, shards) {
			for _, id := range svc.fetchMoved(ctx, address, epoch, asked) {
				missing[id]--
			}
		}
	}
	for id, n := range missing {
		if n == 0 {
			s := &svc.shards[id]
			s.mu.Lock()
			s.importedEpoch = epoch
			s.mu.Unlock()
		}
	}
}

// shardsByKeeper groups shards by the address of their keeper in dc.
func (svc *Service) shardsByKeeper(dc sqid.DataCentreID, shards []sqid.ShardID) map[string][]sqid.ShardID {
	by := make(map[string][]sqid.ShardID)
	for _, id := range shards {
		if keeper, _, ok := svc.Keepers.Home(dc, id); ok {
			by[keeper.PeerAddress] = append(by[keeper.PeerAddress], id)
		}
	}
	return by
}

// fetchMoved imports the records that have moved from one keeper, and returns the
// shards for which its answer was complete.
func (svc *Service) fetchMoved(ctx context.Context, address string, epoch uint64, shards []sqid.ShardID) []sqid.ShardID {
	client, err := svc.dial(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	req := &sqclaimwire.MoveRequest{DataCentre: string(svc.DataCentre), Shares: epoch}
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
				svc.Logger.V(1).Info("fetching moved operations failed", "peerAddress", address, "error", err.Error())
			}
			return complete
		}
		svc.importRecords(answer)
		if answer.GetLast() {
			complete = append(complete, sqid.ShardID(answer.GetShard()))
		}
	}
}

// importRecords adds moved records to a table. Records that the table already has are
// newer and stay.
func (svc *Service) importRecords(answer *sqclaimwire.MoveAnswer) {
	now := time.Now()
	id := sqid.ShardID(answer.GetShard())
	if int(id) >= len(svc.shards) {
		return
	}
	s := &svc.shards[id]
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
func (svc *Service) sendMoved(req *sqclaimwire.MoveRequest, send func(*sqclaimwire.MoveAnswer) error) error {
	centres, epoch := svc.Keepers.DataCentres()
	if epoch < req.GetShares() {
		return nil
	}
	to := sqid.DataCentreID(req.GetDataCentre())
	for _, n := range req.GetShards() {
		id := sqid.ShardID(n)
		if int(id) >= len(svc.shards) {
			continue
		}
		answers, ok := svc.movedRecords(id, to, centres)
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
func (svc *Service) movedRecords(id sqid.ShardID, to sqid.DataCentreID, centres []sqid.DataCentreID) ([]*sqclaimwire.MoveAnswer, bool) {
	now := time.Now()
	s := &svc.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	assignment, ok := svc.Keepers.ActiveAssignment(id, now)
	if !ok {
		return nil, false
	}
	svc.startTenure(id, assignment, now)
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
