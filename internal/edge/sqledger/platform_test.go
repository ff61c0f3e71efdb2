package sqledger

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// memory is a platform in memory that can be down, cut off, or lose answers.
type memory struct {
	mu      sync.Mutex
	version sqkv.Version
	records map[string]sqkv.Record
	old     map[string]sqkv.Record
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

func (m *memory) get(key string) sqkv.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records[key]
}

// access is one daemon's way to the platform.
type access struct {
	sqkv.Store
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
		return sqkv.ErrUnavailable
	}
	return nil
}

func (a access) leave(ctx context.Context) error {
	time.Sleep(a.wait)
	a.n.gate()
	return ctx.Err()
}

func (a access) Get(ctx context.Context, key string) (sqkv.Record, error) {
	if err := a.enter(ctx); err != nil {
		return sqkv.Record{}, err
	}
	a.m.mu.Lock()
	r := a.m.records[key]
	a.m.mu.Unlock()
	return r, a.leave(ctx)
}

func (a access) List(ctx context.Context, prefix string) ([]sqkv.Record, sqkv.Version, error) {
	if err := a.enter(ctx); err != nil {
		return nil, 0, err
	}
	a.m.mu.Lock()
	var all []sqkv.Record
	for _, r := range a.m.records {
		if strings.HasPrefix(r.Key, prefix) {
			all = append(all, r)
		}
	}
	version := a.m.version
	a.m.mu.Unlock()
	slices.SortFunc(all, func(x, y sqkv.Record) int { return strings.Compare(x.Key, y.Key) })
	return all, version, a.leave(ctx)
}

func (a access) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, _ sqkv.LeaseID) (sqkv.Version, error) {
	if err := a.enter(ctx); err != nil {
		return 0, err
	}
	a.m.mu.Lock()
	if a.m.records[key].Version != expected {
		a.m.mu.Unlock()
		return 0, sqkv.ErrConflict
	}
	a.m.version++
	a.m.records[key] = sqkv.Record{Key: key, Value: value, Version: a.m.version}
	lose, version := a.m.lose, a.m.version
	a.m.mu.Unlock()
	if err := a.leave(ctx); err != nil || lose {
		return 0, sqkv.ErrUncertain
	}
	return version, nil
}
