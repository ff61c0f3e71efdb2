package sqmember

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// maxConfirmations is the number of confirmations by further daemons that
// shorten a suspicion to its least timeout.
const maxConfirmations = 3

// suspicion is the time in which a suspect can refute.
type suspicion struct {
	id          sqid.DaemonID
	startedAt   time.Time
	suspectedBy []sqid.DaemonID
	// confirmations is the number of further suspecting daemons at which the
	// timeout is minTimeout.
	confirmations int
	minTimeout    time.Duration
	maxTimeout    time.Duration
}

// deadline returns when the suspect is declared dead. The timeout falls with
// the logarithm of the confirmations, as in Lifeguard.
func (s *suspicion) deadline() time.Time {
	confirmed := min(max(len(s.suspectedBy)-1, 0), s.confirmations)
	if s.confirmations <= 0 {
		return s.startedAt.Add(s.minTimeout)
	}
	fraction := math.Log(float64(confirmed+1)) / math.Log(float64(s.confirmations+1))
	return s.startedAt.Add(s.maxTimeout - time.Duration(fraction*float64(s.maxTimeout-s.minTimeout)))
}

func compareID(a, b sqid.DaemonID) int {
	return strings.Compare(string(a), string(b))
}

// markSuspect suspects a live daemon. by is the daemon that found it
// unresponsive.
func (m *Member) markSuspect(r Row, by sqid.DaemonID) {
	if r.State == Suspect {
		m.confirmSuspicion(r, by)
		return
	}
	r.State = Suspect
	m.putRow(r)
	m.startSuspicion(r, by)
	m.gossipRow(r, by, source{daemon: m.self.ID})
}

func (m *Member) startSuspicion(r Row, by sqid.DaemonID) {
	m.probes.endSuspicion(r.ID)
	others := len(m.view.ranked(m.self.DataCentre)) - 2
	m.probes.suspicions = append(m.probes.suspicions, &suspicion{
		id: r.ID, startedAt: m.now, suspectedBy: []sqid.DaemonID{by}, confirmations: min(maxConfirmations, others),
		minTimeout: m.probes.scaleTimeout(m.Timing.MinSuspicion), maxTimeout: m.probes.scaleTimeout(m.Timing.MaxSuspicion),
	})
}

// confirmSuspicion counts another daemon that suspects the same row.
func (m *Member) confirmSuspicion(r Row, by sqid.DaemonID) {
	for _, s := range m.probes.suspicions {
		if s.id != r.ID || len(s.suspectedBy) > s.confirmations || slices.Contains(s.suspectedBy, by) {
			continue
		}
		s.suspectedBy = append(s.suspectedBy, by)
		m.gossipRow(r, by, source{daemon: m.self.ID})
	}
}

func (p *prober) endSuspicion(id sqid.DaemonID) {
	p.suspicions = slices.DeleteFunc(p.suspicions, func(s *suspicion) bool { return s.id == id })
}

func (m *Member) expireSuspicions() {
	for _, s := range slices.Clone(m.probes.suspicions) {
		if m.now.Before(s.deadline()) {
			continue
		}
		m.probes.endSuspicion(s.id)
		r, ok := m.rows.Get(s.id)
		if !ok || r.State != Suspect {
			continue
		}
		r.State, r.Targets = Dead, nil
		m.putRow(r)
		m.gossipRow(r, "", source{daemon: m.self.ID})
	}
}
