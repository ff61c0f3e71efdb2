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

// moveTimeout bounds one question for what has moved.
const moveTimeout = 2 * time.Second

// join asks the keepers of the other data centres for the operations of keys
// that they were home of and that this data centre is home of now. Shards for
// which all have answered decide on callers' own keys from then on.
func (b *Books) join(ctx context.Context, shards []sqid.ShardID) {
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
		for address, asked := range b.keepersOf(dc, shards) {
			for _, id := range b.ask(ctx, address, epoch, asked) {
				missing[id]--
			}
		}
	}
	for id, n := range missing {
		if n == 0 {
			s := &b.shards[id]
			s.mu.Lock()
			s.joined = epoch
			s.mu.Unlock()
		}
	}
}

// keepersOf returns the shards by the address of their keeper in dc.
func (b *Books) keepersOf(dc sqid.DataCentreID, shards []sqid.ShardID) map[string][]sqid.ShardID {
	by := make(map[string][]sqid.ShardID)
	for _, id := range shards {
		if keeper, _, ok := b.Keepers.Home(dc, id); ok {
			by[keeper.PeerAddress] = append(by[keeper.PeerAddress], id)
		}
	}
	return by
}

// ask fetches what has moved from one keeper, and returns the shards for which
// it has answered whole.
func (b *Books) ask(ctx context.Context, address string, epoch uint64, shards []sqid.ShardID) []sqid.ShardID {
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
	var whole []sqid.ShardID
	for {
		answer, err := stream.Recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				b.Logger.V(1).Info("moved operations are not known", "peerAddress", address, "error", err.Error())
			}
			return whole
		}
		b.takeIn(answer)
		if answer.GetLast() {
			whole = append(whole, sqid.ShardID(answer.GetShard()))
		}
	}
}

// takeIn adds moved operations to a book. What the book knows already stays:
// it is newer.
func (b *Books) takeIn(answer *sqclaimwire.MoveAnswer) {
	now := time.Now()
	id := sqid.ShardID(answer.GetShard())
	if int(id) >= len(b.shards) {
		return
	}
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book == nil {
		return
	}
	for _, e := range answer.GetEntries() {
		if _, ok := s.book.Get(keyOf(e.GetKey())); !ok {
			s.book.Put(entryOf(e, now))
		}
	}
	if age := answer.GetCompleteAgeUs(); age != alwaysComplete {
		since := now.Add(-time.Duration(age) * time.Microsecond)
		if since.After(s.book.CompleteSince) {
			s.book.CompleteSince = since
		}
	}
}

// moved sends what has moved to another data centre. It answers only for
// shards that this daemon keeps, and only once it knows the set itself: it
// grants nothing under an older one then.
func (b *Books) moved(req *sqclaimwire.MoveRequest, send func(*sqclaimwire.MoveAnswer) error) error {
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
		answers, ok := b.movedOf(id, to, centres)
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

// movedOf returns the operations of one shard whose home is now in `to`.
func (b *Books) movedOf(id sqid.ShardID, to sqid.DataCentreID, centres []sqid.DataCentreID) ([]*sqclaimwire.MoveAnswer, bool) {
	now := time.Now()
	s := &b.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	keeping, ok := b.Keepers.Keeping(id, now)
	if !ok {
		return nil, false
	}
	b.adopt(id, keeping, now)
	answer := &sqclaimwire.MoveAnswer{Shard: uint32(id), CompleteAgeUs: completeAge(s.book, now)}
	answers := []*sqclaimwire.MoveAnswer{answer}
	s.book.Each(func(e sqoperation.Record) bool {
		home, err := sqoperation.HomeOf(e.Key, centres)
		if err != nil || home.Epoch != 0 || home.DataCentre != to {
			return true
		}
		if len(answer.Entries) >= mirrorEntries {
			answer = &sqclaimwire.MoveAnswer{Shard: uint32(id), CompleteAgeUs: alwaysComplete}
			answers = append(answers, answer)
		}
		answer.Entries = append(answer.Entries, entryToWire(e, now))
		return true
	})
	answer.Last = true
	return answers, true
}
