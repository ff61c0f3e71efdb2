package sqgossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

const (
	// SeedPrefix is the prefix of the keys of seed records; the name of the data
	// centre follows it.
	SeedPrefix = "sequoiatack/seeds/"
	// maxSeedPeers bounds the addresses in a record.
	maxSeedPeers = 8
	// maxRecordMembers bounds the number of daemons that a record may claim for a data
	// centre. Rates are divided among as many.
	maxRecordMembers = 1 << 16
	// checkPeriod is the time between two checks of the record against the membership.
	checkPeriod = 400 * time.Millisecond
	// maxFirstCheck is the longest time until the first check. It is random, so that
	// most of the daemons of a data centre that start together find the record written.
	maxFirstCheck = 800 * time.Millisecond
	// maxConflictWait is the longest time until the next check after another daemon wrote
	// the record first.
	maxConflictWait = 300 * time.Millisecond
	// aloneGrace is the time for which a daemon that knows no other only tries to join
	// the peers that the record names, before it adds itself to them.
	aloneGrace = time.Second
	// refreshPeriod is the time between two reads of a record that need not change.
	refreshPeriod = 60 * time.Second
	// retryPeriod is the time between two attempts while the platform is unavailable.
	retryPeriod = 10 * time.Second
)

// SeedStore is the part of the platform's key-value store that SeedRecords uses.
type SeedStore interface {
	Get(ctx context.Context, key string) (sqkv.Record, error)
	List(ctx context.Context, prefix string) ([]sqkv.Record, sqkv.Version, error)
	Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error)
}

// SeedRecords finds seed peers in the platform's seed records, of which each data centre
// has one, and maintains the record of the daemon's own data centre. Only the watchers
// (the daemons that watch the platform for their data centre) and daemons that know no
// other daemon read the records, and only watchers write them.
type SeedRecords struct {
	Member *sqmember.Member
	Store  SeedStore
	Logger logr.Logger

	// mu guards record, version and failed.
	mu sync.Mutex
	// record and version are the data centre's record as last read or written. A
	// version of 0 means that there is none, or that the last update failed.
	record  seedRecord
	version sqkv.Version
	// failed is set if the platform did not answer the last update.
	failed bool
	// nextRead is when the record is read again even if it needs no change.
	nextRead time.Time
	// aloneSince is when the daemon was first found to know no other.
	aloneSince time.Time
	// fleetSize is the number of daemons in all records as last read.
	fleetSize atomic.Int64
}

// factFleetSize is the name of the fact that holds the size of the fleet, for daemons
// whose requests the platform refuses. Its body is the number in decimal digits.
const factFleetSize = "fleet"

// seedRecord is the value of a seed record.
type seedRecord struct {
	Peers []string `json:"peers"`
	// Members is the approximate number of daemons of the data centre.
	Members int `json:"members"`
}

// parseSeeds decodes a record and drops invalid addresses. It returns an empty record
// if the value can't be decoded.
func parseSeeds(value []byte) seedRecord {
	var record seedRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return seedRecord{}
	}
	peers := slices.DeleteFunc(record.Peers, func(a string) bool {
		_, err := netip.ParseAddrPort(a)
		return err != nil
	})
	record.Peers = peers[:min(len(peers), maxSeedPeers)]
	if record.Members > maxRecordMembers {
		record.Members = 0
	}
	record.Members = max(record.Members, len(record.Peers))
	return record
}

// FleetSize returns the approximate size of the fleet when this daemon, or another that
// published the size, last read the records. It is 0 if none has.
func (s *SeedRecords) FleetSize() int {
	_, body := s.Member.Fact(factFleetSize)
	return max(int(s.fleetSize.Load()), parseFleetSize(body))
}

// parseFleetSize returns the number in the body of the fleet size fact, 0 if it has
// none.
func parseFleetSize(body []byte) int {
	n, err := strconv.ParseUint(string(body), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}

// publishFleetSize publishes the fleet's size if the current fact is out of date.
func (s *SeedRecords) publishFleetSize(fleet int) {
	version, body := s.Member.Fact(factFleetSize)
	if fleet == 0 || !outdated(parseFleetSize(body), fleet) {
		return
	}
	if _, err := s.Member.Publish(factFleetSize, version+1, strconv.AppendInt(nil, int64(fleet), 10)); err != nil {
		s.Logger.Info("publishing the fleet size failed", "error", err.Error())
	}
}

// Seeds returns the addresses in the records of all data centres. It returns none to a
// daemon that knows other daemons and isn't a watcher.
func (s *SeedRecords) Seeds(ctx context.Context) ([]string, error) {
	if !s.Member.Alone() && !s.Member.IsWatcher() {
		return nil, nil
	}
	records, _, err := sqkv.ListStale(ctx, s.Store, SeedPrefix)
	if err != nil {
		return nil, sqerror.Wrap(sqerror.StepPlatform, s.Member.Self().ID, errors.Wrap(err, "list seed records"))
	}
	var peers []string
	fleet := 0
	for _, r := range records {
		record := parseSeeds(r.Value)
		peers = append(peers, record.Peers...)
		fleet += record.Members
	}
	s.fleetSize.Store(int64(fleet))
	s.publishFleetSize(fleet)
	return peers, nil
}

// Settled reports whether the data centre's record needs no change that this daemon could
// make: after a restart of the fleet, a daemon that can't reach the platform can only be
// found by its address there.
func (s *SeedRecords) Settled() bool {
	if !s.Member.IsWatcher() {
		return true
	}
	s.mu.Lock()
	record, version, failed := s.record, s.version, s.failed
	s.mu.Unlock()
	_, change := s.plan(record)
	return failed || version != 0 && !change
}

// Run maintains the data centre's record until ctx ends. It always returns nil.
func (s *SeedRecords) Run(ctx context.Context) error {
	wait := rand.N(maxFirstCheck)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
			wait = jittered(checkPeriod)
			if s.check(ctx, time.Now()) {
				wait = rand.N(maxConflictWait)
			}
		}
	}
}

// check reads the record if a read is due or the record as last read needs a change,
// and writes it if it still needs one. It reports whether another daemon wrote first.
func (s *SeedRecords) check(ctx context.Context, now time.Time) (conflict bool) {
	if !s.Member.IsWatcher() {
		s.nextRead = time.Time{}
		return false
	}
	switch {
	case !s.Member.Alone():
		s.aloneSince = time.Time{}
	case s.aloneSince.IsZero():
		s.aloneSince = now
	}
	s.mu.Lock()
	record, version := s.record, s.version
	s.mu.Unlock()
	if _, change := s.plan(record); now.Before(s.nextRead) && (!change || version == 0) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	s.nextRead = now.Add(jittered(refreshPeriod))
	err := s.update(ctx, now)
	if errors.Is(err, sqkv.ErrConflict) {
		s.nextRead = time.Time{}
		return true
	}
	s.mu.Lock()
	s.failed = err != nil
	s.mu.Unlock()
	if err != nil {
		s.hold(seedRecord{}, 0)
		s.nextRead = now.Add(jittered(retryPeriod))
		s.Logger.Info("updating the seed record failed", "error", err.Error())
	}
	return false
}

// hold sets the record as last read or written.
func (s *SeedRecords) hold(record seedRecord, version sqkv.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record, s.version = record, version
}

// update reads the record and writes it if it must change.
func (s *SeedRecords) update(ctx context.Context, now time.Time) error {
	key := SeedPrefix + string(s.dataCentre())
	r, err := s.Store.Get(ctx, key)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	held := parseSeeds(r.Value)
	s.hold(held, r.Version)
	record, change := s.plan(held)
	if !change {
		return nil
	}
	if len(held.Peers) > 0 && !s.aloneSince.IsZero() && now.Sub(s.aloneSince) < aloneGrace {
		s.nextRead = s.aloneSince.Add(aloneGrace)
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	version, err := s.Store.Swap(ctx, key, r.Version, value, 0)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	s.hold(record, version)
	return nil
}

// plan returns what the record should hold, and whether it must change from held.
func (s *SeedRecords) plan(held seedRecord) (seedRecord, bool) {
	if s.Member.Alone() {
		peers, change := planAlone(held.Peers, s.Member.Self().PeerAddress)
		return seedRecord{Peers: peers, Members: max(held.Members, len(peers))}, change
	}
	var alive []string
	for _, r := range s.Member.Alive(s.dataCentre()) {
		alive = append(alive, r.PeerAddress)
	}
	peers, change := planSeeds(held.Peers, alive)
	return seedRecord{Peers: peers, Members: len(alive)}, change || outdated(held.Members, len(alive))
}

// The number of daemons in a record is updated when it differs from the actual number
// by more than these factors. That keeps writes rare, but is early enough that shares
// of a rate computed from the old number don't add up to much more than the rate.
const (
	grownFactor  = 1.1
	shrunkFactor = 0.5
)

func outdated(recorded, alive int) bool {
	return float64(alive) > grownFactor*float64(recorded) || float64(alive) < shrunkFactor*float64(recorded)
}

func (s *SeedRecords) dataCentre() sqid.DataCentreID {
	return s.Member.Self().DataCentre
}

// planAlone returns the addresses that a record should hold, and whether it must
// change, for a daemon that knows no other: its own address after those that it could
// not reach so far.
func planAlone(held []string, self string) ([]string, bool) {
	if slices.Contains(held, self) {
		return held, false
	}
	peers := append(slices.Clone(held), self)
	return peers[max(0, len(peers)-maxSeedPeers):], true
}

// planSeeds returns the addresses that a record should hold, and whether it must
// change. It must change once fewer than half of the addresses that it could hold
// belong to live daemons. If all live daemons fit into the record, it must change as
// soon as one is missing: after the whole data centre has failed, a daemon that can't
// reach the platform can be found only by its address in the record. Addresses of live
// daemons stay.
func planSeeds(held, alive []string) ([]string, bool) {
	var usable []string
	for _, a := range held {
		if slices.Contains(alive, a) && !slices.Contains(usable, a) {
			usable = append(usable, a)
		}
	}
	wanted := min(len(alive), maxSeedPeers)
	few := len(alive) <= maxSeedPeers
	if 2*len(usable) >= wanted && (!few || len(usable) == wanted) {
		return held, false
	}
	for _, a := range alive {
		if len(usable) < wanted && !slices.Contains(usable, a) {
			usable = append(usable, a)
		}
	}
	return usable, true
}
