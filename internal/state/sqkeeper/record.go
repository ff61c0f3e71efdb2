// Package sqkeeper decides which daemon is the keeper of each shard of a data
// centre's shared state. A shard has the ledgers of the rates of the workspaces
// whose names hash to it (package sqlimit), and the dedup records of the
// operations whose keys hash to it or, if a daemon minted them, name it (package
// sqoperation). An operation is a non-idempotent request with an idempotency key.
// The shard's keeper alone may spend it, that is, make decisions that use up what
// the shard has.
//
// The keepers record names a roster of daemons and the keeper of each shard. It
// is in the platform, the key-value store that the daemons share (package sqkv).
// Each change to the record is a compare-and-swap and starts a new epoch. A read
// counts as evidence, so it must return the newest record that the platform had
// when the read was sent, or a later one.
//
// A keeper spends only on fresh evidence that no newer epoch has begun: within
// the last few seconds it has read the record in the platform, or a majority of
// the roster, itself included, has answered that it knows no newer epoch. A
// successor first waits until every roster before its epoch is closed, which
// means that so many of its members know of a newer epoch that the others are
// no majority. It then waits for the lifetime of evidence and of the longest
// loan. So keepers go on while the platform is down, and a keeper that was
// paused or partitioned never spends at the same time as its successor.
//
// A loan moves part of a workspace's rate, with its tokens, from the keeper in
// one data centre to the keeper in another for a limited term. While it runs, a
// successor of the lender that does not know of it would spend the same part as
// the borrower.
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
	// RosterSize is the number of daemons to which Next fills a roster.
	// HandOver and WithBackups may add more.
	RosterSize = 5
	// maxEarlierRosters bounds the earlier rosters that a record carries.
	maxEarlierRosters = 8

	keyPrefix = "sequoiatack/keepers"
	// KeyPrefix is the prefix of the keys of all records of this package, by which
	// package sqledger lists them. It is the same as keyPrefix.
	KeyPrefix = keyPrefix
	// SharesKey is the platform's key of the record of shares. It has the
	// KeyPrefix, but is never the Key of a data centre.
	SharesKey = keyPrefix + ".shares"
)

// Key returns the platform's key of a data centre's keepers record.
func Key(dc sqid.DataCentreID) string {
	return keyPrefix + "/" + string(dc)
}

// Shard returns the shard to which a workspace's name hashes. Package sqoperation
// has the shard of an operation's key.
func Shard(name string) sqid.ShardID {
	return sqid.ShardID(xxhash.Sum64String(name) % ShardCount)
}

// Member is one incarnation of a daemon, that is, one run of its process.
type Member struct {
	Daemon      sqid.DaemonID    `json:"daemon"`
	Incarnation sqid.Incarnation `json:"incarnation"`
	PeerAddress string           `json:"peerAddress"`
}

// Is reports whether m and n are the same incarnation of the same daemon.
func (m Member) Is(n Member) bool {
	return m.Daemon == n.Daemon && m.Incarnation == n.Incarnation
}

// Roster is the set of daemons of which a majority can confirm that an epoch
// is current.
type Roster []Member

// Index returns the index of m in the roster, -1 if it is not there.
func (r Roster) Index(m Member) int {
	return slices.IndexFunc(r, m.Is)
}

// Majority returns the number of members that make a majority.
func (r Roster) Majority() int {
	return len(r)/2 + 1
}

// Blocking returns the smallest number of members without which the others are
// no majority.
func (r Roster) Blocking() int {
	return len(r) - r.Majority() + 1
}

// sameMembers reports whether both rosters have the same members in the same
// order.
func (r Roster) sameMembers(s Roster) bool {
	return slices.EqualFunc(r, s, Member.Is)
}

// Assignment names the keeper and the backup of one shard.
type Assignment struct {
	// Keeper is the keeper's index in the roster.
	Keeper int `json:"keeper"`
	// Since is the epoch at which the keeper was assigned the shard.
	Since sqid.Epoch `json:"since"`
	// HandedSince is the epoch at which the previous keeper was assigned the
	// shard, if that keeper had stopped spending before the epoch Since began;
	// otherwise 0.
	HandedSince sqid.Epoch `json:"handedSince,omitempty"`
	// Backup is the roster index, plus 1, of the member that has a copy of the
	// keeper's state of the shard; 0 if there is none.
	Backup int `json:"backup,omitempty"`
	// BackedSince is the epoch at which the previous keeper was assigned the
	// shard, if that keeper was removed from the roster without handing the shard
	// over and this one was its backup; otherwise 0.
	BackedSince sqid.Epoch `json:"backedSince,omitempty"`
}

// EarlierRoster is the roster of the epochs First to Last. A record lists it until it
// is closed, since a keeper of those epochs may still be spending.
type EarlierRoster struct {
	First  sqid.Epoch `json:"first"`
	Last   sqid.Epoch `json:"last"`
	Roster Roster     `json:"roster"`
}

// Record is the keepers record of one data centre. It is immutable: changes
// return a new record. Its JSON is stored in the platform, where the assignments
// are named holdings.
type Record struct {
	DataCentre  sqid.DataCentreID      `json:"dataCentre"`
	Epoch       sqid.Epoch             `json:"epoch"`
	Roster      Roster                 `json:"roster"`
	Assignments [ShardCount]Assignment `json:"holdings"`
	// Earlier are the rosters of earlier epochs that are not closed yet.
	Earlier []EarlierRoster `json:"earlier,omitempty"`
	// Shares are the sets of shares in use, the newest last.
	Shares []SharesSet `json:"shares,omitempty"`
	// SharesAt is the epoch at which the newest set was added.
	SharesAt sqid.Epoch `json:"sharesAt,omitempty"`
	// Settled is the newest set for which Machine.Settled was true, or the set
	// with which the data centre began.
	Settled SharesEpoch `json:"settled,omitempty"`
}

// Keeper returns the keeper of a shard.
func (r *Record) Keeper(s sqid.ShardID) Member {
	return r.Roster[r.Assignments[s].Keeper]
}

// Backup returns the backup of a shard, the zero Member if there is none.
func (r *Record) Backup(s sqid.ShardID) Member {
	if i := r.Assignments[s].Backup; i > 0 {
		return r.Roster[i-1]
	}
	return Member{}
}

// HeldBy returns the shards whose keeper is m.
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
		return nil, errors.New("keepers record has no epoch, data centre or roster")
	}
	if len(r.Shares) == 0 {
		return nil, errors.New("keepers record has no set of shares")
	}
	for s, a := range r.Assignments {
		if a.Keeper < 0 || a.Keeper >= len(r.Roster) {
			return nil, errors.Errorf("keepers record: keeper of shard %d is not in the roster", s)
		}
		if a.Backup < 0 || a.Backup > len(r.Roster) {
			return nil, errors.Errorf("keepers record: backup of shard %d is not in the roster", s)
		}
	}
	return r, nil
}
