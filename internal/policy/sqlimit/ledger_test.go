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

// message is a message between two data centres; it may arrive late, twice or never.
type message struct {
	to      int
	receive func(m *model, now time.Time)
}

// model simulates the ledgers of one workspace in several data centres, whose clocks
// differ, and the messages between them.
type model struct {
	plan       Capacity
	now        time.Time
	skew       []time.Duration
	ledgers    []*Ledger
	messages   []message
	lastLoanID LoanID
	held       [][]LoanID
	lenders    map[LoanID]int
	admittedAt []time.Time
	terms      Terms
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
		l := NewLedger(terms, Shares{DataCentres: dcs}.ShareOf(dcs[i], "shop", m.plan), m.clock(i))
		l.Fill()
		m.ledgers = append(m.ledgers, l)
	}
	return m
}

// clock returns the time at one data centre.
func (m *model) clock(i int) time.Time {
	return m.now.Add(m.skew[i])
}

func (m *model) charge(i, n int) {
	for range n {
		if m.ledgers[i].Charge(m.clock(i), 1).Admitted {
			m.admittedAt = append(m.admittedAt, m.now)
		}
	}
}

// requestLoan sends a request for a loan. As with an RPC, its answer is received
// once, by the ledger that sent the request.
func (m *model) requestLoan(from, to int, want Capacity) {
	sent, borrower, answered := m.clock(from), m.ledgers[from], false
	m.messages = append(m.messages, message{to: to, receive: func(m *model, now time.Time) {
		m.lastLoanID++
		loan, ok := m.ledgers[to].Lend(now, m.lastLoanID, want)
		if !ok {
			return
		}
		m.messages = append(m.messages, message{to: from, receive: func(m *model, now time.Time) {
			if answered || m.ledgers[from] != borrower {
				return
			}
			answered = true
			if borrower.Borrow(now, sent, loan) {
				m.held[from] = append(m.held[from], loan.ID)
				m.lenders[loan.ID] = to
			}
		}})
	}})
}

func (m *model) extend(from int, id LoanID) {
	sent, to := m.clock(from), m.lenders[id]
	m.messages = append(m.messages, message{to: to, receive: func(m *model, now time.Time) {
		if m.ledgers[to].Extend(now, id) {
			m.messages = append(m.messages, message{to: from, receive: func(m *model, now time.Time) {
				m.ledgers[from].Extended(now, sent, id)
			}})
		}
	}})
}

func (m *model) giveBack(from int, id LoanID) {
	if loan, ok := m.ledgers[from].GiveBack(m.clock(from), id); ok {
		to := m.lenders[id]
		m.messages = append(m.messages, message{to: to, receive: func(m *model, now time.Time) {
			m.ledgers[to].TakeBack(now, id, loan.Tokens)
		}})
	}
}

// deliver delivers one message, and keeps it for a second delivery if again is set.
func (m *model) deliver(i int, again bool) {
	msg := m.messages[i]
	if !again {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	msg.receive(m, m.clock(msg.to))
}

// handOver moves the ledger of a data centre to a new keeper.
func (m *model) handOver(i int) {
	l, now := m.ledgers[i], m.clock(i)
	next := NewLedger(m.terms, l.share, now)
	next.Restore(now, l.Tokens(now), l.Lent(now))
	m.ledgers[i] = next
}

// excess returns by how many tokens the admitted requests exceed one bucket of the
// whole plan.
func (m *model) excess() float64 {
	b := Bucket{Capacity: m.plan, Tokens: m.plan.Burst, RefilledAt: m.now}
	worst := 0.0
	for i, t := range m.admittedAt {
		if i == 0 {
			b.RefilledAt = t
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
		m.requestLoan(i, rapid.IntRange(0, len(m.ledgers)-1).Draw(t, "of"), m.plan.Times(rapid.Float64Range(0.05, 1).Draw(t, "part")))
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
	case "move":
		m.handOver(i)
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

// runModel takes random steps and returns the excess over the plan.
func runModel(t *rapid.T, terms Terms) float64 {
	m := newModel(t, terms)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		m.step(t)
	}
	return m.excess()
}

// TestLedgersKeepTheBound compares the ledgers with one bucket of the whole plan,
// while messages are lost, delayed, duplicated and reordered.
func TestLedgersKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if worst := runModel(t, testTerms); worst > 1e-6 {
			t.Fatalf("excess %v", worst)
		}
	})
}

// TestNaiveLoansBreakTheBound checks that the same random steps exceed the plan if
// lenders keep the capacity that they have lent.
func TestNaiveLoansBreakTheBound(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		worst = max(worst, runModel(t, testTerms.UnsafeLending(true)))
	})
	t.Logf("excess %.1f", worst)
	qt.Check(t, worst > 1, qt.IsTrue)
}

// TestCopiesBreakTheBound checks that a naive design with a copy of the bucket on
// each daemon exceeds the plan.
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

// TestBorrowedCapacityIsNotLent guards against a failure that the comparison with one
// bucket found: a ledger whose own share was already lent could lend borrowed
// capacity and still use it itself.
func TestBorrowedCapacityIsNotLent(t *testing.T) {
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
