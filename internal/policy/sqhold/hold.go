// Package sqhold bounds the memory that a daemon holds for all its calls together. Calls
// whose bytes are still under way take a part of the budget; beyond it, those that hold
// most give way, so that the others go on.
package sqhold

import (
	"io"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Budget is the memory for the bytes of all calls. Its methods are safe for concurrent use;
// nil has no limit.
type Budget struct {
	// Limit is the memory for all calls, in bytes; 0 sets no limit.
	Limit squnit.Bytes

	mu    sync.Mutex
	held  squnit.Bytes
	parts map[*Part]struct{}
}

// Part is what one call holds.
type Part struct {
	budget  *Budget
	giveWay func()
	began   time.Time

	// The budget's mu guards these. passed is the number of bytes that have passed through
	// the call, gaveWay is set once it has been told to give way.
	held, passed squnit.Bytes
	gaveWay      bool
}

// Open adds a call that holds n bytes. giveWay is called at most once, in a goroutine of
// its own, if the call must end for others. Close must be called in any case.
func (b *Budget) Open(n squnit.Bytes, giveWay func()) *Part {
	if b == nil || b.Limit <= 0 {
		return nil
	}
	p := &Part{budget: b, giveWay: giveWay, began: time.Now(), held: n}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.parts == nil {
		b.parts = make(map[*Part]struct{})
	}
	b.parts[p] = struct{}{}
	b.held += n
	b.relieve()
	return p
}

// Pass notes that n more bytes have passed through the call.
func (p *Part) Pass(n int) {
	if p == nil {
		return
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.passed += squnit.Bytes(n)
}

// Reader returns a reader that notes what is read of r.
func (p *Part) Reader(r io.Reader) io.Reader { return reader{r, p} }

// reader is a reader of bytes that pass through a call.
type reader struct {
	io.Reader
	part *Part
}

// Read reads the next bytes.
func (r reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.part.Pass(n)
	return n, err
}

// Close removes the call.
func (p *Part) Close() {
	if p == nil {
		return
	}
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.parts[p]; !ok {
		return
	}
	delete(b.parts, p)
	if !p.gaveWay {
		b.held -= p.held
	}
}

// Held returns the memory that all calls hold that have not been told to give way.
func (b *Budget) Held() squnit.Bytes {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// relieve has calls give way until the others are within the limit.
func (b *Budget) relieve() {
	for b.held > b.Limit {
		worst := b.worst()
		if worst == nil {
			return
		}
		worst.gaveWay = true
		b.held -= worst.held
		go worst.giveWay()
	}
}

// worst returns the call that gives way first: the one through which most bytes have
// passed, which is the surest sign of an answer without end, and of those the oldest.
func (b *Budget) worst() *Part {
	var worst *Part
	for p := range b.parts {
		if p.gaveWay {
			continue
		}
		if worst == nil || p.passed > worst.passed || p.passed == worst.passed && p.began.Before(worst.began) {
			worst = p
		}
	}
	return worst
}
