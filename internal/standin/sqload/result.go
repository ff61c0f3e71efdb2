package sqload

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// BinSpan is the width of a bin of Result.Goodput.
const BinSpan = 100 * time.Millisecond

// The range of the latency histograms in microseconds, and their precision in
// significant decimal digits.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Sample is one request with all its attempts.
type Sample struct {
	Workspace  sqid.WorkspaceID  `json:"workspace"`
	Method     string            `json:"method"`
	Path       string            `json:"path"`
	Importance squnit.Importance `json:"importance"`
	// Scheduled and Ended are in Unix nanoseconds.
	Scheduled int64 `json:"scheduled"`
	Ended     int64 `json:"ended"`
	// Whole is that of the last attempt.
	Whole    bool      `json:"whole"`
	Attempts []Attempt `json:"attempts"`
}

// Account summarises a group of the requests of a run.
type Account struct {
	Requests int `json:"requests"`
	// Whole counts the requests whose last attempt was whole.
	Whole    int `json:"whole"`
	Attempts int `json:"attempts"`
	// Cut and Crossed count attempts. A correct system never has crossed ones.
	Cut     int `json:"cut"`
	Crossed int `json:"crossed"`
	// RefusedInRate counts attempts within the plan's rate that were refused
	// for exceeding it.
	RefusedInRate int `json:"refusedInRate"`
	// InRate counts attempts within the plan's rate. RefusedForRate counts all
	// attempts that were refused by the rate limit.
	InRate         int `json:"inRate"`
	RefusedForRate int `json:"refusedForRate"`
	// Status, Reason and Run count attempts by those fields.
	Status map[int]int    `json:"status"`
	Reason map[string]int `json:"reason"`
	Run    map[string]int `json:"run"`
	// Latency covers whole requests, from their scheduled time to the end of the
	// answer.
	Latency Latency `json:"latency"`

	histogram *hdrhistogram.Histogram
}

// Latency holds latency quantiles in microseconds.
type Latency struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

// Result holds the measurements of a run.
type Result struct {
	Seed uint64 `json:"seed"`
	// Start is in Unix nanoseconds.
	Start int64 `json:"start"`
	// NotSent counts scheduled requests that were dropped because MaxInFlight
	// requests were in flight.
	NotSent      int                           `json:"notSent"`
	All          *Account                      `json:"all"`
	ByWorkspace  map[sqid.WorkspaceID]*Account `json:"byWorkspace"`
	ByImportance map[string]*Account           `json:"byImportance"`
	// Goodput counts whole requests by the bin, BinSpan wide, in which they
	// ended.
	Goodput []int `json:"goodput"`
	// Samples are all requests in order of their scheduled time.
	Samples []Sample `json:"-"`
}

func newResult(cfg Config, start time.Time, samples []Sample, notSent int) *Result {
	slices.SortStableFunc(samples, func(a, b Sample) int { return int(a.Scheduled - b.Scheduled) })
	r := &Result{
		Seed: cfg.Seed, Start: start.UnixNano(), NotSent: notSent, Samples: samples,
		All:          newAccount(),
		ByWorkspace:  make(map[sqid.WorkspaceID]*Account),
		ByImportance: make(map[string]*Account),
	}
	for i := range samples {
		s := &samples[i]
		r.All.add(s)
		accountFor(r.ByWorkspace, s.Workspace).add(s)
		accountFor(r.ByImportance, s.Importance.String()).add(s)
		r.addGoodput(s)
	}
	r.All.finish()
	for _, a := range r.ByWorkspace {
		a.finish()
	}
	for _, a := range r.ByImportance {
		a.finish()
	}
	return r
}

func (r *Result) addGoodput(s *Sample) {
	if !s.Whole {
		return
	}
	bin := int((s.Ended - r.Start) / int64(BinSpan))
	for len(r.Goodput) <= bin {
		r.Goodput = append(r.Goodput, 0)
	}
	r.Goodput[bin]++
}

func accountFor[K comparable](m map[K]*Account, key K) *Account {
	a, ok := m[key]
	if !ok {
		a = newAccount()
		m[key] = a
	}
	return a
}

func newAccount() *Account {
	return &Account{
		Status: make(map[int]int), Reason: make(map[string]int), Run: make(map[string]int),
		histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (a *Account) add(s *Sample) {
	a.Requests++
	if s.Whole {
		a.Whole++
		latency := (s.Ended - s.Scheduled) / int64(time.Microsecond)
		_ = a.histogram.RecordValue(min(max(latency, lowestLatency), highestLatency))
	}
	for i := range s.Attempts {
		a.addAttempt(&s.Attempts[i])
	}
}

func (a *Account) addAttempt(t *Attempt) {
	a.Attempts++
	a.Status[t.Status]++
	a.Run[t.Run]++
	if t.Reason != "" {
		a.Reason[t.Reason]++
	}
	if t.Cut {
		a.Cut++
	}
	if t.Crossed {
		a.Crossed++
	}
	if t.RefusedForRate() {
		a.RefusedForRate++
	}
	if t.InRate {
		a.InRate++
		if t.RefusedForRate() {
			a.RefusedInRate++
		}
	}
}

// RefusedForRate reports whether an attempt was refused by the rate limit, or
// because the limit could not be checked.
func (a *Attempt) RefusedForRate() bool {
	return a.Reason == "over-rate" || a.Reason == "ledger-unavailable"
}

func (a *Account) finish() {
	h := a.histogram
	a.Latency = Latency{
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// WriteSamples writes each sample as a line of JSON.
func (r *Result) WriteSamples(w io.Writer) error {
	e := json.NewEncoder(w)
	for i := range r.Samples {
		if err := e.Encode(&r.Samples[i]); err != nil {
			return errors.Wrap(err, "write samples")
		}
	}
	return nil
}
