package sqmember

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// confirmations is the number of further daemons whose agreement shortens a
// suspicion to its least time.
const confirmations = 3

// suspicion is a suspect's time to refute.
type suspicion struct {
	id    sqid.DaemonID
	since time.Time
	by    []sqid.DaemonID
	// enough is the number of further suspecting daemons that end it soonest.
	enough int
	least  time.Duration
	most   time.Duration
}

// ends returns when the suspect is taken for dead.
func (s *suspicion) ends() time.Time {
	further := min(max(len(s.by)-1, 0), s.enough)
	if s.enough <= 0 {
		return s.since.Add(s.least)
	}
	part := math.Log(float64(further+1)) / math.Log(float64(s.enough+1))
	return s.since.Add(s.most - time.Duration(part*float64(s.most-s.least)))
}

func compareID(a, b sqid.DaemonID) int {
	return strings.Compare(string(a), string(b))
}

// suspect holds that a live daemon may be dead; by is who found out.
func (m *Member) suspect(r Row, by sqid.DaemonID) {
	if r.State == Suspect {
		m.confirm(r, by)
		return
	}
	r.State = Suspect
	m.put(r)
	m.beginSuspicion(r, by)
	m.spreadRow(r, by, source{from: m.self.ID})
}

func (m *Member) beginSuspicion(r Row, by sqid.DaemonID) {
	m.probes.endSuspicion(r.ID)
	others := len(m.view.ranked(m.self.DataCentre)) - 2
	m.probes.suspicions = append(m.probes.suspicions, &suspicion{
		id: r.ID, since: m.now, by: []sqid.DaemonID{by}, enough: min(confirmations, others),
		least: m.probes.slowed(m.Periods.SuspectLeast), most: m.probes.slowed(m.Periods.SuspectMost),
	})
}

// confirm counts another daemon that suspects the same row.
func (m *Member) confirm(r Row, by sqid.DaemonID) {
	for _, s := range m.probes.suspicions {
		if s.id != r.ID || len(s.by) > s.enough || slices.Contains(s.by, by) {
			continue
		}
		s.by = append(s.by, by)
		m.spreadRow(r, by, source{from: m.self.ID})
	}
}

func (p *prober) endSuspicion(id sqid.DaemonID) {
	p.suspicions = slices.DeleteFunc(p.suspicions, func(s *suspicion) bool { return s.id == id })
}

func (m *Member) tickSuspicions() {
	for _, s := range slices.Clone(m.probes.suspicions) {
		if m.now.Before(s.ends()) {
			continue
		}
		m.probes.endSuspicion(s.id)
		r, ok := m.rows.Get(s.id)
		if !ok || r.State != Suspect {
			continue
		}
		r.State, r.Targets = Dead, nil
		m.put(r)
		m.spreadRow(r, "", source{from: m.self.ID})
	}
}
