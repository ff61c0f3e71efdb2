package sqdeparture

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
)

// restore returns the departures that the store and the peers have of this daemon. It asks
// them until isRestored.
func (k *Keeper) restore(ctx context.Context) []Departure {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var found []Departure
	ask := func(f func(context.Context) []Departure) {
		period := retryPeriod
		for {
			list := f(ctx)
			mu.Lock()
			found = append(found, list...)
			mu.Unlock()
			if time.Since(start) > restoreTimeout {
				period = outagePeriod
			}
			if sqtimer.Sleep(ctx, period) != nil {
				return
			}
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { ask(k.askStore) })
	wg.Go(func() { ask(k.askPeers) })
	var servingSince time.Time
	var waited time.Duration
	for !k.isRestored(waited) && sqtimer.Sleep(ctx, pollPeriod) == nil {
		if servingSince.IsZero() && (k.Serving == nil || k.Serving()) {
			servingSince = time.Now()
		}
		if !servingSince.IsZero() {
			waited = time.Since(servingSince)
		}
	}
	cancel()
	wg.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Logger.Info("departures restored", "departures", len(found), "byStore", k.storeAnswered, "peersAnswered", len(k.answered),
		"tookMs", time.Since(start).Milliseconds())
	return found
}

// isRestored reports whether the departures are restored, or have been waited for long
// enough. waited is the time for which this daemon could have served. A peer that has nothing may be
// none of the holders, which may be unknown yet: at least as many as hold a departure must
// have answered.
func (k *Keeper) isRestored(waited time.Duration) bool {
	peers := k.peersToAsk()
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.answered) >= holders && !slices.ContainsFunc(peers, func(a string) bool { return !k.answered[a] }) {
		return true
	}
	if k.storeAnswered {
		return waited >= peersTimeout
	}
	return waited >= restoreTimeout
}

func (k *Keeper) hasStoreAnswered() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeAnswered
}

// askStore reads the record, unless that has been done, and returns what was not known.
func (k *Keeper) askStore(ctx context.Context) []Departure {
	if k.hasStoreAnswered() {
		return nil
	}
	k.saving.Lock()
	defer k.saving.Unlock()
	// An error is no answer; the next attempt may get one.
	list, _ := k.load(ctx)
	return list
}

// peersToAsk returns the addresses of the first peers, at most asked.
func (k *Keeper) peersToAsk() []string {
	peers := k.Peers()
	return peers[:min(len(peers), asked)]
}

// askPeers asks the first peers that have not answered yet, and returns what was not known.
func (k *Keeper) askPeers(ctx context.Context) []Departure {
	var mu sync.Mutex
	var unknown []Departure
	var wg sync.WaitGroup
	for _, address := range k.peersToAsk() {
		k.mu.Lock()
		done := k.answered[address]
		k.mu.Unlock()
		if done {
			continue
		}
		wg.Go(func() {
			held, err := k.heldBy(ctx, address)
			if err != nil {
				return
			}
			list := k.learn(held, markHanded)
			mu.Lock()
			unknown = append(unknown, list...)
			mu.Unlock()
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.answered == nil {
				k.answered = make(map[string]bool)
			}
			k.answered[address] = true
		})
	}
	wg.Wait()
	return unknown
}
