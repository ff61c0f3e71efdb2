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

// BinWidth is the width of a bin of Result.Goodput.
const BinWidth = 100 * time.Millisecond

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
	// Complete is that of the last attempt.
	Complete bool      `json:"whole"`
	Attempts []Attempt `json:"attempts"`
}

// Summary summarises a group of the requests of a run.
type Summary struct {
	Requests int `json:"requests"`
	// Complete counts the requests whose last attempt was whole.
	Complete int `json:"whole"`
	Attempts int `json:"attempts"`
	// Truncated and Mismatched count attempts. A correct system never has mismatched ones.
	Truncated  int `json:"cut"`
	Mismatched int `json:"crossed"`
	// RefusedWithinRate counts attempts within the plan's rate that were refused
	// for exceeding it.
	RefusedWithinRate int `json:"refusedInRate"`
	// WithinRate counts attempts within the plan's rate. RefusedForRate counts all
	// attempts that were refused by the rate limit.
	WithinRate     int `json:"inRate"`
	RefusedForRate int `json:"refusedForRate"`
	// Status, Reason and Run count attempts by those fields.
	Status map[int]int    `json:"status"`
	Reason map[string]int `json:"reason"`
	Run    map[string]int `json:"run"`
	// Latency covers complete requests, from their scheduled time to the end of the
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
	All          *Summary                      `json:"all"`
	ByWorkspace  map[sqid.WorkspaceID]*Summary `json:"byWorkspace"`
	ByImportance map[string]*Summary           `json:"byImportance"`
	// Goodput counts complete requests by the bin, BinWidth wide, in which they
	// ended.
	Goodput []int `json:"goodput"`
	// Samples are all requests in order of their scheduled time.
	Samples []Sample `json:"-"`
}

func newResult(cfg Config, start time.Time, samples []Sample, notSent int) *Result {
	slices.SortStableFunc(samples, func(a, b Sample) int { return int(a.Scheduled - b.Scheduled) })
	r := &Result{
		Seed: cfg.Seed, Start: start.UnixNano(), NotSent: notSent, Samples: samples,
		All:          newSummary(),
		ByWorkspace:  make(map[sqid.WorkspaceID]*Summary),
		ByImportance: make(map[string]*Summary),
	}
	for i := range samples {
		s := &samples[i]
		r.All.add(s)
		summaryFor(r.ByWorkspace, s.Workspace).add(s)
		summaryFor(r.ByImportance, s.Importance.String()).add(s)
		r.addGoodput(s)
	}
	r.All.finish()
	for _, sum := range r.ByWorkspace {
		sum.finish()
	}
	for _, sum := range r.ByImportance {
		sum.finish()
	}
	return r
}

func (r *Result) addGoodput(s *Sample) {
	if !s.Complete {
		return
	}
	bin := int((s.Ended - r.Start) / int64(BinWidth))
	for len(r.Goodput) <= bin {
		r.Goodput = append(r.Goodput, 0)
	}
	r.Goodput[bin]++
}

func summaryFor[K comparable](m map[K]*Summary, key K) *Summary {
	sum, ok := m[key]
	if !ok {
		sum = newSummary()
		m[key] = sum
	}
	return sum
}

func newSummary() *Summary {
	return &Summary{
		Status: make(map[int]int), Reason: make(map[string]int), Run: make(map[string]int),
		histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (sum *Summary) add(s *Sample) {
	sum.Requests++
	if s.Complete {
		sum.Complete++
		latency := (s.Ended - s.Scheduled) / int64(time.Microsecond)
		_ = sum.histogram.RecordValue(min(max(latency, lowestLatency), highestLatency))
	}
	for i := range s.Attempts {
		sum.addAttempt(&s.Attempts[i])
	}
}

func (sum *Summary) addAttempt(t *Attempt) {
	sum.Attempts++
	sum.Status[t.Status]++
	sum.Run[t.Run]++
	if t.Reason != "" {
		sum.Reason[t.Reason]++
	}
	if t.Truncated {
		sum.Truncated++
	}
	if t.Mismatched {
		sum.Mismatched++
	}
	if t.RefusedForRate() {
		sum.RefusedForRate++
	}
	if t.WithinRate {
		sum.WithinRate++
		if t.RefusedForRate() {
			sum.RefusedWithinRate++
		}
	}
}

// RefusedForRate reports whether an attempt was refused by the rate limit, or
// because the limit could not be checked.
func (a *Attempt) RefusedForRate() bool {
	return a.Reason == "over-rate" || a.Reason == "ledger-unavailable"
}

func (sum *Summary) finish() {
	h := sum.histogram
	sum.Latency = Latency{
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
