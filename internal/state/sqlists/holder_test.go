package sqlists_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	dto "github.com/prometheus/client_model/go"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// listsAt returns lists of a revision with one workspace and one key.
func listsAt(revision sqid.Revision, key string) sqlists.Lists {
	return sqlists.Lists{
		Revision:   revision,
		Plans:      []sqlists.Plan{{Name: "p", Rate: 1, Burst: 1, Weight: 1, Uses: []sqlists.Use{{Service: "s", Paths: []string{"/a"}}}}},
		Workspaces: []sqlists.Workspace{{Name: "w", Plan: "p", KeyDigests: []sqid.KeyDigest{sqid.DigestKey(key)}}},
	}
}

// ignored returns the number of lists that were ignored for a reason.
func ignored(t *testing.T, m *sqmetric.Set, why sqlists.IgnoreReason) int {
	t.Helper()
	var d dto.Metric
	qt.Assert(t, m.ListsIgnored.WithLabelValues(string(why)).Write(&d), qt.IsNil)
	return int(d.GetCounter().GetValue())
}

// TestNeverBack applies facts of several revisions in random order, repeated and
// damaged. The holder must never return to a lower revision and must end with the
// highest undamaged one. The order must be such that a holder that applies every
// fact would go back.
func TestNeverBack(t *testing.T) {
	wentBack := false
	rapid.Check(t, func(rt *rapid.T) {
		h := &sqlists.Holder{}
		var seen []sqid.Revision
		h.Subscribe(func(x *sqlists.Index) { seen = append(seen, x.Revision) })
		var highest, last sqid.Revision
		order := rapid.SliceOfN(rapid.Uint64Range(1, 8), 1, 20).Draw(rt, "revisions")
		for _, r := range order {
			source := &sqlists.Holder{}
			source.Apply(listsAt(sqid.Revision(r), fmt.Sprint("key", r)))
			version, body := source.Fact()
			if rapid.IntRange(0, 3).Draw(rt, "damage") == 0 {
				body = append([]byte(nil), body...)
				body[rapid.IntRange(0, len(body)-1).Draw(rt, "at")] ^= 0x10
				h.ApplyFact(version+1, body)
				h.ApplyFact(version, body[:len(body)/2])
				continue
			}
			h.ApplyFact(version, body)
			wentBack = wentBack || sqid.Revision(r) < last
			last = sqid.Revision(r)
			highest = max(highest, last)
		}
		if h.Revision() != highest || h.Index().Revision != highest {
			rt.Fatalf("in force is %d, not %d", h.Revision(), highest)
		}
		for i := 1; i < len(seen); i++ {
			if seen[i] <= seen[i-1] {
				rt.Fatalf("went back: %v", seen)
			}
		}
	})
	qt.Assert(t, wentBack, qt.IsTrue, qt.Commentf("taking what came last would not have gone back"))
}

// TestIgnored checks that lists that are not applied are counted by reason.
func TestIgnored(t *testing.T) {
	h := &sqlists.Holder{Metrics: sqmetric.New()}
	qt.Assert(t, h.Index(), qt.IsNotNil)
	qt.Assert(t, h.Apply(listsAt(3, "k")), qt.IsTrue)
	qt.Assert(t, h.Apply(listsAt(2, "k")), qt.IsFalse)
	qt.Assert(t, h.Apply(listsAt(3, "k")), qt.IsFalse)
	qt.Assert(t, ignored(t, h.Metrics, sqlists.IgnoredDiverged), qt.Equals, 0)
	qt.Assert(t, h.Apply(listsAt(3, "other")), qt.IsFalse)
	bad := listsAt(4, "k")
	bad.Workspaces[0].Plan = "none"
	qt.Assert(t, h.Apply(bad), qt.IsFalse)
	for _, why := range []sqlists.IgnoreReason{sqlists.IgnoredOlder, sqlists.IgnoredDiverged, sqlists.IgnoredInvalid} {
		qt.Assert(t, ignored(t, h.Metrics, why), qt.Equals, 1, qt.Commentf("%s", why))
	}
}

// TestWithdrawnKey checks that a key is refused once the lists no longer have it,
// and that a path with dot segments matches no prefix.
func TestWithdrawnKey(t *testing.T) {
	h := &sqlists.Holder{}
	h.Apply(listsAt(1, "old"))
	_, refusal := h.Index().Route("old", "s", "GET", "/a/b?c")
	qt.Assert(t, refusal, qt.Equals, sqreason.NoReason)
	for _, path := range []string{"/ab", "/a/../b", "/a/%2e%2E/b", "/a/x%2f..%2f..%2fb", `/a/..\b`, "/a/%zz"} {
		_, refusal = h.Index().Route("old", "s", "GET", path)
		qt.Assert(t, refusal, qt.Equals, sqreason.RouteNotAllowed, qt.Commentf(path))
	}
	h.Apply(listsAt(2, "new"))
	_, refusal = h.Index().Route("old", "s", "GET", "/a")
	qt.Assert(t, refusal, qt.Equals, sqreason.KeyUnknown)
	_, refusal = h.Index().Route("new", "s", "GET", "/a")
	qt.Assert(t, refusal, qt.Equals, sqreason.NoReason)
}

// TestStale checks that staleness depends on age alone, and that there is none
// without a limit.
func TestStale(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		age, limit time.Duration
		stale      bool
	}{
		{time.Hour, 0, false},
		{time.Minute, time.Minute, false},
		{time.Minute + 1, time.Minute, true},
		{-time.Minute, time.Second, false},
	} {
		qt.Assert(t, sqlists.Stale(now.Add(-c.age), now, c.limit), qt.Equals, c.stale, qt.Commentf("%v", c))
	}
	qt.Assert(t, sqlists.Stale(time.Time{}, now, time.Hour), qt.IsTrue)
}

// FuzzFact checks that a holder applies a fact of another daemon completely or
// not at all.
func FuzzFact(f *testing.F) {
	source := &sqlists.Holder{}
	source.Apply(listsAt(5, "k"))
	version, body := source.Fact()
	f.Add(version, body)
	f.Add(version+1, body)
	f.Add(version, body[:len(body)-4])
	f.Add(version, []byte("{}"))
	f.Fuzz(func(t *testing.T, version uint64, body []byte) {
		h := &sqlists.Holder{}
		h.ApplyFact(version, body)
		r := h.Revision()
		qt.Assert(t, r == 0 || uint64(r) == version, qt.IsTrue)
		qt.Assert(t, sqlists.Check(h.Accepted().Lists), qt.HasLen, 0)
		h.ApplyEvidence(version, body)
	})
}
