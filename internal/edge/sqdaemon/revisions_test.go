package sqdaemon

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

// TestRevisionIsPublishedAfterClockSetBack sets the wall clock back by an hour. The
// revision in force must still be published, under a higher version.
func TestRevisionIsPublishedAfterClockSetBack(t *testing.T) {
	c := qt.New(t)
	m := &sqmember.Member{
		Fleet: "test", Rand: rand.New(rand.NewPCG(1, 1)),
		Local: sqmember.Row{ID: "a1", DataCentre: "a", PeerAddress: "127.0.0.1:1", Incarnation: 1},
	}
	took := 0
	e := &revisionExchange{centre: "a", member: m, listsHolder: &sqlists.Holder{}, publish: func(name string, version uint64, body []byte) {
		ok, err := m.Publish(name, version, body)
		c.Assert(err, qt.IsNil)
		if ok {
			took++
		}
	}}
	now := time.Now()
	e.Tick(now)
	c.Assert(took, qt.Equals, 1)
	// More than revisionInterval passes, and the wall clock is set back by an hour.
	e.lastPublished.receivedAt = now.Add(-time.Hour - 2*revisionInterval)
	e.Tick(now.Add(-time.Hour))
	c.Assert(took, qt.Equals, 2)
}
