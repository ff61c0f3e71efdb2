package sqgossip

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// initialWait is half of the time between the first two attempts to join seeds.
	// The time doubles up to maxAloneWait or healPeriod.
	initialWait = 150 * time.Millisecond
	// maxAloneWait is the limit for a daemon that knows no other: a fleet that was
	// restarted while the platform was unavailable must serve within 2 s of its return.
	maxAloneWait = 500 * time.Millisecond
	// foundTime is the time after it has found the first other daemon in which a daemon
	// joins the remaining seeds without the doubling. The daemons behind them may have no
	// way to find each other: after a restart of the fleet the platform may serve only
	// this daemon.
	foundTime = 2 * time.Second
	// healPeriod is the limit for a daemon that knows others: its later attempts find
	// daemons that a network partition has separated from it.
	healPeriod = 60 * time.Second
	// maxJoins bounds the seeds asked at once, since each may answer with the whole
	// fleet.
	maxJoins = 2
	// seedsTimeout bounds one lookup of seeds, and one update of the seed record.
	seedsTimeout = 3 * time.Second
)

// SeedSource provides addresses at which other daemons may be found.
type SeedSource interface {
	// Seeds returns peer addresses, or an error if they are not available now.
	Seeds(ctx context.Context) ([]string, error)
}

// FixedSeeds are the seed addresses from the settings.
type FixedSeeds []string

// Seeds returns the addresses.
func (s FixedSeeds) Seeds(context.Context) ([]string, error) {
	return s, nil
}

// joinSeeds joins the seeds at which no live daemon is known, until ctx ends. It does so
// often at first, while the daemon knows no other, and until foundTime after it has found
// the first other daemon, and rarely later.
func (t *Transport) joinSeeds(ctx context.Context) error {
	var pace joinPace
	for {
		t.joinUnknown(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(pace.next(time.Now(), t.Member.Alone()))):
		}
	}
}

// joinPace is the time between two attempts to join seeds.
type joinPace struct {
	wait time.Duration
	// foundAt is when the first other daemon was found; zero while the daemon is alone.
	foundAt time.Time
}

// next returns the time until the next attempt.
func (p *joinPace) next(now time.Time, alone bool) time.Duration {
	switch {
	case alone:
		p.foundAt = time.Time{}
		p.wait = min(2*max(p.wait, initialWait), maxAloneWait)
		return p.wait
	case p.foundAt.IsZero():
		p.foundAt = now
	}
	if now.Sub(p.foundAt) < foundTime {
		p.wait = initialWait
		return p.wait
	}
	p.wait = min(2*p.wait, healPeriod)
	return p.wait
}

func (t *Transport) joinUnknown(ctx context.Context) {
	joinCtx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	for _, s := range t.SeedSources {
		addresses, err := s.Seeds(joinCtx)
		if err != nil {
			t.Logger.Info("looking up seed peers failed", "error", err.Error())
		}
		t.send(t.Member.Join(time.Now(), sample(t.Member.UnknownAddresses(addresses))))
	}
}

// sample returns up to maxJoins of the addresses, chosen at random. It shuffles its
// argument.
func sample(addresses []string) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxJoins)]
}
