package sqstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqplatform"
)

// Faults are what is wrong with the platform; the zero value is nothing.
type Faults struct {
	// Down has the platform answer nothing and end all watches.
	Down bool `json:"down"`
	// Delay is how much later each call begins.
	Delay sqsettings.Span `json:"delay"`
	// LoseAnswers is the number of writes that take effect and whose answers
	// are lost; a negative number is all.
	LoseAnswers int `json:"loseAnswers"`
	// LoseWrites is the number of writes that are lost before they take
	// effect; a negative number is all.
	LoseWrites int `json:"loseWrites"`
}

// Counts are the calls that the platform has seen, by kind.
type Counts struct {
	Get    int `json:"get"`
	List   int `json:"list"`
	Swap   int `json:"swap"`
	Delete int `json:"delete"`
	Grant  int `json:"grant"`
	Renew  int `json:"renew"`
	Watch  int `json:"watch"`
	// Watching is the number of watches that wait now.
	Watching int `json:"watching"`
}

// Total returns the number of calls, each watch counted once.
func (c Counts) Total() int {
	return c.Get + c.List + c.Swap + c.Delete + c.Grant + c.Renew + c.Watch
}

func (c *Counts) add(kind sqplatform.CallKind) {
	switch kind {
	case sqplatform.CallGet:
		c.Get++
	case sqplatform.CallList:
		c.List++
	case sqplatform.CallSwap:
		c.Swap++
	case sqplatform.CallDelete:
		c.Delete++
	case sqplatform.CallGrant:
		c.Grant++
	case sqplatform.CallRenew:
		c.Renew++
	case sqplatform.CallWatch:
		c.Watch++
	}
}

var (
	errDown       = errors.New("platform is down")
	errAnswerLost = errors.New("answer was lost")
)

// SetFaults sets all faults; it returns once they hold.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	turned := f.Down != s.faults.Down
	s.faults = f
	if turned && f.Down {
		s.cutWatches()
	}
	hooks := s.onDown
	s.mu.Unlock()
	if turned {
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

// Counts returns the calls seen since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// begin counts a call and holds it back as the faults say.
func (s *Store) begin(ctx context.Context, kind sqplatform.CallKind) error {
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

// write runs the write f as the faults say. A write that is held back takes
// effect even if its caller has gone.
func (s *Store) write(ctx context.Context, kind sqplatform.CallKind, f func() error) error {
	if err := s.begin(context.WithoutCancel(ctx), kind); err != nil {
		return err
	}
	if s.take(func(f *Faults) *int { return &f.LoseWrites }) {
		return errAnswerLost
	}
	err := f()
	if s.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		return errAnswerLost
	}
	return err
}

// take uses up one of a counted fault and reports whether it holds.
func (s *Store) take(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
