package sqfleet

import (
	"context"
	"time"
)

const settleTimeout = 20 * time.Second

// WaitSettled waits until every daemon says that it is ready: it knows the
// lists, and the data centres of a new fleet have agreed on their shares.
func (f *Fleet) WaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, d := range f.daemons {
		if err := f.WaitDaemon(ctx, d); err != nil {
			return err
		}
	}
	return nil
}
