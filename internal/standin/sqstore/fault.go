package sqstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqetcd"
)

// Faults are the simulated faults of the platform. The zero value has none.
type Faults struct {
	// Down makes all calls fail, ends all watches and closes the gRPC port of a
	// Server.
	Down bool `json:"down"`
	// Delay is added before each call.
	Delay sqsettings.Span `json:"delay"`
	// LoseAnswers is the number of writes that take effect but whose answers
	// are lost; if it is negative, all answers of writes are lost.
	LoseAnswers int `json:"loseAnswers"`
	// LoseWrites is the number of writes that are lost before they take
	// effect; if it is negative, all writes are lost.
	LoseWrites int `json:"loseWrites"`
}

// Counts holds the number of calls received, by kind. Failed calls count too.
type Counts struct {
	Get    int `json:"get"`
	List   int `json:"list"`
	Swap   int `json:"swap"`
	Delete int `json:"delete"`
	Grant  int `json:"grant"`
	Renew  int `json:"renew"`
	Watch  int `json:"watch"`
	// Watching is the number of open watches.
	Watching int `json:"watching"`
}

// Total returns the number of calls of all kinds. A watch counts once, however
// many events it delivers.
func (c Counts) Total() int {
	return c.Get + c.List + c.Swap + c.Delete + c.Grant + c.Renew + c.Watch
}

func (c *Counts) add(kind sqetcd.CallKind) {
	switch kind {
	case sqetcd.CallGet:
		c.Get++
	case sqetcd.CallList:
		c.List++
	case sqetcd.CallSwap:
		c.Swap++
	case sqetcd.CallDelete:
		c.Delete++
	case sqetcd.CallGrant:
		c.Grant++
	case sqetcd.CallRenew:
		c.Renew++
	case sqetcd.CallWatch:
		c.Watch++
	}
}

var (
	errDown       = errors.New("platform is down")
	errAnswerLost = errors.New("answer was lost")
)

// SetFaults replaces all faults. When it returns, they are in force and a Server
// has closed or reopened its port.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	downChanged := f.Down != s.faults.Down
	s.faults = f
	if downChanged && f.Down {
		s.cancelWatches()
	}
	hooks := s.onDownChange
	s.mu.Unlock()
	if downChanged {
		for _, hook := range hooks {
			hook(f.Down)
		}
	}
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the calls received since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// beginCall counts a call and applies the faults Down and Delay to it.
func (s *Store) beginCall(ctx context.Context, kind sqetcd.CallKind) error {
	s.mu.Lock()
	s.counts.add(kind)
	f := s.faults
	s.mu.Unlock()
	if f.Down {
		return errDown
	}
	if f.Delay <= 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(f.Delay)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write counts a write, applies the faults to it and runs f unless it is lost. A
// delayed write takes effect even if its caller has gone.
func (s *Store) write(ctx context.Context, kind sqetcd.CallKind, f func() error) error {
	if err := s.beginCall(context.WithoutCancel(ctx), kind); err != nil {
		return err
	}
	if s.consumeFault(func(f *Faults) *int { return &f.LoseWrites }) {
		return errAnswerLost
	}
	err := f()
	if s.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		return errAnswerLost
	}
	return err
}

// consumeFault reports whether a counted fault applies to the current call, and
// decrements the count if it is positive.
func (s *Store) consumeFault(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
