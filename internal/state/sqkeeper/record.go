// Package sqkeeper agrees on who keeps the shards of a data centre's shared
// state. The keepers record in the platform names a roster of daemons and the
// keeper of each shard; each change of it begins a new epoch.
//
// A keeper spends only on fresh evidence that no newer epoch has begun: within
// a short term it has read the record in the platform, or has heard "no newer
// epoch" from a majority of the record's roster, itself counted. A successor
// waits until so many members of all rosters before its epoch know of a newer
// one that the others are no majority, and then for the term of evidence and
// the longest loan. So the loss of the platform stops no keeper, and a keeper
// that was paused or cut off never spends beside its successor.
package sqkeeper

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

const (
	// ShardCount is the number of shards of a data centre's shared state.
	ShardCount = sqid.ShardCount
	// RosterSize is the largest number of daemons in a roster.
	RosterSize = 5
	// openLimit bounds the earlier rosters that a record carries.
	openLimit = 8

	keyPrefix = "sequoiatack/keepers"
	// KeyPrefix is the prefix of the keys of all records of this package.
	KeyPrefix = keyPrefix
	// SharesKey is the platform's key of the record of shares.
	SharesKey = keyPrefix + ".shares"
)

// Key returns the platform's key of a data centre's keepers record.
func Key(dc sqid.DataCentreID) string {
	return keyPrefix + "/" + string(dc)
}

// Shard returns the shard of a workspace or of an operation's key.
func Shard(name string) sqid.ShardID {
	return sqid.ShardID(xxhash.Sum64String(name) % ShardCount)
}

// Member is one life of a daemon.
type Member struct {
	Daemon      sqid.DaemonID    `json:"daemon"`
	Incarnation sqid.Incarnation `json:"incarnation"`
	PeerAddress string           `json:"peerAddress"`
}

// Is reports whether m and n are the same life of the same daemon.
func (m Member) Is(n Member) bool {
	return m.Daemon == n.Daemon && m.Incarnation == n.Incarnation
}

// Roster is the daemons whose majority can witness an epoch.
type Roster []Member

// Index returns the place of a daemon's life, -1 if it is not in the roster.
func (r Roster) Index(m Member) int {
	return slices.IndexFunc(r, m.Is)
}

// Majority returns the number of members whose word is evidence.
func (r Roster) Majority() int {
	return len(r)/2 + 1
}

// Blocking returns the number of members without which the others are no
// majority.
func (r Roster) Blocking() int {
	return len(r) - r.Majority() + 1
}

// same reports whether both rosters hold the same lives.
func (r Roster) same(s Roster) bool {
	return slices.EqualFunc(r, s, Member.Is)
}

// Holding is the assignment of one shard.
type Holding struct {
	// Keeper is the place of the keeper in the roster.
	Keeper int `json:"keeper"`
	// Since is the epoch at which the keeper was assigned the shard.
	Since sqid.Epoch `json:"since"`
	// HandedSince is the epoch at which the keeper before was assigned the
	// shard, if that one had stopped when the epoch Since began; else 0.
	HandedSince sqid.Epoch `json:"handedSince,omitempty"`
	// Backup is the place in the roster, plus 1, of the member that has a copy
	// of what the keeper holds of the shard; 0 if there is none.
	Backup int `json:"backup,omitempty"`
	// BackedSince is the epoch at which the keeper before was assigned the
	// shard, if that one is lost and this one was its backup; else 0.
	BackedSince sqid.Epoch `json:"backedSince,omitempty"`
}

// Earlier is the roster of the epochs from First to Last, in which there may
// still be a keeper.
type Earlier struct {
	First  sqid.Epoch `json:"first"`
	Last   sqid.Epoch `json:"last"`
	Roster Roster     `json:"roster"`
}

// Record is the keepers record of one data centre.
type Record struct {
	DataCentre sqid.DataCentreID   `json:"dataCentre"`
	Epoch      sqid.Epoch          `json:"epoch"`
	Roster     Roster              `json:"roster"`
	Holdings   [ShardCount]Holding `json:"holdings"`
	Earlier    []Earlier           `json:"earlier,omitempty"`
	Shares     []SharesSet         `json:"shares,omitempty"`
	SharesAt   sqid.Epoch          `json:"sharesAt,omitempty"`
	Settled    SharesEpoch         `json:"settled,omitempty"`
}

// Keeper returns the keeper of a shard.
func (r *Record) Keeper(s sqid.ShardID) Member {
	return r.Roster[r.Holdings[s].Keeper]
}

// Backup returns the backup of a shard; it has no name if there is none.
func (r *Record) Backup(s sqid.ShardID) Member {
	if i := r.Holdings[s].Backup; i > 0 {
		return r.Roster[i-1]
	}
	return Member{}
}

// HeldBy returns the shards that a daemon's life keeps.
func (r *Record) HeldBy(m Member) []sqid.ShardID {
	var held []sqid.ShardID
	for s := range sqid.ShardID(ShardCount) {
		if r.Epoch > 0 && r.Keeper(s).Is(m) {
			held = append(held, s)
		}
	}
	return held
}

// Encode returns the record as JSON.
func (r *Record) Encode() []byte {
	body, err := json.Marshal(r)
	if err != nil {
		panic("sqkeeper: record has no JSON: " + err.Error())
	}
	return body
}

// Decode reads and checks a record.
func Decode(body []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Wrap(err, "keepers record")
	}
	if r.Epoch == 0 || r.DataCentre == "" || len(r.Roster) == 0 {
		return nil, errors.New("keepers record without epoch, data centre or roster")
	}
	for s, h := range r.Holdings {
		if h.Keeper < 0 || h.Keeper >= len(r.Roster) {
			return nil, errors.Errorf("keepers record: shard %d has no keeper", s)
		}
		if h.Backup < 0 || h.Backup > len(r.Roster) {
			return nil, errors.Errorf("keepers record: shard %d has no such backup", s)
		}
	}
	return r, nil
}
