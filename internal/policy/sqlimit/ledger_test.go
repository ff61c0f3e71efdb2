package sqlimit

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20000")
	flag.Parse()
	os.Exit(m.Run())
}

var testTerms = Terms{Loan: 2 * time.Second, Drift: 100 * time.Millisecond}

// message is one on its way between two data centres; it may arrive late,
// twice or never.
type message struct {
	to  int
	act func(m *model, now time.Time)
}

// model is the ledgers of one workspace in several data centres, with clocks
// that differ, and the messages between them.
type model struct {
	plan     Capacity
	now      time.Time
	skew     []time.Duration
	ledgers  []*Ledger
	messages []message
	ids      LoanID
	held     [][]LoanID
	lenders  map[LoanID]int
	spent    []time.Time
	terms    Terms
}

func newModel(t *rapid.T, terms Terms) *model {
	n := rapid.IntRange(1, 4).Draw(t, "dataCentres")
	m := &model{
		plan:    Capacity{Rate: squnit.Rate(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: squnit.Tokens(rapid.IntRange(1, 100).Draw(t, "burst"))},
		now:     time.Unix(1000, 0),
		held:    make([][]LoanID, n),
		lenders: make(map[LoanID]int),
		terms:   terms,
	}
	dcs := make([]sqid.DataCentreID, n)
	for i := range dcs {
		dcs[i] = sqid.DataCentreID(fmt.Sprintf("dc%d", i))
	}
	for i := range n {
		m.skew = append(m.skew, time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "skew"))*time.Second)
		l := NewLedger(terms, Shares{DataCentres: dcs}.Of(dcs[i], "shop", m.plan), m.clock(i))
		l.Fill()
		m.ledgers = append(m.ledgers, l)
	}
	return m
}

// clock is the time at one data centre.
func (m *model) clock(i int) time.Time {
	return m.now.Add(m.skew[i])
}

func (m *model) charge(i, n int) {
	for range n {
		if m.ledgers[i].Charge(m.clock(i), 1).Admitted {
			m.spent = append(m.spent, m.now)
		}
	}
}

// ask sends a request for a loan. Like that of a call, its answer is taken in
// once, by the ledger that asked.
func (m *model) ask(from, to int, want Capacity) {
	sent, asker, answered := m.clock(from), m.ledgers[from], false
	m.messages = append(m.messages, message{to: to, act: func(m *model, now time.Time) {
		m.ids++
		loan, ok := m.ledgers[to].Lend(now, m.ids, want)
		if !ok {
			return
		}
		m.messages = append(m.messages, message{to: from, act: func(m *model, now time.Time) {
			if answered || m.ledgers[from] != asker {
				return
			}
			answered = true
			if asker.Borrow(now, sent, loan) {
				m.held[from] = append(m.held[from], loan.ID)
				m.lenders[loan.ID] = to
			}
		}})
	}})
}

func (m *model) extend(from int, id LoanID) {
	sent, to := m.clock(from), m.lenders[id]
	m.messages = append(m.messages, message{to: to, act: func(m *model, now time.Time) {
		if m.ledgers[to].Extend(now, id) {
			m.messages = append(m.messages, message{to: from, act: func(m *model, now time.Time) {
				m.ledgers[from].Extended(now, sent, id)
			}})
		}
	}})
}

func (m *model) giveBack(from int, id LoanID) {
	if loan, ok := m.ledgers[from].GiveBack(m.clock(from), id); ok {
		to := m.lenders[id]
		m.messages = append(m.messages, message{to: to, act: func(m *model, now time.Time) {
			m.ledgers[to].TakeBack(now, id, loan.Tokens)
		}})
	}
}

// deliver lets one message arrive, and keeps it if it is to arrive again.
func (m *model) deliver(i int, again bool) {
	msg := m.messages[i]
	if !again {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	msg.act(m, m.clock(msg.to))
}

// move has the ledger of a data centre handed over to a new keeper.
func (m *model) move(i int) {
	l, now := m.ledgers[i], m.clock(i)
	next := NewLedger(m.terms, l.share, now)
	next.Restore(now, l.Tokens(now), l.Lent(now))
	m.ledgers[i] = next
}

// excess returns by how much the spending exceeds one bucket of the plan.
func (m *model) excess() float64 {
	b := Bucket{Capacity: m.plan, Tokens: m.plan.Burst, Time: m.now}
	worst := 0.0
	for i, t := range m.spent {
		if i == 0 {
			b.Time = t
		}
		b.Advance(t)
		b.Tokens--
		worst = max(worst, -float64(b.Tokens))
	}
	return worst
}

func (m *model) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.ledgers)-1).Draw(t, "at")
	switch action := rapid.SampledFrom([]string{"charge", "charge", "ask", "ask", "extend", "giveBack", "deliver", "deliver", "deliver", "drop", "wait", "wait", "move"}).Draw(t, "action"); action {
	case "charge":
		m.charge(i, rapid.IntRange(1, 150).Draw(t, "n"))
	case "ask":
		m.ask(i, rapid.IntRange(0, len(m.ledgers)-1).Draw(t, "of"), m.plan.Times(rapid.Float64Range(0.05, 1).Draw(t, "part")))
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
	case "move":
		m.move(i)
	case "extend", "giveBack":
		if len(m.held[i]) > 0 {
			id := rapid.SampledFrom(m.held[i]).Draw(t, "loan")
			if action == "extend" {
				m.extend(i, id)
			} else {
				m.giveBack(i, id)
			}
		}
	default:
		if len(m.messages) == 0 {
			return
		}
		which := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
		if action == "drop" {
			m.messages = slices.Delete(m.messages, which, which+1)
			return
		}
		m.deliver(which, rapid.IntRange(0, 4).Draw(t, "again") == 0)
	}
}

// play takes random steps and returns the excess over the plan.
func play(t *rapid.T, terms Terms) float64 {
	m := newModel(t, terms)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		m.step(t)
	}
	return m.excess()
}

// TestLedgersKeepTheBound is the differential test against one bucket of the
// whole plan, with messages that are lost, late, doubled and out of order.
func TestLedgersKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if worst := play(t, testTerms); worst > 1e-6 {
			t.Fatalf("excess %v", worst)
		}
	})
}

// TestNaiveLoansBreakTheBound shows that the same steps find the fault of loans
// that leave the lender its capacity.
func TestNaiveLoansBreakTheBound(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		worst = max(worst, play(t, testTerms.Loose(true)))
	})
	t.Logf("excess %.1f", worst)
	qt.Check(t, worst > 1, qt.IsTrue)
}

// TestCopiesBreakTheBound shows the naive version that keeps a copy of the
// bucket on each daemon.
func TestCopiesBreakTheBound(t *testing.T) {
	m := &model{plan: Capacity{Rate: 10, Burst: 10}, now: time.Unix(1000, 0), skew: make([]time.Duration, 2)}
	for range 2 {
		l := NewLedger(testTerms, m.plan, m.now)
		l.Fill()
		m.ledgers = append(m.ledgers, l)
	}
	m.charge(0, 10)
	m.charge(1, 10)
	qt.Check(t, m.excess(), qt.Equals, 10.0)
}

// TestBorrowedIsNotLentOn is a case that the differential test has found: a
// ledger that lent what it had borrowed had both, once its own share was lent.
func TestBorrowedIsNotLentOn(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(testTerms, Capacity{Rate: 10, Burst: 10}, now)
	qt.Assert(t, l.Borrow(now, now, Loan{ID: 1, Capacity: Capacity{Rate: 50, Burst: 50}, Tokens: 50}), qt.IsTrue)
	lent := Capacity{}
	for id := LoanID(2); id < 10; id++ {
		if loan, ok := l.Lend(now, id, Capacity{Rate: 100, Burst: 100}); ok {
			lent = lent.Plus(loan.Capacity)
		}
	}
	qt.Check(t, lent.Rate > 0 && lent.Rate <= 10 && lent.Burst <= 10, qt.IsTrue)
	qt.Check(t, l.Capacity(now), qt.Equals, Capacity{Rate: 60 - lent.Rate, Burst: 60 - lent.Burst})
}
