package sqledger

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqplatform"
)

// memory is a platform in memory that can be down, cut off, or lose answers.
type memory struct {
	mu      sync.Mutex
	version sqplatform.Version
	records map[string]sqplatform.Record
	old     map[string]sqplatform.Record
	down    bool
	lose    bool
	calls   int
}

// remember keeps the records of now for a later restore.
func (m *memory) remember() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.old = maps.Clone(m.records)
}

// restore has the platform come back with the older records.
func (m *memory) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = maps.Clone(m.old)
}

func (m *memory) get(key string) sqplatform.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records[key]
}

// access is one daemon's way to the platform.
type access struct {
	sqplatform.Store
	m    *memory
	n    *node
	f    *fleet
	wait time.Duration
}

func (a access) enter(ctx context.Context) error {
	time.Sleep(a.wait)
	a.n.gate()
	a.f.mu.Lock()
	cut := a.f.platformCut[a.n.dc] || a.f.isolated[string(a.n.Self.Daemon)]
	a.f.mu.Unlock()
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	a.m.calls++
	if ctx.Err() != nil || a.m.down || cut || a.n.isDead() {
		return sqplatform.ErrUnavailable
	}
	return nil
}

func (a access) leave(ctx context.Context) error {
	time.Sleep(a.wait)
	a.n.gate()
	return ctx.Err()
}

func (a access) Get(ctx context.Context, key string) (sqplatform.Record, error) {
	if err := a.enter(ctx); err != nil {
		return sqplatform.Record{}, err
	}
	a.m.mu.Lock()
	r := a.m.records[key]
	a.m.mu.Unlock()
	return r, a.leave(ctx)
}

func (a access) List(ctx context.Context, prefix string) ([]sqplatform.Record, sqplatform.Version, error) {
	if err := a.enter(ctx); err != nil {
		return nil, 0, err
	}
	a.m.mu.Lock()
	var all []sqplatform.Record
	for _, r := range a.m.records {
		if strings.HasPrefix(r.Key, prefix) {
			all = append(all, r)
		}
	}
	version := a.m.version
	a.m.mu.Unlock()
	slices.SortFunc(all, func(x, y sqplatform.Record) int { return strings.Compare(x.Key, y.Key) })
	return all, version, a.leave(ctx)
}

func (a access) Swap(ctx context.Context, key string, expected sqplatform.Version, value []byte, _ sqplatform.LeaseID) (sqplatform.Version, error) {
	if err := a.enter(ctx); err != nil {
		return 0, err
	}
	a.m.mu.Lock()
	if a.m.records[key].Version != expected {
		a.m.mu.Unlock()
		return 0, sqplatform.ErrConflict
	}
	a.m.version++
	a.m.records[key] = sqplatform.Record{Key: key, Value: value, Version: a.m.version}
	lose, version := a.m.lose, a.m.version
	a.m.mu.Unlock()
	if err := a.leave(ctx); err != nil || lose {
		return 0, sqplatform.ErrUncertain
	}
	return version, nil
}
