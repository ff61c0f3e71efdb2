package sqtargetstand

import (
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
)

// Behaviour is what a target does wrong. Its zero value is a healthy target.
type Behaviour struct {
	// Slow multiplies the service time; 0 is 1.
	Slow float64 `toml:"slow" json:"slow"`
	// ColdFor is the time after the start, or after the last Restart, in which
	// the service time falls from ColdFactor times the usual to the usual.
	ColdFor    sqsettings.Span `toml:"coldFor" json:"coldFor"`
	ColdFactor float64         `toml:"coldFactor" json:"coldFactor"`
	// ShedAbove sheds a call that finds this many waiting; 0 never sheds.
	ShedAbove int `toml:"shedAbove" json:"shedAbove"`
	// ShedAll sheds every call.
	ShedAll bool `toml:"shedAll" json:"shedAll"`
	// FailEvery has each n-th run end with 500; 0 has none.
	FailEvery int `toml:"failEvery" json:"failEvery"`
	// TruncateEvery cuts the answer of each n-th run in its middle.
	TruncateEvery int `toml:"truncateEvery" json:"truncateEvery"`
	// HangEvery has each n-th run last until its caller leaves.
	HangEvery int `toml:"hangEvery" json:"hangEvery"`
	// CrossEvery sends the answer of each n-th run a second time on the same
	// HTTP/1.1 connection, where the next request could take it for its own.
	CrossEvery int `toml:"crossEvery" json:"crossEvery"`
	// LoadLie is what the load endpoint reports instead of the truth, from 0
	// to 1, while LoadLies is set.
	LoadLie float64 `toml:"loadLie" json:"loadLie"`
	// LoadLies is whether LoadLie is in force.
	LoadLies bool `toml:"loadLies" json:"loadLies"`
}

// behaviourBox holds the behaviour in force and the moment of its cold start.
type behaviourBox struct {
	mu    sync.Mutex
	value Behaviour
	cold  time.Time
}

func (b *behaviourBox) get() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value
}

func (b *behaviourBox) set(v Behaviour, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.ColdFor > 0 && b.value.ColdFor != v.ColdFor || b.cold.IsZero() {
		b.cold = now
	}
	b.value = v
}

// factor returns what the service time is multiplied with at now.
func (b *behaviourBox) factor(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value.factor(now.Sub(b.cold))
}

func (b Behaviour) factor(sinceCold time.Duration) float64 {
	f := b.Slow
	if f <= 0 {
		f = 1
	}
	cold := time.Duration(b.ColdFor)
	if cold <= 0 || sinceCold >= cold || b.ColdFactor <= 1 {
		return f
	}
	left := 1 - float64(sinceCold)/float64(cold)
	return f * (1 + left*(b.ColdFactor-1))
}

// nth reports whether the run with number n, from 1, is one of every.
func nth(n uint64, every int) bool {
	return every > 0 && n%uint64(every) == 0
}
