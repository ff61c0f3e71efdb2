// Package sqoperation decides whether an operation, a non-idempotent request with an
// idempotency key, may run. The keeper of the key's shard holds a table of dedup
// records, one for each operation. It records a claim before it allows the run, so
// that an operation sent twice, through any two daemons, runs once.
//
// The decisions follow the IETF draft "The Idempotency-Key HTTP Header Field": a
// repeat of a finished operation gets the first answer, a repeat of a running
// operation is refused, and using a key for a different request is an error.
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

// Fingerprint is a hash of a request; it shows whether a key is used for different
// requests.
type Fingerprint uint64

// Token identifies a claim. It is random and made by the entry that claims. A claim
// sent again with the same token gets the same decision, so that losing an answer
// does no harm, and only the holder of the token may finish the claim.
type Token uint64

// Claim asks for permission to run an operation.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	// Deadline is when the run is over, whatever its outcome.
	Deadline time.Time
	// Minted is the epoch in a key minted by a daemon, 0 for a key chosen by the
	// caller.
	Minted sqid.Epoch
}

// Verdict is the table's decision on a claim.
type Verdict uint8

// The verdicts. Only Granted allows a run.
const (
	// Uncertain says that the operation may have run and that its answer is not
	// known. It is the zero value because it is the safe one.
	Uncertain Verdict = iota
	// Granted allows the holder of the token to run the operation.
	Granted
	// Running says that an earlier claim is still in progress.
	Running
	// Replay says that the operation has run; the decision carries its answer.
	Replay
	// Mismatch says that the key was used for a different request.
	Mismatch
	// Full says that the table has no space for another claim.
	Full
)

// Answer is the answer of a finished operation.
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
	// Answer is set if the answer is known and may be replayed.
	Answer *Answer
}

// Decision is a verdict with its answer, if it has one.
type Decision struct {
	Verdict Verdict
	// Answer is set if the verdict is Replay.
	Answer *Answer
}

type state uint8

const (
	stateUncertain state = iota
	stateRunning
	stateFinished
)

// Record is the dedup record of one operation.
type Record struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	Deadline    time.Time
	// Claimed is when the claim was granted. The dedup window starts at the deadline
	// of that claim.
	Claimed time.Time
	Running bool
	// Answer is nil for an operation whose outcome is not known.
	Answer *Answer
}

func (e *Record) state(now time.Time) state {
	switch {
	case e.Answer != nil:
		return stateFinished
	case e.Running && now.Before(e.Deadline):
		return stateRunning
	default:
		return stateUncertain
	}
}

// DedupTable holds the dedup records of one shard. Its owner must serialise access
// to it.
type DedupTable struct {
	// DedupWindow is how long a record is kept after its deadline.
	DedupWindow time.Duration
	// MaxRecords and MaxBytes limit the table; a claim beyond them gets the verdict
	// Full.
	MaxRecords int
	MaxBytes   squnit.Bytes
	// CompleteSince is the time since which the table has recorded every claim of the
	// shard, and CompleteEpoch the epoch at that time. The zero values mean that it
	// always has. Until one dedup window after CompleteSince, a key without a record
	// may have run, unless it was minted in CompleteEpoch or later.
	CompleteSince time.Time
	CompleteEpoch sqid.Epoch

	entries map[Key]*Record
	bytes   squnit.Bytes
}

// Claim decides on c. If it grants the claim, it has recorded it.
func (d *DedupTable) Claim(now time.Time, c Claim) Decision {
	if e, ok := d.entries[c.Key]; ok && !d.expired(now, e) {
		return e.decide(now, c)
	}
	switch {
	case !d.coversKey(now, c.Minted):
		return Decision{Verdict: Uncertain}
	case len(d.entries) >= d.MaxRecords || d.bytes >= d.MaxBytes:
		return Decision{Verdict: Full}
	}
	d.Put(Record{
		Key: c.Key, Fingerprint: c.Fingerprint, Token: c.Token,
		Deadline: c.Deadline, Claimed: now, Running: true,
	})
	return Decision{Verdict: Granted}
}

// coversKey reports whether a key without a record is known not to have run.
func (d *DedupTable) coversKey(now time.Time, minted sqid.Epoch) bool {
	if d.CompleteSince.IsZero() || now.After(d.CompleteSince.Add(d.DedupWindow)) {
		return true
	}
	return minted != 0 && minted >= d.CompleteEpoch
}

func (e *Record) decide(now time.Time, c Claim) Decision {
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

// Finish records how a granted run has ended, and reports whether the token still
// held the claim. A run that did not happen frees the key. After the claim's deadline
// it does not, since by then the report may be outdated.
func (d *DedupTable) Finish(now time.Time, k Key, t Token, o Outcome) bool {
	e, ok := d.entries[k]
	if !ok || e.Token != t || !e.Running {
		return false
	}
	if o.Run == squnit.RunNot && now.Before(e.Deadline) {
		d.remove(e)
		return true
	}
	e.Running = false
	if o.Run == squnit.RunDone && o.Answer != nil && d.bytes+o.Answer.size() <= d.MaxBytes {
		e.Answer = o.Answer
		d.bytes += o.Answer.size()
	}
	return true
}

// Put stores a record copied from another table.
func (d *DedupTable) Put(e Record) {
	if d.entries == nil {
		d.entries = make(map[Key]*Record)
	}
	if old, ok := d.entries[e.Key]; ok {
		d.remove(old)
	}
	d.entries[e.Key] = &e
	d.bytes += e.size()
}

// Remove deletes the record of an operation that another table has freed.
func (d *DedupTable) Remove(k Key, t Token) {
	if e, ok := d.entries[k]; ok && e.Token == t {
		d.remove(e)
	}
}

// Get returns the record of a key.
func (d *DedupTable) Get(k Key) (Record, bool) {
	e, ok := d.entries[k]
	if !ok {
		return Record{}, false
	}
	return *e, true
}

// Tick deletes the records whose dedup window has passed.
func (d *DedupTable) Tick(now time.Time) {
	for _, e := range d.entries {
		if d.expired(now, e) {
			d.remove(e)
		}
	}
}

// Each calls f with every record, in no particular order, until f returns false.
func (d *DedupTable) Each(f func(Record) bool) {
	for _, e := range d.entries {
		if !f(*e) {
			return
		}
	}
}

// Len returns the number of records.
func (d *DedupTable) Len() int { return len(d.entries) }

func (d *DedupTable) expired(now time.Time, e *Record) bool {
	return now.After(e.Deadline.Add(d.DedupWindow))
}

func (d *DedupTable) remove(e *Record) {
	delete(d.entries, e.Key)
	d.bytes -= e.size()
}

// entryOverhead is the size of a record, in bytes, without its strings and answer.
const entryOverhead = 160

func (e *Record) size() squnit.Bytes {
	n := squnit.Bytes(entryOverhead + len(e.Key.Workspace) + len(e.Key.Text))
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
