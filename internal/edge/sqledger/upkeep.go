package sqledger

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

const (
	platformTimeout = time.Second
	// pollPeriod is the period at which the first of a data centre reads the
	// records of all.
	pollPeriod = 2 * time.Second
	// settlePoll is that period until the data centres have agreed on the set
	// of shares: until then each spends the smallest share that it knows of.
	settlePoll = 300 * time.Millisecond
	// upkeepPeriod is the period at which a daemon looks whether its data
	// centre's record should change.
	upkeepPeriod = 250 * time.Millisecond
	// rankDelay is how much longer each rank waits before it changes the
	// record, in case those before it can't.
	rankDelay = 1500 * time.Millisecond
	// discoverPeriod is the period at which a daemon without a record looks
	// for one.
	discoverPeriod = 300 * time.Millisecond
	// platformRanks is the number of daemons of a data centre that read the
	// platform for a record.
	platformRanks = 2
	balancePeriod = 5 * time.Second
	// settleIn is how long a daemon that has just started leaves the record as
	// it is: it may not know yet who is alive.
	settleIn = 1500 * time.Millisecond
	// missingTerm is how long a member of the roster may be missing before its
	// shards are taken over: it may only be suspect for a moment.
	missingTerm = time.Second
)

// duties are the periodic works of a Ledger.
type duties struct {
	evidence, tell, discover, poll, upkeep, balance duty
}

// tickDuties starts the duties that are due.
func (l *Ledger) tickDuties(ctx context.Context, now time.Time) {
	d, t := &l.duties, &l.tasks
	if l.Epoch() == 0 {
		d.discover.start(t, now, discoverPeriod, func() { l.discover(ctx) })
		return
	}
	d.evidence.start(t, now, l.Terms.EvidenceLifetime/4, func() { l.refreshEvidence(ctx) })
	d.tell.start(t, now, tellPeriod, func() { l.tell(ctx) })
	if now.Sub(l.began) > settleIn {
		d.upkeep.start(t, now, upkeepPeriod, func() { l.maintain(ctx) })
	}
	d.balance.start(t, now, balancePeriod, func() { l.balance(ctx) })
	if l.rank() == 0 {
		period := pollPeriod
		if !l.Settled(now) {
			period = settlePoll
		}
		d.poll.start(t, now, period, func() { l.poll(ctx) })
	}
}

// rank returns this daemon's place among those that keep up the record: the
// living members of the roster, then the others.
func (l *Ledger) rank() int {
	alive := l.Members.Alive(l.DataCentre)
	var order []sqkeeper.Member
	if r := l.view.Load().records[l.DataCentre]; r != nil {
		for _, m := range r.Roster {
			if sqkeeper.Roster(alive).Index(m) >= 0 {
				order = append(order, m)
			}
		}
	}
	for _, m := range alive {
		if sqkeeper.Roster(order).Index(m) < 0 {
			order = append(order, m)
		}
	}
	if i := sqkeeper.Roster(order).Index(l.Self); i >= 0 {
		return i
	}
	return len(order)
}

// discover looks for the data centre's record: first at the peers, which know
// it even while the platform is out, then in the platform. If there is none it
// makes the first.
func (l *Ledger) discover(ctx context.Context) {
	rank := l.rank()
	l.consult(ctx, l.neighbours())
	if l.Epoch() > 0 || rank >= platformRanks {
		return
	}
	found, err := l.readOwn(ctx)
	if err != nil || found || rank > 0 {
		return
	}
	if err := l.create(ctx); err != nil {
		l.Log.Error(err, "first keepers record")
	}
}

// neighbours returns the daemons that follow this one among the living.
func (l *Ledger) neighbours() []sqkeeper.Member {
	alive := l.Members.Alive(l.DataCentre)
	self := sqkeeper.Roster(alive).Index(l.Self)
	var next []sqkeeper.Member
	for i := range min(len(alive), sqkeeper.RosterSize) {
		next = append(next, alive[(self+1+i)%len(alive)])
	}
	return next
}

// readOwn reads the data centre's record in the platform, which is evidence,
// and reports whether there is one.
func (l *Ledger) readOwn(ctx context.Context) (bool, error) {
	r, _, err := l.read(ctx)
	return r != nil, err
}

func (l *Ledger) read(ctx context.Context) (*sqkeeper.Record, sqkv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sent := time.Now()
	record, err := l.Store.Get(ctx, sqkeeper.Key(l.DataCentre))
	if err != nil || record.Version == 0 {
		return nil, 0, err
	}
	r, err := sqkeeper.Decode(record.Value)
	if err != nil {
		return nil, 0, err
	}
	l.certify(r, sent)
	return r, record.Version, nil
}

// certify takes in a record that the platform held at or after sent.
func (l *Ledger) certify(r *sqkeeper.Record, sent time.Time) {
	l.learn(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.machine.NotePlatformRead(r.Epoch, sent, now)
	l.refresh(now)
}

// create writes the data centre's first record, after it has joined the set
// of shares.
func (l *Ledger) create(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	before, with, err := l.joinShares(ctx)
	if err != nil {
		return err
	}
	r := sqkeeper.FirstRecord(l.DataCentre, l.Self, before, with)
	sent := time.Now()
	if _, err := l.Store.Swap(ctx, sqkeeper.Key(l.DataCentre), 0, r.Encode(), 0); err != nil {
		return errors.Wrap(err, "write keepers record")
	}
	l.certify(r, sent)
	l.publish(r)
	return nil
}

// joinShares adds the data centre to the record of shares, if it isn't there,
// and returns the set without it and the set with it.
func (l *Ledger) joinShares(ctx context.Context) (before, with sqkeeper.SharesSet, err error) {
	record, err := l.Store.Get(ctx, sqkeeper.SharesKey)
	if err != nil {
		return before, with, errors.Wrap(err, "read shares")
	}
	if record.Version > 0 {
		if before, err = sqkeeper.DecodeShares(record.Value); err != nil {
			return before, with, err
		}
	}
	if slices.Contains(before.DataCentres, l.DataCentre) {
		with = before
		return with.Without(l.DataCentre), with, nil
	}
	with = before.With(l.DataCentre)
	if _, err = l.Store.Swap(ctx, sqkeeper.SharesKey, record.Version, with.Encode(), 0); err != nil {
		return before, with, errors.Wrap(err, "write shares")
	}
	return before, with, nil
}

// poll reads the records of all data centres and spreads what is new.
func (l *Ledger) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sent := time.Now()
	records, _, err := l.Store.List(ctx, sqkeeper.KeyPrefix)
	if err != nil {
		l.Log.V(1).Info("keepers records are not to be read", "error", err.Error())
		return
	}
	own := sqid.Epoch(0)
	for _, record := range records {
		if record.Key == sqkeeper.SharesKey {
			l.learnShares(record.Value)
			continue
		}
		r, err := sqkeeper.Decode(record.Value)
		if err != nil {
			l.Log.Error(err, "keepers record in the platform", "key", record.Key)
			continue
		}
		l.polled(r, sent)
		if r.DataCentre == l.DataCentre {
			own = r.Epoch
		}
	}
	if own < l.Epoch() {
		l.restate(ctx)
	}
}

// restate writes the record that this daemon knows again if the platform has
// come back with an older one, or without it.
func (l *Ledger) restate(ctx context.Context) {
	err := l.change(ctx, func(r *sqkeeper.Record, now time.Time) (*sqkeeper.Record, bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if r != l.machine.Record() {
			return nil, false
		}
		return r.Reissue(func(e sqkeeper.EarlierRoster) bool { return l.machine.Closed(e, now) })
	})
	if err != nil {
		l.Log.V(1).Info("keepers record is not restated", "error", err.Error())
	}
}

func (l *Ledger) polled(r *sqkeeper.Record, sent time.Time) {
	l.mu.Lock()
	newer := l.learnLocked(r, time.Now())
	l.mu.Unlock()
	if r.DataCentre == l.DataCentre {
		l.certify(r, sent)
	}
	if newer {
		l.followAll(r)
		l.publish(r)
	}
}

func (l *Ledger) learnShares(body []byte) {
	s, err := sqkeeper.DecodeShares(body)
	if err != nil {
		l.Log.Error(err, "shares in the platform")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Epoch > l.shares.Epoch {
		l.shares = s
	}
}

// maintain changes the data centre's record if that is needed and no daemon
// before this one has done it.
func (l *Ledger) maintain(ctx context.Context) {
	now := time.Now()
	needed, wait := l.needed(now), time.Duration(l.rank())*rankDelay
	l.mu.Lock()
	if !needed {
		l.needFrom = time.Time{}
	} else if l.needFrom.IsZero() {
		l.needFrom = now
	}
	due := needed && !now.Before(l.needFrom.Add(wait))
	l.mu.Unlock()
	if !due {
		return
	}
	if err := l.change(ctx, l.next); err != nil {
		l.Log.V(1).Info("keepers record is not changed", "error", err.Error())
	}
}

func (l *Ledger) needed(now time.Time) bool {
	l.mu.Lock()
	r := l.machine.Record()
	l.mu.Unlock()
	_, ok := l.next(r, now)
	return ok
}

// present returns the daemons that are alive or are missing for a short time
// only. A daemon that has restarted is present with its newest life alone.
func (l *Ledger) present(r *sqkeeper.Record, now time.Time) []sqkeeper.Member {
	present := l.Members.Alive(l.DataCentre)
	missing := make(map[sqkeeper.Member]time.Time)
	for _, m := range r.Roster {
		if slices.ContainsFunc(present, func(o sqkeeper.Member) bool { return o.Daemon == m.Daemon }) {
			continue
		}
		since, ok := l.missing[m]
		if !ok {
			since = now
		}
		missing[m] = since
		if now.Sub(since) < missingTerm {
			present = append(present, m)
		}
	}
	l.missing = missing
	return present
}

// next returns the record that should follow r.
func (l *Ledger) next(r *sqkeeper.Record, now time.Time) (*sqkeeper.Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	alive := l.present(r, now)
	if r != l.machine.Record() && r.Epoch != l.machine.Epoch() {
		return nil, false
	}
	settled := func(dc sqid.DataCentreID) sqkeeper.SharesEpoch {
		if o := l.records[dc]; o != nil {
			return o.Settled
		}
		return 0
	}
	return r.Next(sqkeeper.Changes{
		Alive:   alive,
		Closed:  func(e sqkeeper.EarlierRoster) bool { return l.machine.Closed(e, now) },
		Shares:  l.shares,
		Agreed:  r.NewestShares().Agreed(settled),
		Settled: l.machine.Settled(now),
	})
}

// errSuperseded says that the platform holds an older record than is known.
var errSuperseded = errors.New("platform holds an older keepers record than was read before")

// change reads the record, derives the one that should follow, and writes it
// if nobody else has written in between. A write whose answer is lost is found
// by the next read.
func (l *Ledger) change(ctx context.Context, derive func(*sqkeeper.Record, time.Time) (*sqkeeper.Record, bool)) error {
	r, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	if r == nil || r.Epoch < l.Epoch() {
		l.Log.Error(errSuperseded, "keepers record", "known", l.Epoch())
		if r, version, err = l.known(ctx); err != nil {
			return err
		}
	}
	n, ok := derive(r, time.Now())
	if !ok {
		return nil
	}
	return l.write(ctx, n, version)
}

// known returns the newest record that this daemon knows, with the version of
// what the platform holds in its place.
func (l *Ledger) known(ctx context.Context) (*sqkeeper.Record, sqkv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	held, err := l.Store.Get(ctx, sqkeeper.Key(l.DataCentre))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Record(), held.Version, err
}

func (l *Ledger) write(ctx context.Context, n *sqkeeper.Record, version sqkv.Version) error {
	swapping, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sent := time.Now()
	if _, err := l.Store.Swap(swapping, sqkeeper.Key(l.DataCentre), version, n.Encode(), 0); err != nil {
		return errors.Wrap(err, "write keepers record")
	}
	l.Log.Info("keepers record changed", "epoch", n.Epoch, "roster", len(n.Roster))
	l.certify(n, sent)
	l.publish(n)
	l.consult(ctx, n.Roster)
	return nil
}
