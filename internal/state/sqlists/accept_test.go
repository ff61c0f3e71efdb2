package sqlists_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

const onePlan = `[{"name":"p","rate":1,"burst":1}]`

// flaky delays each call, and loses writes and answers, or lets writes take
// effect after their caller gave up.
type flaky struct {
	sqkv.Store

	mu   sync.Mutex
	rng  *rand.Rand
	lost float64 // part of the calls, for each kind of loss
}

func (f *flaky) roll(longest time.Duration) float64 {
	f.mu.Lock()
	wait, roll := time.Duration(f.rng.Int64N(int64(longest))), f.rng.Float64()
	f.mu.Unlock()
	time.Sleep(wait)
	return roll
}

func (f *flaky) Get(ctx context.Context, key string) (sqkv.Record, error) {
	if f.roll(30*time.Millisecond) < f.lost {
		return sqkv.Record{}, sqkv.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *flaky) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error) {
	switch roll := f.roll(30 * time.Millisecond); {
	case roll < f.lost:
		return 0, sqkv.ErrUncertain
	case roll < 2*f.lost:
		_, _ = f.Store.Swap(ctx, key, expected, value, lease)
		return 0, sqkv.ErrUncertain
	case roll < 3*f.lost:
		go func() {
			f.roll(2 * time.Second)
			_, _ = f.Store.Swap(context.Background(), key, expected, value, lease)
		}()
		return 0, sqkv.ErrUncertain
	case roll < 4*f.lost:
		return 0, sqkv.ErrUnavailable
	}
	return f.Store.Swap(ctx, key, expected, value, lease)
}

// hasty takes a lost answer for a write that failed.
type hasty struct {
	*flaky
}

func (h hasty) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error) {
	version, err := h.flaky.Swap(ctx, key, expected, value, lease)
	if errors.Is(err, sqkv.ErrUncertain) {
		err = sqkv.ErrUnavailable
	}
	return version, err
}

// putter is an acceptor as the race sees it.
type putter interface {
	Put(ctx context.Context, k sqlists.Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error)
}

// naive reads the head, then writes over whatever is there.
type naive struct {
	store sqkv.Store
}

type naiveHead struct {
	Revision sqid.Revision
	Body     json.RawMessage
}

func (n naive) read(ctx context.Context) (naiveHead, sqkv.Version, error) {
	r, err := n.store.Get(ctx, "naive")
	h := naiveHead{Body: json.RawMessage("[]")}
	if err == nil && r.Version > 0 {
		err = json.Unmarshal(r.Value, &h)
	}
	return h, r.Version, err
}

func (n naive) Put(ctx context.Context, _ sqlists.Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error) {
	h, _, err := n.read(ctx)
	if err != nil {
		return 0, sqlists.ErrNotAccepted
	}
	if h.Revision != ifMatch {
		return 0, &sqlists.ConflictError{Current: h.Revision}
	}
	value, _ := json.Marshal(naiveHead{Revision: ifMatch + 1, Body: body})
	for {
		_, version, err := n.read(ctx)
		if err != nil {
			return 0, sqlists.ErrNotAccepted
		}
		switch _, err = n.store.Swap(ctx, "naive", version, value, 0); {
		case err == nil:
			return ifMatch + 1, nil
		case !errors.Is(err, sqkv.ErrConflict):
			return 0, sqlists.ErrNotAccepted
		}
	}
}

// race is what operators did who each added their own workspaces.
type race struct {
	accepted, refused, unknown []string
	left                       []string
	revisions                  map[sqid.Revision]int
}

// broken returns what of the outcomes is untrue, empty if all are true.
func (r race) broken() string {
	left := make(map[string]bool)
	for _, name := range r.left {
		left[name] = true
	}
	for _, name := range r.accepted {
		if !left[name] {
			return "accepted change was lost: " + name
		}
	}
	for _, name := range r.refused {
		if left[name] {
			return "refused change is in force: " + name
		}
	}
	for revision, n := range r.revisions {
		if n > 1 {
			return fmt.Sprintf("%d changes were accepted as revision %d", n, revision)
		}
	}
	return ""
}

const (
	operators = 4
	changes   = 5
)

// run lets operators race and reads what is left when late writes are over.
func run(t *testing.T, seed uint64, lost float64, by maker) race {
	result := race{revisions: make(map[sqid.Revision]int)}
	synctest.Test(t, func(t *testing.T) {
		core := (&sqstore.Store{}).Platform()
		store := &flaky{Store: core, rng: rand.New(rand.NewPCG(seed, 0)), lost: lost}
		setup := &sqlists.Acceptor{Store: core, Holder: &sqlists.Holder{}}
		_, err := setup.Put(t.Context(), sqlists.KindPlans, 0, []byte(onePlan))
		qt.Assert(t, err, qt.IsNil)

		var mu sync.Mutex
		var wg sync.WaitGroup
		for o := range operators {
			p, read := by(store, core)
			wg.Go(func() {
				for c := range changes {
					name := fmt.Sprintf("o%d-c%d", o, c)
					revision, err := add(t.Context(), p, read, name)
					mu.Lock()
					result.note(name, revision, err)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Minute)
		_, read := by(store, core)
		_, result.left = read()
	})
	return result
}

func (r *race) note(name string, revision sqid.Revision, err error) {
	switch {
	case err == nil:
		r.accepted = append(r.accepted, name)
		r.revisions[revision]++
	case errors.Is(err, sqlists.ErrOutcomeUnknown):
		r.unknown = append(r.unknown, name)
	default:
		r.refused = append(r.refused, name)
	}
}

// reader returns the newest revision and the names of its workspaces.
type reader func() (sqid.Revision, []string)

// maker makes the acceptor of one operator's daemon.
type maker func(store *flaky, core sqkv.Store) (putter, reader)

func makeNaive(store *flaky, core sqkv.Store) (putter, reader) {
	return naive{store}, func() (sqid.Revision, []string) {
		h, _, _ := naive{core}.read(context.Background())
		return h.Revision, names(h.Body)
	}
}

func makeHasty(store *flaky, core sqkv.Store) (putter, reader) {
	return &sqlists.Acceptor{Store: hasty{store}, Holder: &sqlists.Holder{}}, followed(core)
}

func makeReal(store *flaky, core sqkv.Store) (putter, reader) {
	return &sqlists.Acceptor{Store: store, Holder: &sqlists.Holder{}}, followed(core)
}

// followed reads the lists as a daemon that has just started.
func followed(core sqkv.Store) reader {
	return func() (sqid.Revision, []string) {
		h := &sqlists.Holder{}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		h.Subscribe(func(*sqlists.Index) { cancel() })
		follower := &sqlists.Follower{
			Store: core, Holder: h, Publish: func(string, uint64, []byte) {},
			Watching: func() bool { return true },
		}
		_ = follower.Run(ctx)
		return h.Revision(), names(h.Accepted().Workspaces)
	}
}

func names(body []byte) []string {
	var workspaces []sqlists.Workspace
	_ = json.Unmarshal(body, &workspaces)
	all := make([]string, len(workspaces))
	for i, w := range workspaces {
		all[i] = string(w.Name)
	}
	return all
}

func add(ctx context.Context, p putter, read func() (sqid.Revision, []string), name string) (sqid.Revision, error) {
	revision, have := read()
	var workspaces []sqlists.Workspace
	for _, n := range append(have, name) {
		workspaces = append(workspaces, sqlists.Workspace{Name: sqid.WorkspaceID(n), Plan: "p"})
	}
	body, _ := json.Marshal(workspaces)
	return p.Put(ctx, sqlists.KindWorkspaces, revision, body)
}

// TestOperatorRaces lets operators race over a platform that loses writes and
// answers and carries out writes late. The naive acceptor loses changes, and
// one that takes a lost answer for a failure says untrue things; with the
// real one each accepted change stays, each refused change is nowhere, and a
// revision has one change.
func TestOperatorRaces(t *testing.T) {
	for name, by := range map[string]maker{"naive": makeNaive, "hasty": makeHasty} {
		broken := 0
		for seed := range uint64(20) {
			if run(t, seed, 0.08, by).broken() != "" {
				broken++
			}
		}
		t.Logf("%s acceptor broke in %d of 20 seeds", name, broken)
		qt.Assert(t, broken > 0, qt.IsTrue, qt.Commentf("the %s acceptor held", name))
	}
	accepted, refused, unknown := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.SampledFrom([]float64{0, 0.02, 0.08, 0.15}).Draw(rt, "lost")
		result := run(t, seed, lost, makeReal)
		if what := result.broken(); what != "" {
			rt.Fatal(what)
		}
		if lost == 0 && len(result.accepted) == 0 {
			rt.Fatal("no change was accepted")
		}
		accepted += len(result.accepted)
		refused += len(result.refused)
		unknown += len(result.unknown)
	})
	t.Logf("real acceptor: accepted %d, refused %d, unknown %d", accepted, refused, unknown)
	qt.Assert(t, accepted > 0 && refused > 0, qt.IsTrue)
}

// headSwap calls f in place of the first swap of the head.
type headSwap struct {
	sqkv.Store
	f    func(swap func() error) error
	done bool
}

func (h *headSwap) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (version sqkv.Version, err error) {
	if key != "sequoiatack/lists/head" || h.done {
		return h.Store.Swap(ctx, key, expected, value, lease)
	}
	h.done = true
	err = h.f(func() error {
		version, err = h.Store.Swap(ctx, key, expected, value, lease)
		return err
	})
	return version, err
}

// TestLostAnswer has one change meet each way in which a swap of the head can
// be lost.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store *sqstore.Store
		other := func() {
			rival := &sqlists.Acceptor{Store: store.Platform(), Holder: &sqlists.Holder{}}
			at, _ := followed(store.Platform())()
			_, err := rival.Put(t.Context(), sqlists.KindPlans, at, []byte(`[]`))
			qt.Check(t, err, qt.IsNil)
		}
		var conflict *sqlists.ConflictError
		for name, c := range map[string]struct {
			f        func(swap func() error) error
			revision sqid.Revision
			err      any
		}{
			"answer lost": {func(swap func() error) error { _ = swap(); return sqkv.ErrUncertain }, 2, nil},
			"write lost":  {func(func() error) error { return sqkv.ErrUncertain }, 2, nil},
			"superseded": {func(swap func() error) error {
				_ = swap()
				for range 3 {
					other()
				}
				return sqkv.ErrUncertain
			}, 2, nil},
			"overtaken": {func(func() error) error { other(); return sqkv.ErrUncertain }, 0, &conflict},
			"out after the write": {func(swap func() error) error {
				_ = swap()
				store.SetFaults(sqstore.Faults{Down: true})
				return sqkv.ErrUncertain
			}, 0, sqlists.ErrOutcomeUnknown},
			"restored older": {func(swap func() error) error {
				_ = swap()
				store.Restore()
				return sqkv.ErrUncertain
			}, 0, sqlists.ErrOutcomeUnknown},
			"never sent": {func(func() error) error { return sqkv.ErrUnavailable }, 0, sqlists.ErrNotAccepted},
		} {
			store = &sqstore.Store{}
			a := &sqlists.Acceptor{Store: &headSwap{Store: store.Platform(), f: c.f}, Holder: &sqlists.Holder{}}
			other()
			revision, err := a.Put(t.Context(), sqlists.KindPlans, 1, []byte(onePlan))
			qt.Check(t, revision, qt.Equals, c.revision, qt.Commentf("%s: %v", name, err))
			switch want := c.err.(type) {
			case error:
				qt.Check(t, err, qt.ErrorIs, want, qt.Commentf(name))
			case nil:
				qt.Check(t, err, qt.IsNil, qt.Commentf(name))
			default:
				qt.Check(t, err, qt.ErrorAs, want, qt.Commentf(name))
			}
		}
	})
}
