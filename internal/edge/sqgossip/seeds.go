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
// often at first, while the daemon knows no other, and just after it has found the
// first other daemon, and rarely later.
func (t *Transport) joinSeeds(ctx context.Context) error {
	wait, wasAlone := initialWait, true
	for {
		t.joinUnknown(ctx)
		maxWait, alone := healPeriod, t.Member.Alone()
		switch {
		case alone:
			maxWait = maxAloneWait
		case wasAlone:
			wait = initialWait
		}
		wasAlone = alone
		wait = min(2*wait, maxWait)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(wait)):
		}
	}
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
