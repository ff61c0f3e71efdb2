package sqgossip

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
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
	// SeedPrefix begins the keys of the seed records; the name of the data
	// centre follows.
	SeedPrefix = "sequoiatack/seeds/"
	// seedsMost bounds the addresses of a record.
	seedsMost = 8
	// lookPeriod is the time between two looks at the membership.
	lookPeriod = time.Second
	// readPeriod is the time between two reads of a record that need not
	// change.
	readPeriod = 60 * time.Second
	// retryPeriod is the time to the next try while the platform is out.
	retryPeriod = 10 * time.Second
)

// SeedStore is the part of the platform's service that holds seed records.
type SeedStore interface {
	Get(ctx context.Context, key string) (sqkv.Record, error)
	List(ctx context.Context, prefix string) ([]sqkv.Record, sqkv.Version, error)
	Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error)
}

// Seeding finds first peers in the platform's seed records and keeps the
// record of the daemon's data centre. Only daemons that are alone and the
// watchers read the records, and only watchers write.
type Seeding struct {
	Member *sqmember.Member
	Store  SeedStore
	Logger logr.Logger

	held    seedRecord
	version sqkv.Version
	next    time.Time
	// fleet is the number of daemons in all records as last read.
	fleet atomic.Int64
}

// factFleet names the fact of the fleet's size, for daemons that the platform turns
// away. Its body is the number in digits.
const factFleet = "fleet"

// seedRecord is the value of a seed record.
type seedRecord struct {
	Peers []string `json:"peers"`
	// Members is about the number of daemons of the data centre.
	Members int `json:"members"`
}

// parseSeeds returns a record, without addresses that are none.
func parseSeeds(value []byte) seedRecord {
	var record seedRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return seedRecord{}
	}
	peers := slices.DeleteFunc(record.Peers, func(a string) bool {
		_, err := netip.ParseAddrPort(a)
		return err != nil
	})
	record.Peers = peers[:min(len(peers), seedsMost)]
	record.Members = max(record.Members, len(record.Peers))
	return record
}

// Fleet returns about how many daemons the fleet had when the records were last
// read by this daemon or another that has told it, 0 if none has.
func (s *Seeding) Fleet() int {
	_, body := s.Member.Fact(factFleet)
	return max(int(s.fleet.Load()), parseFleet(body))
}

// parseFleet returns the number in a fact of the fleet's size, 0 if there is none.
func parseFleet(body []byte) int {
	n, err := strconv.ParseUint(string(body), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}

// tellFleet spreads the fleet's size if what is held is out of date.
func (s *Seeding) tellFleet(fleet int) {
	version, body := s.Member.Fact(factFleet)
	if fleet == 0 || !outgrown(parseFleet(body), fleet) {
		return
	}
	if _, err := s.Member.Publish(factFleet, version+1, strconv.AppendInt(nil, int64(fleet), 10)); err != nil {
		s.Logger.Info("the fleet's size is not spread", "error", err.Error())
	}
}

// Seeds returns the addresses of all data centres' records. It returns none
// to a daemon that neither is alone nor watches the platform.
func (s *Seeding) Seeds(ctx context.Context) ([]string, error) {
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
	s.fleet.Store(int64(fleet))
	s.tellFleet(fleet)
	return peers, nil
}

// Run keeps the data centre's record until ctx ends. Its error is nil.
func (s *Seeding) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(lookPeriod)):
			s.look(ctx, time.Now())
		}
	}
}

// look reads the record if that is due or the record held needs a change,
// and changes it if it still does.
func (s *Seeding) look(ctx context.Context, now time.Time) {
	if !s.Member.IsWatcher() {
		s.next = time.Time{}
		return
	}
	if _, change := s.plan(); now.Before(s.next) && (!change || s.version == 0) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	s.next = now.Add(jittered(readPeriod))
	if err := s.keep(ctx); err != nil {
		s.version = 0
		s.next = now.Add(jittered(retryPeriod))
		s.Logger.Info("keep the seed record", "error", err.Error())
	}
}

func (s *Seeding) keep(ctx context.Context) error {
	key := SeedPrefix + string(s.dataCentre())
	r, err := s.Store.Get(ctx, key)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	s.held, s.version = parseSeeds(r.Value), r.Version
	record, change := s.plan()
	if !change {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	version, err := s.Store.Swap(ctx, key, r.Version, value, 0)
	if errors.Is(err, sqkv.ErrConflict) {
		// The other watcher was first; the next look reads what it wrote.
		s.next = time.Time{}
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "write")
	}
	s.held, s.version = record, version
	return nil
}

// plan returns what the record should hold, and whether it must change.
func (s *Seeding) plan() (seedRecord, bool) {
	if s.Member.Alone() {
		peers, change := planAlone(s.held.Peers, s.Member.Self().PeerAddress)
		return seedRecord{Peers: peers, Members: max(s.held.Members, len(peers))}, change
	}
	var alive []string
	for _, r := range s.Member.Alive(s.dataCentre()) {
		alive = append(alive, r.PeerAddress)
	}
	peers, change := planSeeds(s.held.Peers, alive)
	return seedRecord{Peers: peers, Members: len(alive)}, change || outgrown(s.held.Members, len(alive))
}

// The number of daemons in a record is brought up to date when it is off by more
// than these factors: seldom, and in time before parts of rates for the old number
// would sum up to much more than the rates.
const (
	grownFactor  = 1.1
	shrunkFactor = 0.5
)

func outgrown(held, alive int) bool {
	return float64(alive) > grownFactor*float64(held) || float64(alive) < shrunkFactor*float64(held)
}

func (s *Seeding) dataCentre() sqid.DataCentreID {
	return s.Member.Self().DataCentre
}

// planAlone returns what a record should hold for a daemon that knows no
// other: itself beside those that it has not reached yet.
func planAlone(held []string, self string) ([]string, bool) {
	if slices.Contains(held, self) {
		return held, false
	}
	peers := append(slices.Clone(held), self)
	return peers[max(0, len(peers)-seedsMost):], true
}

// planSeeds returns what a record should hold, and whether it must change: it must
// once fewer than half of the addresses that it could hold are of daemons alive, or
// once it lacks any of a few. After a loss of all, a daemon that can't reach the
// platform is found by its address alone. Those that are alive stay.
func planSeeds(held, alive []string) ([]string, bool) {
	var usable []string
	for _, a := range held {
		if slices.Contains(alive, a) && !slices.Contains(usable, a) {
			usable = append(usable, a)
		}
	}
	could := min(len(alive), seedsMost)
	few := len(alive) <= seedsMost
	if 2*len(usable) >= could && (!few || len(usable) == could) {
		return held, false
	}
	for _, a := range alive {
		if len(usable) < could && !slices.Contains(usable, a) {
			usable = append(usable, a)
		}
	}
	return usable, true
}
