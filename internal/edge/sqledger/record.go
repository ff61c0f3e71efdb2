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
	// platformTimeout bounds one operation on the keepers records in the platform.
	platformTimeout = time.Second
	// pollPeriod is the period at which the daemon of rank 0 in a data centre reads the
	// records of all data centres.
	pollPeriod = 2 * time.Second
	// unsettledPollPeriod replaces pollPeriod until the data centres have agreed on the
	// set of shares: until then each spends only the smallest of its shares.
	unsettledPollPeriod = 300 * time.Millisecond
	// maintainPeriod is the period at which a daemon checks whether its data centre's
	// record should change.
	maintainPeriod = 250 * time.Millisecond
	// rankDelay is how much longer a daemon waits per rank before it changes the record,
	// which it does only if those of lower ranks have not.
	rankDelay = 1500 * time.Millisecond
	// discoverPeriod is the period at which a daemon that knows no record looks for one.
	discoverPeriod = 300 * time.Millisecond
	// platformRanks is the number of daemons of a data centre that look for the record
	// in the platform too.
	platformRanks = 2
	// balancePeriod is the period at which a daemon checks whether it keeps too many
	// shards.
	balancePeriod = 5 * time.Second
	// startupDelay is how long after its start a daemon leaves the record unchanged,
	// since it may not know yet which daemons are alive.
	startupDelay = 1500 * time.Millisecond
	// missingGracePeriod is how long a member of the roster may be missing before its
	// shards are taken over, since the membership may suspect it only briefly.
	missingGracePeriod = time.Second
)

// periodicTasks are the background tasks of a Ledger.
type periodicTasks struct {
	evidence, informUnaware, discoverRecord, pollRecords, maintenance, balanceShards periodicTask
}

// startPeriodicTasks starts the tasks that are due.
func (l *Ledger) startPeriodicTasks(ctx context.Context, now time.Time) {
	d, t := &l.periodicTasks, &l.tasks
	if l.Epoch() == 0 {
		d.discoverRecord.start(t, now, discoverPeriod, func() { l.discoverRecord(ctx) })
		return
	}
	d.evidence.start(t, now, l.Timing.EvidenceLifetime/4, func() { l.refreshEvidence(ctx) })
	d.informUnaware.start(t, now, informPeriod, func() { l.informUnaware(ctx) })
	if now.Sub(l.startedAt) > startupDelay {
		d.maintenance.start(t, now, maintainPeriod, func() { l.maintainRecord(ctx) })
	}
	d.balanceShards.start(t, now, balancePeriod, func() { l.balanceShards(ctx) })
	if l.rank() == 0 {
		period := pollPeriod
		if !l.Settled(now) {
			period = unsettledPollPeriod
		}
		d.pollRecords.start(t, now, period, func() { l.pollRecords(ctx) })
	}
}

// rank returns this daemon's rank, from 0, among those that maintain the record: first
// the members of the roster that are alive, then the other live daemons.
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

// discoverRecord looks for the data centre's record, first at other daemons, which may
// have it even while the platform is down, then in the platform. If there is none, the
// daemon of rank 0 creates it.
func (l *Ledger) discoverRecord(ctx context.Context) {
	rank := l.rank()
	l.askWitnesses(ctx, l.neighbours())
	if l.Epoch() > 0 || rank >= platformRanks {
		return
	}
	found, err := l.refreshRecord(ctx)
	if err != nil || found || rank > 0 {
		return
	}
	if err := l.createRecord(ctx); err != nil {
		l.Log.Error(err, "cannot create the first keepers record")
	}
}

// neighbours returns up to RosterSize live daemons of the data centre, in their common
// order from the one after this daemon.
func (l *Ledger) neighbours() []sqkeeper.Member {
	alive := l.Members.Alive(l.DataCentre)
	self := sqkeeper.Roster(alive).Index(l.Self)
	var next []sqkeeper.Member
	for i := range min(len(alive), sqkeeper.RosterSize) {
		next = append(next, alive[(self+1+i)%len(alive)])
	}
	return next
}

// refreshRecord reads the data centre's record in the platform, which is evidence that
// its epoch is current, and reports whether there is one.
func (l *Ledger) refreshRecord(ctx context.Context) (bool, error) {
	r, _, err := l.readRecord(ctx)
	return r != nil, err
}

// readRecord reads the data centre's record and its version in the platform. The record
// is nil if there is none.
func (l *Ledger) readRecord(ctx context.Context) (*sqkeeper.Record, sqkv.Version, error) {
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
	l.notePlatformRecord(r, sent)
	return r, record.Version, nil
}

// notePlatformRecord adopts a record that the platform held at or after sent, and notes
// it as evidence.
func (l *Ledger) notePlatformRecord(r *sqkeeper.Record, sent time.Time) {
	l.adoptRecord(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.machine.NotePlatformRead(r.Epoch, sent, now)
	l.updateView(now)
}

// createRecord adds the data centre to the set of shares and then writes its first
// record.
func (l *Ledger) createRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	without, with, err := l.joinShares(ctx)
	if err != nil {
		return err
	}
	r := sqkeeper.FirstRecord(l.DataCentre, l.Self, without, with)
	sent := time.Now()
	if _, err := l.Store.Swap(ctx, sqkeeper.Key(l.DataCentre), 0, r.Encode(), 0); err != nil {
		return errors.Wrap(err, "write keepers record")
	}
	l.notePlatformRecord(r, sent)
	l.publishRecord(r)
	return nil
}

// joinShares adds the data centre to the record of shares, unless it is there already.
// It returns the sets without it and with it.
func (l *Ledger) joinShares(ctx context.Context) (without, with sqkeeper.SharesSet, err error) {
	record, err := l.Store.Get(ctx, sqkeeper.SharesKey)
	if err != nil {
		return without, with, errors.Wrap(err, "read shares")
	}
	if record.Version > 0 {
		if without, err = sqkeeper.DecodeShares(record.Value); err != nil {
			return without, with, err
		}
	}
	if slices.Contains(without.DataCentres, l.DataCentre) {
		with = without
		return with.Without(l.DataCentre), with, nil
	}
	with = without.With(l.DataCentre)
	if _, err = l.Store.Swap(ctx, sqkeeper.SharesKey, record.Version, with.Encode(), 0); err != nil {
		return without, with, errors.Wrap(err, "write shares")
	}
	return without, with, nil
}

// pollRecords reads the records of all data centres and publishes those that are new to
// this daemon.
func (l *Ledger) pollRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sent := time.Now()
	records, _, err := l.Store.List(ctx, sqkeeper.KeyPrefix)
	if err != nil {
		l.Log.V(1).Info("cannot read keepers records", "error", err.Error())
		return
	}
	ownEpoch := sqid.Epoch(0)
	for _, record := range records {
		if record.Key == sqkeeper.SharesKey {
			l.adoptShares(record.Value)
			continue
		}
		r, err := sqkeeper.Decode(record.Value)
		if err != nil {
			l.Log.Error(err, "invalid keepers record in the platform", "key", record.Key)
			continue
		}
		l.notePolledRecord(r, sent)
		if r.DataCentre == l.DataCentre {
			ownEpoch = r.Epoch
		}
	}
	if ownEpoch < l.Epoch() {
		l.reissueRecord(ctx)
	}
}

// reissueRecord writes the record that this daemon knows, with a new epoch, if the
// platform has been restored to an older one or has lost it.
func (l *Ledger) reissueRecord(ctx context.Context) {
	err := l.changeRecord(ctx, func(r *sqkeeper.Record, now time.Time) (*sqkeeper.Record, bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if r != l.machine.Record() {
			return nil, false
		}
		return r.Reissue(func(e sqkeeper.EarlierRoster) bool { return l.machine.Closed(e, now) })
	})
	if err != nil {
		l.Log.V(1).Info("cannot reissue keepers record", "error", err.Error())
	}
}

// notePolledRecord adopts a record of any data centre from the platform, and publishes it
// if it is new to this daemon.
func (l *Ledger) notePolledRecord(r *sqkeeper.Record, sent time.Time) {
	l.mu.Lock()
	isNewer := l.adoptRecordLocked(r, time.Now())
	l.mu.Unlock()
	if r.DataCentre == l.DataCentre {
		l.notePlatformRecord(r, sent)
	}
	if isNewer {
		l.subscribeAll(r)
		l.publishRecord(r)
	}
}

// adoptShares adopts the encoded record of shares if it is newer than the known one.
func (l *Ledger) adoptShares(body []byte) {
	s, err := sqkeeper.DecodeShares(body)
	if err != nil {
		l.Log.Error(err, "invalid record of shares in the platform")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Epoch > l.platformShares.Epoch {
		l.platformShares = s
	}
}

// maintainRecord changes the data centre's record if a change has been needed for this
// daemon's rank times rankDelay.
func (l *Ledger) maintainRecord(ctx context.Context) {
	now := time.Now()
	changeNeeded, wait := l.changeNeeded(now), time.Duration(l.rank())*rankDelay
	l.mu.Lock()
	if !changeNeeded {
		l.changeNeededSince = time.Time{}
	} else if l.changeNeededSince.IsZero() {
		l.changeNeededSince = now
	}
	isDue := changeNeeded && !now.Before(l.changeNeededSince.Add(wait))
	l.mu.Unlock()
	if !isDue {
		return
	}
	if err := l.changeRecord(ctx, l.nextRecord); err != nil {
		l.Log.V(1).Info("cannot change keepers record", "error", err.Error())
	}
}

// changeNeeded reports whether the known record should change.
func (l *Ledger) changeNeeded(now time.Time) bool {
	l.mu.Lock()
	r := l.machine.Record()
	l.mu.Unlock()
	_, ok := l.nextRecord(r, now)
	return ok
}

// presentMembers returns the daemons that are alive, and the members of the roster that
// have been missing for less than missingGracePeriod. A daemon that has restarted is
// listed only with its newest incarnation. mu is held.
func (l *Ledger) presentMembers(r *sqkeeper.Record, now time.Time) []sqkeeper.Member {
	presentMembers := l.Members.Alive(l.DataCentre)
	missingSince := make(map[sqkeeper.Member]time.Time)
	for _, m := range r.Roster {
		if slices.ContainsFunc(presentMembers, func(o sqkeeper.Member) bool { return o.Daemon == m.Daemon }) {
			continue
		}
		since, ok := l.missingSince[m]
		if !ok {
			since = now
		}
		missingSince[m] = since
		if now.Sub(since) < missingGracePeriod {
			presentMembers = append(presentMembers, m)
		}
	}
	l.missingSince = missingSince
	return presentMembers
}

// nextRecord returns the record that should follow r, and false if none should.
func (l *Ledger) nextRecord(r *sqkeeper.Record, now time.Time) (*sqkeeper.Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	alive := l.presentMembers(r, now)
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
		Shares:  l.platformShares,
		Agreed:  r.NewestShares().Agreed(settled),
		Settled: l.machine.Settled(now),
	})
}

// errOutdatedRecord is logged if the platform has lost the known record or holds an older
// one.
var errOutdatedRecord = errors.New("the platform's keepers record is missing or older than the known one")

// changeRecord reads the record, derives the one that should follow, and writes it unless
// another daemon has written in between. If the platform's record is older than the known
// one, it starts from that. A write whose answer was lost shows in the next read.
func (l *Ledger) changeRecord(ctx context.Context, derive func(*sqkeeper.Record, time.Time) (*sqkeeper.Record, bool)) error {
	r, version, err := l.readRecord(ctx)
	if err != nil {
		return err
	}
	if r == nil || r.Epoch < l.Epoch() {
		l.Log.Error(errOutdatedRecord, "outdated keepers record", "known", l.Epoch())
		if r, version, err = l.knownRecord(ctx); err != nil {
			return err
		}
	}
	n, ok := derive(r, time.Now())
	if !ok {
		return nil
	}
	return l.writeRecord(ctx, n, version)
}

// knownRecord returns the newest record that this daemon knows, and the version of the
// platform's record that it should replace.
func (l *Ledger) knownRecord(ctx context.Context) (*sqkeeper.Record, sqkv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	stored, err := l.Store.Get(ctx, sqkeeper.Key(l.DataCentre))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Record(), stored.Version, err
}

// writeRecord writes the next record in place of the version in the platform, and sends
// it to the members of its roster.
func (l *Ledger) writeRecord(ctx context.Context, n *sqkeeper.Record, version sqkv.Version) error {
	swapCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sent := time.Now()
	if _, err := l.Store.Swap(swapCtx, sqkeeper.Key(l.DataCentre), version, n.Encode(), 0); err != nil {
		return errors.Wrap(err, "write keepers record")
	}
	l.Log.Info("keepers record changed", "epoch", n.Epoch, "roster", len(n.Roster))
	l.notePlatformRecord(n, sent)
	l.publishRecord(n)
	l.askWitnesses(ctx, n.Roster)
	return nil
}
