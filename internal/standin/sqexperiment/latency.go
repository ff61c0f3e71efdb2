package sqexperiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// Latency measures the latency that the daemons add to a call: the entry, which
// accepts the caller's request, and the gate, which hands it to the target. It sends
// the same load directly to the target and through the daemons at the same time. The
// exported fields are set before Run.
type Latency struct {
	// Program is the path of the daemon's program; if empty, it is built.
	Program string
	// Rate is in calls per second on each path.
	Rate squnit.Rate
	// Duration is the length of the measurement, after the warm-up.
	Duration time.Duration
	// Seed determines the load.
	Seed uint64
	// ExtraSettings is a TOML snippet for the daemons' settings.
	ExtraSettings string
}

// PathLatency is the latency of one path to the target: quantiles of the time from
// the send to the complete answer, in microseconds.
type PathLatency struct {
	Path     string `json:"path"`
	Calls    int    `json:"calls"`
	Complete int    `json:"whole"`
	P50      int64  `json:"p50"`
	P90      int64  `json:"p90"`
	P99      int64  `json:"p99"`
	P999     int64  `json:"p999"`
	// Reasons counts the refusals by reason.
	Reasons map[string]int `json:"reason,omitempty"`
}

// LatencyReport is the result of Latency.Run. Paths has the direct path first.
type LatencyReport struct {
	Rate  squnit.Rate   `json:"rate"`
	Paths []PathLatency `json:"paths"`
	// EntryCPU and GateCPU are the CPU seconds used per second.
	EntryCPU float64 `json:"entryCpu"`
	GateCPU  float64 `json:"gateCpu"`
	// CallsPerCore is the calls per second for each core that entry and gate use
	// together.
	CallsPerCore float64 `json:"callsPerCore"`
}

const (
	latencyService sqid.ServiceID   = "echo"
	benchWorkspace sqid.WorkspaceID = "bench"
	latencySlots   squnit.Slots     = 512
	latencyTimeout                  = 2 * time.Second
	// planHeadroom is the plan's rate as a multiple of the load, so that nothing is
	// refused for the rate.
	planHeadroom = 4
	// latencySettle is the time until the keepers of a new fleet have settled. The
	// keeper is the daemon that owns a shard of its data centre's state.
	latencySettle = 8 * time.Second
)

// Run starts two daemons, one of them with a target, and measures both paths.
func (l *Latency) Run(ctx context.Context) (*LatencyReport, error) {
	f := &sqfleet.Fleet{Program: l.Program, ExtraSettings: l.ExtraSettings, Seed: l.Seed, Layout: sqfleet.Layout{
		Regions: 1, DataCentres: 1, SpareDaemons: 1,
		Services: []sqfleet.Service{{Name: latencyService, Instances: 1, Slots: latencySlots}},
	}}
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	defer f.Stop()
	spec := sqfleet.WorkspaceSpec{
		Name: benchWorkspace, Key: sqid.NewKey(), Rate: planHeadroom * l.Rate, Burst: squnit.Tokens(l.Rate),
		Uses: []sqlists.Use{{
			Service: latencyService, Importance: squnit.ImportanceNormal, Timeout: sqlists.Duration(latencyTimeout),
		}},
	}
	if _, err := f.PutLists(ctx, f.Daemons()[0], sqfleet.Lists([]sqfleet.WorkspaceSpec{spec})); err != nil {
		return nil, errors.Wrap(err, "put the lists")
	}
	through := l.loadConfig(spec, f.Daemons()[1].EntryURL())
	if err := WaitServing(ctx, f, through); err != nil {
		return nil, err
	}
	time.Sleep(latencySettle)
	direct := l.loadConfig(spec, "http://"+f.Targets()[0].Address)
	direct.Direct = true
	if _, err := l.runBoth(ctx, direct, through, warmUpFor); err != nil {
		return nil, err
	}
	return l.measure(ctx, f, direct, through)
}

func (l *Latency) loadConfig(t sqfleet.WorkspaceSpec, entry string) sqload.Config {
	return sqload.Config{
		Seed: l.Seed, Entries: []string{entry}, Timeout: sqsettings.Span(latencyTimeout),
		Workspaces: []sqload.Workspace{{
			Name: t.Name, Key: t.Key, Rate: l.Rate,
			Routes: []sqload.Route{{Method: http.MethodGet, Path: "/" + string(latencyService) + "/x"}},
		}},
	}
}

// measure sends both loads for Duration and returns the report.
func (l *Latency) measure(ctx context.Context, f *sqfleet.Fleet, direct, through sqload.Config) (*LatencyReport, error) {
	gate, entry := f.Daemons()[0], f.Daemons()[1]
	before, err := usages(entry.Process, gate.Process)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	results, err := l.runBoth(ctx, direct, through, l.Duration)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	after, err := usages(entry.Process, gate.Process)
	if err != nil {
		return nil, err
	}
	r := &LatencyReport{
		Rate:     l.Rate,
		Paths:    []PathLatency{pathLatency("direct", results[0]), pathLatency("entry and gate", results[1])},
		EntryCPU: (after[0].CPUSeconds - before[0].CPUSeconds) / elapsed,
		GateCPU:  (after[1].CPUSeconds - before[1].CPUSeconds) / elapsed,
	}
	r.CallsPerCore = float64(results[1].All.Complete) / elapsed / (r.EntryCPU + r.GateCPU)
	return r, nil
}

func usages(all ...*sqfleet.Process) ([]sqfleet.Usage, error) {
	out := make([]sqfleet.Usage, len(all))
	for i, p := range all {
		var err error
		if out[i], err = p.Usage(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// runBoth sends both loads at the same time for d, and returns the results in the
// order of the arguments.
func (l *Latency) runBoth(ctx context.Context, direct, through sqload.Config, d time.Duration) ([2]*sqload.Result, error) {
	var results [2]*sqload.Result
	var errs [2]error
	var wg sync.WaitGroup
	for i, cfg := range []sqload.Config{direct, through} {
		cfg.Duration = sqsettings.Span(d)
		wg.Go(func() { results[i], errs[i] = sqload.Run(ctx, cfg) })
	}
	wg.Wait()
	return results, errors.Join(errs[0], errs[1])
}

// pathLatency returns the latency of the complete answers, measured from the send
// and not from the scheduled time: delays of the load tool's timers don't belong to
// the path.
func pathLatency(path string, r *sqload.Result) PathLatency {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, s := range r.Samples {
		if s.Complete {
			a := s.Attempts[len(s.Attempts)-1]
			_ = h.RecordValue(max(1, (a.Ended-a.Sent)/int64(time.Microsecond)))
		}
	}
	return PathLatency{
		Path: path, Calls: r.All.Requests, Complete: r.All.Complete, Reasons: r.All.Reason,
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9),
	}
}

// WriteTable writes the report as text. The row "added" has the differences of the
// quantiles.
func (r *LatencyReport) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintf(t, "%.0f calls/s each way at the same time\n", float64(r.Rate))
	fmt.Fprintln(t, "path\tcalls\twhole\tp50 µs\tp90 µs\tp99 µs\tp99.9 µs\trefused")
	for _, p := range r.Paths {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\n", p.Path, p.Calls, p.Complete, p.P50, p.P90, p.P99, p.P999, p.Reasons)
	}
	a, b := r.Paths[0], r.Paths[1]
	fmt.Fprintf(t, "added\t\t\t%d\t%d\t%d\t%d\n", b.P50-a.P50, b.P90-a.P90, b.P99-a.P99, b.P999-a.P999)
	fmt.Fprintf(t, "cores: entry %.3f, gate %.3f; %.0f calls/s for each core of daemon\n", r.EntryCPU, r.GateCPU, r.CallsPerCore)
	return t.Flush()
}
