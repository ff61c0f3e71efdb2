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

// maxClockSkew is how far ahead another daemon's clock may be.
const maxClockSkew = time.Minute

// Ignored is the reason why lists that came in were not applied.
type Ignored string

// The reasons why lists are ignored.
const (
	// IgnoredOlder lists have a lower revision than those in force.
	IgnoredOlder Ignored = "older"
	// IgnoredDiverged lists have the revision in force and another content.
	IgnoredDiverged Ignored = "diverged"
	// IgnoredInvalid lists have faults or the wrong digests.
	IgnoredInvalid Ignored = "invalid"
)

// Holder holds the lists in force. They are replaced whole, and only by lists
// of a higher revision. Its zero value has empty lists at revision 0; its
// methods may be called from several goroutines.
type Holder struct {
	Logger logr.Logger
	// Metrics counts ignored lists and tells the revision; it may be nil.
	Metrics *sqmetric.Set

	force     atomic.Pointer[inForce]
	confirmed atomic.Int64
	// spread is the newest evidence that was spread, by any daemon.
	spread atomic.Int64

	mu   sync.Mutex
	subs []func(*Index)
}

// inForce are lists with what is made of them.
type inForce struct {
	accepted *Accepted
	index    *Index
	fact     []byte
}

var nothingInForce = sync.OnceValue(func() *inForce {
	return newInForce(emptyAccepted())
})

func newInForce(a *Accepted) *inForce {
	return &inForce{accepted: a, index: NewIndex(a.Lists), fact: encodeFact(a)}
}

func (h *Holder) load() *inForce {
	if f := h.force.Load(); f != nil {
		return f
	}
	return nothingInForce()
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

// Fact returns the lists in force as the fact FactLists.
func (h *Holder) Fact() (version uint64, body []byte) {
	f := h.load()
	return uint64(f.accepted.Head.Revision), f.fact
}

// Subscribe has f called with each index that comes in force from now on, in
// order. It must not block and must not call Apply.
func (h *Holder) Subscribe(f func(*Index)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subs = append(h.subs, f)
}

// Apply puts lists in force if they have no fault and a higher revision than
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

// ApplyFact applies the fact FactLists of another daemon, checked whole.
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

// apply puts lists that have been checked in force if their revision is
// higher.
func (h *Holder) apply(a *Accepted) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.load().accepted.Head
	switch {
	case a.Head.Revision < now.Revision:
		h.ignore(IgnoredOlder, a.Head.Revision, nil)
		return false
	case a.Head.Revision == now.Revision:
		if !a.Head.sameBodies(now) {
			h.ignore(IgnoredDiverged, a.Head.Revision, nil)
		}
		return false
	}
	f := newInForce(a)
	h.force.Store(f)
	if h.Metrics != nil {
		h.Metrics.ListsRevision.Set(float64(a.Head.Revision))
	}
	h.Logger.Info("lists in force", "revision", a.Head.Revision, "change", a.Head.Change)
	for _, sub := range h.subs {
		sub(f.index)
	}
	return true
}

// ignore tells loudly of lists that are not applied.
func (h *Holder) ignore(why Ignored, r sqid.Revision, err error) {
	if h.Metrics != nil {
		h.Metrics.ListsIgnored.WithLabelValues(string(why)).Inc()
	}
	h.Logger.Error(err, "lists ignored", "why", why, "revision", r, "inForce", h.Revision())
}

// Confirm notes that the platform's head had the revision r at the time at.
// It counts only if that revision is in force, or an older one.
func (h *Holder) Confirm(r sqid.Revision, at time.Time) {
	if r > h.Revision() {
		return
	}
	raise(&h.confirmed, at.UnixMilli())
}

// raise sets v to at if it is lower.
func raise(v *atomic.Int64, at int64) {
	for {
		last := v.Load()
		if at <= last || v.CompareAndSwap(last, at) {
			return
		}
	}
}

// Confirmed returns when the head was last confirmed, the zero time if never.
func (h *Holder) Confirmed() time.Time {
	at := h.confirmed.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}

// evidenceFact returns what Confirmed says as the fact FactEvidence, and
// whether it is worth spreading.
func (h *Holder) evidenceFact() (version uint64, body []byte, due bool) {
	at := h.confirmed.Load()
	if at-h.spread.Load() < evidenceEvery.Milliseconds() {
		return 0, nil, false
	}
	raise(&h.spread, at)
	return uint64(at), strconv.AppendUint(nil, uint64(h.Revision()), 10), true
}

// ApplyEvidence applies the fact FactEvidence of another daemon.
func (h *Holder) ApplyEvidence(version uint64, body []byte) {
	r, err := strconv.ParseUint(string(body), 10, 64)
	at := time.UnixMilli(int64(version))
	if err != nil || at.After(time.Now().Add(maxClockSkew)) {
		return
	}
	raise(&h.spread, at.UnixMilli())
	h.Confirm(sqid.Revision(r), at)
}

// Stale reports whether evidence from the time confirmed is too old at now.
// A limit of zero is never reached.
func Stale(confirmed, now time.Time, limit time.Duration) bool {
	return limit > 0 && now.Sub(confirmed) > limit
}
