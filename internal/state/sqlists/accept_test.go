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

// flakyStore delays each call. It loses writes or their answers, or carries out
// writes after the caller got an error.
type flakyStore struct {
	sqkv.Store

	mu   sync.Mutex
	rng  *rand.Rand
	lost float64 // fraction of the calls, for each kind of loss
}

// roll sleeps for a random time below longest and returns a random number from
// 0 to 1.
func (f *flakyStore) roll(longest time.Duration) float64 {
	f.mu.Lock()
	wait, roll := time.Duration(f.rng.Int64N(int64(longest))), f.rng.Float64()
	f.mu.Unlock()
	time.Sleep(wait)
	return roll
}

func (f *flakyStore) Get(ctx context.Context, key string) (sqkv.Record, error) {
	if f.roll(30*time.Millisecond) < f.lost {
		return sqkv.Record{}, sqkv.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *flakyStore) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error) {
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

// hastyStore reports a write with a lost answer as one that has failed.
type hastyStore struct {
	*flakyStore
}

func (h hastyStore) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error) {
	version, err := h.flakyStore.Swap(ctx, key, expected, value, lease)
	if errors.Is(err, sqkv.ErrUncertain) {
		err = sqkv.ErrUnavailable
	}
	return version, err
}

// listPutter is an acceptor under test.
type listPutter interface {
	Put(ctx context.Context, k sqlists.Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error)
}

// naiveAcceptor is a faulty acceptor: it checks the revision, but then overwrites
// whatever the head has become.
type naiveAcceptor struct {
	store sqkv.Store
}

type naiveHead struct {
	Revision sqid.Revision
	Body     json.RawMessage
}

func (n naiveAcceptor) read(ctx context.Context) (naiveHead, sqkv.Version, error) {
	r, err := n.store.Get(ctx, "naive")
	h := naiveHead{Body: json.RawMessage("[]")}
	if err == nil && r.Version > 0 {
		err = json.Unmarshal(r.Value, &h)
	}
	return h, r.Version, err
}

func (n naiveAcceptor) Put(ctx context.Context, _ sqlists.Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error) {
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

// raceResult is the result of operators who each added their own workspaces.
type raceResult struct {
	// Names of workspaces, by the outcome of the change that added them.
	accepted, refused, unknown []string
	// stored are the workspaces in the platform at the end.
	stored []string
	// revisions is the number of accepted changes by revision.
	revisions map[sqid.Revision]int
}

// violation returns an outcome that contradicts what is stored, or "" if there
// is none.
func (r raceResult) violation() string {
	stored := make(map[string]bool)
	for _, name := range r.stored {
		stored[name] = true
	}
	for _, name := range r.accepted {
		if !stored[name] {
			return "accepted change was lost: " + name
		}
	}
	for _, name := range r.refused {
		if stored[name] {
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

// runRace runs concurrent operators and reads the stored lists after all delayed
// writes.
func runRace(t *testing.T, seed uint64, lost float64, by newAcceptor) raceResult {
	result := raceResult{revisions: make(map[sqid.Revision]int)}
	synctest.Test(t, func(t *testing.T) {
		core := (&sqstore.Store{}).Platform()
		store := &flakyStore{Store: core, rng: rand.New(rand.NewPCG(seed, 0)), lost: lost}
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
		_, result.stored = read()
	})
	return result
}

func (r *raceResult) note(name string, revision sqid.Revision, err error) {
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

// newAcceptor returns the acceptor of one operator's daemon and a reader of what
// it stores.
type newAcceptor func(store *flakyStore, core sqkv.Store) (listPutter, reader)

func makeNaive(store *flakyStore, core sqkv.Store) (listPutter, reader) {
	return naiveAcceptor{store}, func() (sqid.Revision, []string) {
		h, _, _ := naiveAcceptor{core}.read(context.Background())
		return h.Revision, names(h.Body)
	}
}

func makeHasty(store *flakyStore, core sqkv.Store) (listPutter, reader) {
	return &sqlists.Acceptor{Store: hastyStore{store}, Holder: &sqlists.Holder{}}, readAsNewDaemon(core)
}

func makeReal(store *flakyStore, core sqkv.Store) (listPutter, reader) {
	return &sqlists.Acceptor{Store: store, Holder: &sqlists.Holder{}}, readAsNewDaemon(core)
}

// readAsNewDaemon returns a reader that reads the lists as a daemon that has just
// started.
func readAsNewDaemon(core sqkv.Store) reader {
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

// add adds a workspace to the lists that read returns.
func add(ctx context.Context, p listPutter, read func() (sqid.Revision, []string), name string) (sqid.Revision, error) {
	revision, have := read()
	var workspaces []sqlists.Workspace
	for _, n := range append(have, name) {
		workspaces = append(workspaces, sqlists.Workspace{Name: sqid.WorkspaceID(n), Plan: "p"})
	}
	body, _ := json.Marshal(workspaces)
	return p.Put(ctx, sqlists.KindWorkspaces, revision, body)
}

// TestOperatorRaces runs concurrent operators on a platform that loses writes and
// answers and delays writes. Each accepted change must be stored, no refused
// change may be, and each revision has one change. To show that the test finds
// faults, a naive acceptor and one that takes a lost answer for a failure must
// break these rules.
func TestOperatorRaces(t *testing.T) {
	for name, by := range map[string]newAcceptor{"naive": makeNaive, "hasty": makeHasty} {
		violations := 0
		for seed := range uint64(20) {
			if runRace(t, seed, 0.08, by).violation() != "" {
				violations++
			}
		}
		t.Logf("%s acceptor broke in %d of 20 seeds", name, violations)
		qt.Assert(t, violations > 0, qt.IsTrue, qt.Commentf("the %s acceptor held", name))
	}
	accepted, refused, unknown := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.SampledFrom([]float64{0, 0.02, 0.08, 0.15}).Draw(rt, "lost")
		result := runRace(t, seed, lost, makeReal)
		if violation := result.violation(); violation != "" {
			rt.Fatal(violation)
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

// headSwap is a store that calls f instead of the first swap of the head.
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

// TestLostAnswer checks the outcome of a change for each way in which the swap of
// the head can fail.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store *sqstore.Store
		other := func() {
			rival := &sqlists.Acceptor{Store: store.Platform(), Holder: &sqlists.Holder{}}
			at, _ := readAsNewDaemon(store.Platform())()
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
