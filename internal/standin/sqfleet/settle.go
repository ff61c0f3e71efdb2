package sqfleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

const (
	settledFor     = 3 * time.Second
	settleTimeout  = 20 * time.Second
	settlePollEach = 200 * time.Millisecond
)

// WaitSettled waits until no shard has moved between the daemons for a few
// seconds, as they do while daemons join.
func (f *Fleet) WaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	last, since := "", time.Now()
	for time.Since(since) < settledFor {
		now, err := f.shards(ctx)
		if err != nil {
			return err
		}
		if now != last {
			last, since = now, time.Now()
		}
		select {
		case <-time.After(settlePollEach):
		case <-ctx.Done():
			return errors.Errorf("shards still move after %v", settleTimeout)
		}
	}
	return nil
}

// shards returns which daemon keeps which shards, as text to compare.
func (f *Fleet) shards(ctx context.Context) (string, error) {
	all := make(map[string]any)
	for _, d := range f.daemons {
		status, err := f.Status(ctx, d)
		if err != nil {
			return "", errors.Wrapf(err, "status of %s", d.Name)
		}
		all[d.Name] = status["shards"]
	}
	text, err := json.Marshal(all)
	return string(text), err
}
