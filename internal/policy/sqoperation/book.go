// Package sqoperation decides whether an operation that a caller has named by
// an idempotency key may run. The keeper of the key's shard holds the book of
// its operations; it records a claim before the run is allowed, so that two
// sends of one operation, through any two daemons, run it once.
//
// The decisions follow the IETF draft "The Idempotency-Key HTTP Header Field":
// a repeat of a finished operation gets the first answer, one of a running
// operation is refused, and a key that comes with another request is an error.
package sqoperation

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Key is an idempotency key of one workspace.
type Key struct {
	Workspace sqid.WorkspaceID
	Text      string
}

// Fingerprint tells requests that use one key apart.
type Fingerprint uint64

// Token names one claim; it is random and made by the entry that claims. A
// claim that is sent again with its token gets the same decision, so that a
// lost answer costs nothing, and only its holder may finish it.
type Token uint64

// Claim asks to run an operation.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	// Deadline is when the run is over, whatever comes of it.
	Deadline time.Time
	// Minted is the epoch that a minted key names, 0 for a caller's own key.
	Minted sqid.Epoch
}

// Verdict is the book's decision on a claim.
type Verdict uint8

// The verdicts. Only Granted allows a run.
const (
	// Uncertain says that the operation may have run, and that its answer is
	// not known; it is the zero value since it is safe.
	Uncertain Verdict = iota
	// Granted allows the holder of the token to run the operation.
	Granted
	// Running says that an earlier claim is still under way.
	Running
	// Replay says that the operation has run; its answer comes with it.
	Replay
	// Mismatch says that the key was used for another request.
	Mismatch
	// Full says that the book takes no more claims now.
	Full
)

// Answer is what a finished operation answered.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header line of an answer.
type Header struct {
	Name, Value string
}

// Outcome is how a granted run has ended.
type Outcome struct {
	Run squnit.RunState
	// Answer is set if the run's answer is known and may be replayed.
	Answer *Answer
}

// Decision is a verdict with what belongs to it.
type Decision struct {
	Verdict Verdict
	// Answer is set with Replay.
	Answer *Answer
}

type state uint8

const (
	stateUncertain state = iota
	stateRunning
	stateFinished
)

// Entry is one operation in a book.
type Entry struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	Deadline    time.Time
	// Claimed is when the claim was granted; the horizon runs from the
	// deadline that it was granted with.
	Claimed time.Time
	Running bool
	// Answer is nil for an operation whose outcome is not known.
	Answer *Answer
}

func (e *Entry) state(now time.Time) state {
	switch {
	case e.Answer != nil:
		return stateFinished
	case e.Running && now.Before(e.Deadline):
		return stateRunning
	default:
		return stateUncertain
	}
}

// Book holds the operations of one shard. Its owner locks it.
type Book struct {
	// Horizon is how long an operation is known after its deadline.
	Horizon time.Duration
	// MaxEntries and MaxBytes bound the book; a claim beyond them is Full.
	MaxEntries int
	MaxBytes   squnit.Bytes
	// CompleteSince is when the book has known every claim of the shard
	// from, and CompleteEpoch the epoch of that time; the zero values say
	// always. Until a horizon later, a key that the book does not know may
	// have run, unless it was minted in that epoch or after it.
	CompleteSince time.Time
	CompleteEpoch sqid.Epoch

	entries map[Key]*Entry
	bytes   squnit.Bytes
}

// Claim decides on c. A grant is in the book from then on.
func (b *Book) Claim(now time.Time, c Claim) Decision {
	if e, ok := b.entries[c.Key]; ok && !b.expired(now, e) {
		return e.decide(now, c)
	}
	switch {
	case !b.complete(now, c.Minted):
		return Decision{Verdict: Uncertain}
	case len(b.entries) >= b.MaxEntries || b.bytes >= b.MaxBytes:
		return Decision{Verdict: Full}
	}
	b.Put(Entry{
		Key: c.Key, Fingerprint: c.Fingerprint, Token: c.Token,
		Deadline: c.Deadline, Claimed: now, Running: true,
	})
	return Decision{Verdict: Granted}
}

// complete reports whether a key that the book does not know has not run.
func (b *Book) complete(now time.Time, minted sqid.Epoch) bool {
	if b.CompleteSince.IsZero() || now.After(b.CompleteSince.Add(b.Horizon)) {
		return true
	}
	return minted != 0 && minted >= b.CompleteEpoch
}

func (e *Entry) decide(now time.Time, c Claim) Decision {
	if e.Fingerprint != c.Fingerprint {
		return Decision{Verdict: Mismatch}
	}
	switch e.state(now) {
	case stateFinished:
		return Decision{Verdict: Replay, Answer: e.Answer}
	case stateRunning:
		if e.Token == c.Token {
			return Decision{Verdict: Granted}
		}
		return Decision{Verdict: Running}
	default:
		return Decision{Verdict: Uncertain}
	}
}

// Finish records how the run of a grant has ended, and reports whether the
// token still held it. A run that did not happen frees the key; one whose
// claim has passed its deadline does not, since the word may be late.
func (b *Book) Finish(now time.Time, k Key, t Token, o Outcome) bool {
	e, ok := b.entries[k]
	if !ok || e.Token != t || !e.Running {
		return false
	}
	if o.Run == squnit.RunNot && now.Before(e.Deadline) {
		b.remove(e)
		return true
	}
	e.Running = false
	if o.Run == squnit.RunDone && o.Answer != nil && b.bytes+o.Answer.size() <= b.MaxBytes {
		e.Answer = o.Answer
		b.bytes += o.Answer.size()
	}
	return true
}

// Put sets an entry as another book has it.
func (b *Book) Put(e Entry) {
	if b.entries == nil {
		b.entries = make(map[Key]*Entry)
	}
	if old, ok := b.entries[e.Key]; ok {
		b.remove(old)
	}
	b.entries[e.Key] = &e
	b.bytes += e.size()
}

// Remove forgets an operation that another book has freed.
func (b *Book) Remove(k Key, t Token) {
	if e, ok := b.entries[k]; ok && e.Token == t {
		b.remove(e)
	}
}

// Get returns the entry of a key.
func (b *Book) Get(k Key) (Entry, bool) {
	e, ok := b.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Tick forgets the operations that are past the horizon.
func (b *Book) Tick(now time.Time) {
	for _, e := range b.entries {
		if b.expired(now, e) {
			b.remove(e)
		}
	}
}

// Each calls f with every entry, in no order, until f returns false.
func (b *Book) Each(f func(Entry) bool) {
	for _, e := range b.entries {
		if !f(*e) {
			return
		}
	}
}

// Len returns the number of operations.
func (b *Book) Len() int { return len(b.entries) }

func (b *Book) expired(now time.Time, e *Entry) bool {
	return now.After(e.Deadline.Add(b.Horizon))
}

func (b *Book) remove(e *Entry) {
	delete(b.entries, e.Key)
	b.bytes -= e.size()
}

// entryBytes is the size of an entry without its texts.
const entryBytes = 160

func (e *Entry) size() squnit.Bytes {
	n := squnit.Bytes(entryBytes + len(e.Key.Workspace) + len(e.Key.Text))
	if e.Answer != nil {
		n += e.Answer.size()
	}
	return n
}

func (a *Answer) size() squnit.Bytes {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return squnit.Bytes(n)
}
