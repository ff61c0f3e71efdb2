package sqdaemon

import (
	"encoding/json"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

// revisionFactPrefix, followed by a data centre, is the name of the fact that holds the
// revision of the lists in force there.
const revisionFactPrefix = "inForce/"

// revisionExchange shares among the data centres which revision of the lists is in force
// in each of them. The relays of a data centre publish its revision when it changes, and
// otherwise once in revisionInterval.
type revisionExchange struct {
	centre      sqid.DataCentreID
	member      *sqmember.Member
	listsHolder *sqlists.Holder
	publish     func(name string, version uint64, body []byte)

	byCentre      sqtable.Table[sqid.DataCentreID, centreRevision]
	lastPublished centreRevision
	subscribed    map[sqid.DataCentreID]bool
}

// revisionInterval is the time after which an unchanged revision is published again.
const revisionInterval = time.Minute

// centreRevision is a data centre's revision and when it was received or published.
type centreRevision struct {
	revision   sqid.Revision
	receivedAt time.Time
}

// revisionFact is the body of a fact.
type revisionFact struct {
	Revision sqid.Revision `json:"revision"`
}

// latest returns the revision last received from a data centre, and for this data
// centre the one in force.
func (e *revisionExchange) latest(dc sqid.DataCentreID) (centreRevision, bool) {
	if dc == e.centre {
		return centreRevision{revision: e.listsHolder.Revision(), receivedAt: time.Now()}, true
	}
	return e.byCentre.Get(dc)
}

// Tick publishes the revision if that is due, and subscribes to the facts of newly known
// data centres.
func (e *revisionExchange) Tick(now time.Time) {
	e.member.Each(func(r sqmember.Row) bool {
		if !e.subscribed[r.DataCentre] && r.DataCentre != e.centre {
			e.subscribe(r.DataCentre)
		}
		return true
	})
	r := e.listsHolder.Revision()
	if !e.member.IsRelay() || r == e.lastPublished.revision && now.Sub(e.lastPublished.receivedAt) < revisionInterval {
		return
	}
	e.lastPublished = centreRevision{revision: r, receivedAt: now}
	body, err := json.Marshal(revisionFact{Revision: r})
	if err == nil {
		e.publish(revisionFactPrefix+string(e.centre), e.version(now), body)
	}
}

// version returns the version of the next fact: the wall-clock time in milliseconds, or
// one more than the current version if that is not older. That one was published by a
// daemon whose clock was ahead, or before this daemon's clock was set back.
func (e *revisionExchange) version(now time.Time) uint64 {
	held, _ := e.member.Fact(revisionFactPrefix + string(e.centre))
	return max(uint64(now.UnixMilli()), held+1)
}

func (e *revisionExchange) subscribe(dc sqid.DataCentreID) {
	if e.subscribed == nil {
		e.subscribed = make(map[sqid.DataCentreID]bool)
	}
	e.subscribed[dc] = true
	e.member.OnFact(revisionFactPrefix+string(dc), func(_ uint64, body []byte) {
		var f revisionFact
		if json.Unmarshal(body, &f) == nil {
			e.byCentre.Put(dc, centreRevision{revision: f.Revision, receivedAt: time.Now()})
		}
	})
}
