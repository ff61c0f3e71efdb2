package sqfleet

import (
	"context"
	"time"
)

const allReadyTimeout = 20 * time.Second

// WaitReady waits until every daemon reports that it is ready: it has the
// lists, and the data centres of a new fleet have agreed on their shares of the
// workspaces' rates.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, allReadyTimeout)
	defer cancel()
	for _, d := range f.daemons {
		if err := f.WaitDaemonReady(ctx, d); err != nil {
			return err
		}
	}
	return nil
}
