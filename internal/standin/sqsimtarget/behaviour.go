package sqsimtarget

import (
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
)

// Behaviour holds the simulated faults of a target. The zero value is a healthy
// target; in particular, a field ending in Every is off if it is 0.
type Behaviour struct {
	// SlowFactor is a factor of the service time; 0 means 1.
	SlowFactor float64 `toml:"slow" json:"slow"`
	// ColdFor is the time after the start, or after a change of ColdFor, in which
	// the service time falls linearly from ColdFactor times the normal one to the
	// normal one.
	ColdFor    sqsettings.Span `toml:"coldFor" json:"coldFor"`
	ColdFactor float64         `toml:"coldFactor" json:"coldFactor"`
	// ShedAbove sheds a call if this many others already wait for a slot; 0 sheds
	// none.
	ShedAbove int `toml:"shedAbove" json:"shedAbove"`
	// ShedAll sheds all calls.
	ShedAll bool `toml:"shedAll" json:"shedAll"`
	// FailEvery makes each n-th run answer with status 500.
	FailEvery int `toml:"failEvery" json:"failEvery"`
	// TruncateEvery ends the answer of each n-th run after half of its body.
	TruncateEvery int `toml:"truncateEvery" json:"truncateEvery"`
	// HangEvery makes each n-th run hang until its caller cancels it.
	HangEvery int `toml:"hangEvery" json:"hangEvery"`
	// DuplicateEvery sends the answer of each n-th run twice on its HTTP/1.1
	// connection, where the copy could be taken for the answer to the next
	// request.
	DuplicateEvery int `toml:"crossEvery" json:"crossEvery"`
	// FalseLoad is the load, from 0 to 1, that the load endpoint reports instead of
	// the real one if ReportFalseLoad is set.
	FalseLoad float64 `toml:"loadLie" json:"loadLie"`
	// ReportFalseLoad enables FalseLoad.
	ReportFalseLoad bool `toml:"loadLies" json:"loadLies"`
}

// behaviourState holds the current behaviour. Its methods may be called
// concurrently.
type behaviourState struct {
	// mu guards the fields below.
	mu    sync.Mutex
	value Behaviour
	// coldStart is when the cold start began.
	coldStart time.Time
}

func (b *behaviourState) get() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value
}

func (b *behaviourState) set(v Behaviour, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.ColdFor > 0 && b.value.ColdFor != v.ColdFor || b.coldStart.IsZero() {
		b.coldStart = now
	}
	b.value = v
}

// factor returns the factor of the service time at now.
func (b *behaviourState) factor(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value.factor(now.Sub(b.coldStart))
}

func (b Behaviour) factor(sinceColdStart time.Duration) float64 {
	f := b.SlowFactor
	if f <= 0 {
		f = 1
	}
	coldFor := time.Duration(b.ColdFor)
	if coldFor <= 0 || sinceColdStart >= coldFor || b.ColdFactor <= 1 {
		return f
	}
	remaining := 1 - float64(sinceColdStart)/float64(coldFor)
	return f * (1 + remaining*(b.ColdFactor-1))
}

// isNth reports whether run number n, counted from 1, is a multiple of every;
// it is false if every is 0.
func isNth(n uint64, every int) bool {
	return every > 0 && n%uint64(every) == 0
}
