package sqdaemon

import (
	"encoding/json"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

// evidencePrefix, followed by a data centre, names the fact of the revision in
// force there.
const evidencePrefix = "inForce/"

// evidence is a system by which the data centres tell each other which
// revision of the lists is in force with them. One relay of each tells, when
// the revision changes and otherwise seldom.
type evidence struct {
	centre  sqid.DataCentreID
	member  *sqmember.Member
	holder  *sqlists.Holder
	publish func(name string, version uint64, body []byte)

	rows sqtable.Table[sqid.DataCentreID, centreRevision]
	last centreRevision
	subs map[sqid.DataCentreID]bool
}

// evidenceEvery is the time between two words of an unchanged revision.
const evidenceEvery = time.Minute

type centreRevision struct {
	revision sqid.Revision
	heard    time.Time
}

type inForce struct {
	Revision sqid.Revision `json:"revision"`
}

func (e *evidence) of(dc sqid.DataCentreID) (centreRevision, bool) {
	if dc == e.centre {
		return centreRevision{revision: e.holder.Revision(), heard: time.Now()}, true
	}
	return e.rows.Get(dc)
}

// Tick tells what is due, and listens to data centres that are new.
func (e *evidence) Tick(now time.Time) {
	e.member.Each(func(r sqmember.Row) bool {
		if !e.subs[r.DataCentre] && r.DataCentre != e.centre {
			e.listen(r.DataCentre)
		}
		return true
	})
	r := e.holder.Revision()
	if !e.member.IsRelay() || r == e.last.revision && now.Sub(e.last.heard) < evidenceEvery {
		return
	}
	e.last = centreRevision{revision: r, heard: now}
	body, err := json.Marshal(inForce{Revision: r})
	if err == nil {
		e.publish(evidencePrefix+string(e.centre), e.version(now), body)
	}
}

// version is the time of day, or the next after the one held: that was told by a
// daemon whose time of day was ahead, or before this one's was set back.
func (e *evidence) version(now time.Time) uint64 {
	held, _ := e.member.Fact(evidencePrefix + string(e.centre))
	return max(uint64(now.UnixMilli()), held+1)
}

func (e *evidence) listen(dc sqid.DataCentreID) {
	if e.subs == nil {
		e.subs = make(map[sqid.DataCentreID]bool)
	}
	e.subs[dc] = true
	e.member.OnFact(evidencePrefix+string(dc), func(_ uint64, body []byte) {
		var f inForce
		if json.Unmarshal(body, &f) == nil {
			e.rows.Put(dc, centreRevision{revision: f.Revision, heard: time.Now()})
		}
	})
}
