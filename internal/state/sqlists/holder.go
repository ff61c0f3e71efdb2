package sqlists

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
)

// maxClockSkew is how far ahead of this daemon's clock another's may be.
const maxClockSkew = time.Minute

// IgnoreReason is the reason why received lists were not applied.
type IgnoreReason string

// The reasons why lists are ignored.
const (
	// IgnoredOlder lists have a lower revision than those in force.
	IgnoredOlder IgnoreReason = "older"
	// IgnoredDiverged lists have the revision in force but other contents.
	IgnoredDiverged IgnoreReason = "diverged"
	// IgnoredInvalid lists have faults or the wrong digests.
	IgnoredInvalid IgnoreReason = "invalid"
)

// Holder holds the lists in force. Both are replaced together, and only by lists
// of a higher revision. The zero value has empty lists at revision 0. Its
// methods may be called concurrently.
type Holder struct {
	Logger logr.Logger
	// Metrics gets the number of ignored lists and the revision in force; it
	// may be nil.
	Metrics *sqmetric.Set

	active atomic.Pointer[inForce] // nil stands for emptyInForce
	// confirmed is when the platform's head was last confirmed not to be newer
	// than the lists in force, in milliseconds since 1970; 0 if never.
	confirmed atomic.Int64
	// evidenceSpread is the time of the newest evidence that any daemon has
	// published, in milliseconds since 1970.
	evidenceSpread atomic.Int64

	// mu serializes changes of active and guards subscribers.
	mu          sync.Mutex
	subscribers []func(*Index)
}

// inForce are lists with the index and the fact that are derived from them.
type inForce struct {
	accepted *Accepted
	index    *Index
	fact     []byte
}

var emptyInForce = sync.OnceValue(func() *inForce {
	return newInForce(emptyAccepted())
})

func newInForce(a *Accepted) *inForce {
	return &inForce{accepted: a, index: NewIndex(a.Lists), fact: encodeFact(a)}
}

func (h *Holder) load() *inForce {
	if f := h.active.Load(); f != nil {
		return f
	}
	return emptyInForce()
}

// Index returns the index of the lists in force; it is never nil.
func (h *Holder) Index() *Index {
	return h.load().index
}

// Accepted returns the lists in force; they must not be changed.
func (h *Holder) Accepted() *Accepted {
	return h.load().accepted
}

// Revision returns the revision in force.
func (h *Holder) Revision() sqid.Revision {
	return h.load().accepted.Head.Revision
}

// Fact returns the version and value of the fact FactLists for the lists in
// force.
func (h *Holder) Fact() (version uint64, body []byte) {
	f := h.load()
	return uint64(f.accepted.Head.Revision), f.fact
}

// Subscribe calls f, in order, with each index that comes into force from now
// on. f must not block and must not call Apply.
func (h *Holder) Subscribe(f func(*Index)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, f)
}

// Apply puts lists in force if they have no faults and a higher revision than
// those in force. It reports whether it did.
func (h *Holder) Apply(l Lists) bool {
	if faults := Check(l); len(faults) > 0 {
		h.ignore(IgnoredInvalid, l.Revision, faults)
		return false
	}
	a, err := encodeLists(l, Head{}, "")
	if err != nil {
		h.ignore(IgnoredInvalid, l.Revision, err)
		return false
	}
	return h.apply(a)
}

// ApplyFact checks the fact FactLists of another daemon and puts its lists in
// force if their revision is higher.
func (h *Holder) ApplyFact(version uint64, body []byte) {
	if version <= uint64(h.Revision()) {
		return
	}
	a, err := decodeFact(version, body)
	if err != nil {
		h.ignore(IgnoredInvalid, sqid.Revision(version), err)
		return
	}
	h.apply(a)
}

// apply puts checked lists in force if their revision is higher, and reports
// whether it did.
func (h *Holder) apply(a *Accepted) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.load().accepted.Head
	switch {
	case a.Head.Revision < current.Revision:
		h.ignore(IgnoredOlder, a.Head.Revision, nil)
		return false
	case a.Head.Revision == current.Revision:
		if !a.Head.sameBodies(current) {
			h.ignore(IgnoredDiverged, a.Head.Revision, nil)
		}
		return false
	}
	f := newInForce(a)
	h.active.Store(f)
	if h.Metrics != nil {
		h.Metrics.ListsRevision.Set(float64(a.Head.Revision))
	}
	h.Logger.Info("lists in force", "revision", a.Head.Revision, "change", a.Head.Change)
	for _, sub := range h.subscribers {
		sub(f.index)
	}
	return true
}

// ignore counts lists that are not applied and logs them as an error.
func (h *Holder) ignore(reason IgnoreReason, r sqid.Revision, err error) {
	if h.Metrics != nil {
		h.Metrics.ListsIgnored.WithLabelValues(string(reason)).Inc()
	}
	h.Logger.Error(err, "lists ignored", "why", reason, "revision", r, "inForce", h.Revision())
}

// Confirm notes that the platform's head had the revision r at the time at. It
// has no effect if r is higher than the revision in force.
func (h *Holder) Confirm(r sqid.Revision, at time.Time) {
	if r > h.Revision() {
		return
	}
	storeMax(&h.confirmed, at.UnixMilli())
}

// storeMax sets v to at if v is lower.
func storeMax(v *atomic.Int64, at int64) {
	for {
		last := v.Load()
		if at <= last || v.CompareAndSwap(last, at) {
			return
		}
	}
}

// Confirmed returns when the platform's head was last confirmed not to be newer
// than the lists in force; the zero time means never.
func (h *Holder) Confirmed() time.Time {
	at := h.confirmed.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}

// evidenceFact returns the version and value of the fact FactEvidence. due is
// false if newer evidence would come too soon after the last that was published.
func (h *Holder) evidenceFact() (version uint64, body []byte, due bool) {
	at := h.confirmed.Load()
	if at-h.evidenceSpread.Load() < evidenceInterval.Milliseconds() {
		return 0, nil, false
	}
	storeMax(&h.evidenceSpread, at)
	return uint64(at), strconv.AppendUint(nil, uint64(h.Revision()), 10), true
}

// ApplyEvidence applies the fact FactEvidence of another daemon.
func (h *Holder) ApplyEvidence(version uint64, body []byte) {
	r, err := strconv.ParseUint(string(body), 10, 64)
	at := time.UnixMilli(int64(version))
	if err != nil || at.After(time.Now().Add(maxClockSkew)) {
		return
	}
	storeMax(&h.evidenceSpread, at.UnixMilli())
	h.Confirm(sqid.Revision(r), at)
}

// Stale reports whether at now evidence from the time confirmed is older than
// limit. A limit of zero means that evidence never becomes stale.
func Stale(confirmed, now time.Time, limit time.Duration) bool {
	return limit > 0 && now.Sub(confirmed) > limit
}
