package sqgossip

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// firstWait is half of the time between the first two looks for seeds;
	// it doubles up to aloneMost or healPeriod.
	firstWait = 150 * time.Millisecond
	// aloneMost is for a daemon that knows no other: a fleet that has started anew
	// while the platform was out is to serve within 2 s of its return.
	aloneMost = 500 * time.Millisecond
	// healPeriod is the time between two looks for daemons of a group that
	// got separated.
	healPeriod = 60 * time.Second
	// joinsMost bounds the seeds asked at once, each of which may answer with
	// the whole fleet.
	joinsMost = 2
	// seedsTimeout bounds one question for seeds.
	seedsTimeout = 3 * time.Second
)

// Seeds has addresses at which other daemons may be found.
type Seeds interface {
	// Seeds returns peer addresses. It fails if they can't be had for now.
	Seeds(ctx context.Context) ([]string, error)
}

// FixedSeeds are those of the settings.
type FixedSeeds []string

// Seeds returns the addresses.
func (s FixedSeeds) Seeds(context.Context) ([]string, error) {
	return s, nil
}

// seed joins those seeds that are not known: often at first, while the daemon is
// alone, and when it no longer is, seldom later.
func (t *Transport) seed(ctx context.Context) error {
	wait, wasAlone := firstWait, true
	for {
		t.join(ctx)
		most, alone := healPeriod, t.Member.Alone()
		switch {
		case alone:
			most = aloneMost
		case wasAlone:
			wait = firstWait
		}
		wasAlone = alone
		wait = min(2*wait, most)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(wait)):
		}
	}
}

func (t *Transport) join(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	for _, s := range t.Seeds {
		addresses, err := s.Seeds(within)
		if err != nil {
			t.Logger.Info("find first peers", "error", err.Error())
		}
		t.send(t.Member.Join(time.Now(), pick(t.Member.UnknownAddresses(addresses))))
	}
}

// pick returns a few addresses at random.
func pick(addresses []string) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), joinsMost)]
}
