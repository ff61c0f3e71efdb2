package sqexperiment

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
)

// Sizes measures fleets of several sizes at rest: what control costs, how
// fast a change of the lists is in force everywhere, and how fast a killed
// daemon is out of use. The exported fields are set before Run.
type Sizes struct {
	// Program is the daemon's program; empty builds it for each size.
	Program string
	// Daemons has the sizes; each is spread over two regions with two data
	// centres each.
	Daemons []int
	// Rest is how long a fleet is measured at rest, healthy and then in a
	// platform outage.
	Rest time.Duration
	// Changes is the number of changes of the lists.
	Changes int
	// Extra is a TOML snippet for the daemons' settings.
	Extra string
	// Progress is told what happens.
	Progress io.Writer
}

// RestFigures are of a fleet at rest. Rates are a second; those of daemons
// are of one daemon.
type RestFigures struct {
	PlatformCalls map[string]float64 `json:"platformCalls"`
	SentByKind    map[string]float64 `json:"sentByKind"`
	SentMean      float64            `json:"sentMean"`
	SentMax       float64            `json:"sentMax"`
	ReceivedMean  float64            `json:"receivedMean"`
	ReceivedMax   float64            `json:"receivedMax"`
	CPUMean       float64            `json:"cpuMean"`
	CPUMax        float64            `json:"cpuMax"`
	ResidentMax   squnit.Bytes       `json:"residentMax"`
}

// SizeFigures are what one size measured. Times are in seconds.
type SizeFigures struct {
	Daemons int         `json:"daemons"`
	Ready   float64     `json:"ready"`
	Healthy RestFigures `json:"healthy"`
	Outage  RestFigures `json:"outage"`
	// HealthyRate and OutageRate are of load inside and above the rate.
	HealthyRate RateFigures `json:"healthyRate"`
	OutageRate  RateFigures `json:"outageRate"`
	// Changes are the times until a change was in force everywhere, in order.
	Changes []float64 `json:"changes"`
	// KilledOut is the time until no daemon routes to a killed one any more,
	// -1 if that was not seen.
	KilledOut float64 `json:"killedOut"`
}

const (
	sizeCentres                 = 4
	settleTime                  = 3 * time.Second
	sizeSettle                  = 10 * time.Second
	sizeSlots      squnit.Slots = 16
	everywhereWait              = 10 * time.Second
	statusEvery                 = 20 * time.Millisecond
	killedWait                  = 15 * time.Second
	// stride spreads changes over the daemons.
	stride = 7
)

// Run measures one size after the other.
func (s *Sizes) Run(ctx context.Context) ([]SizeFigures, error) {
	var all []SizeFigures
	for _, n := range s.Daemons {
		figures, err := s.runOne(ctx, n)
		if err != nil {
			return all, errors.Wrapf(err, "%d daemons", n)
		}
		all = append(all, *figures)
	}
	return all, nil
}

// sizeLayout has one target in each data centre; the other daemons are spare.
func sizeLayout(daemons int) sqfleet.Layout {
	return sqfleet.Layout{
		Regions: 2, DataCentres: sizeCentres / 2, SpareDaemons: max(0, daemons/sizeCentres-1),
		Services: []sqfleet.Service{{Name: latencyService, Instances: 1, Slots: sizeSlots}},
	}
}

func (s *Sizes) runOne(ctx context.Context, daemons int) (*SizeFigures, error) {
	f := &sqfleet.Fleet{Program: s.Program, Extra: s.Extra, Layout: sizeLayout(daemons)}
	out := &SizeFigures{Daemons: len(f.Layout.Seats()), KilledOut: -1}
	start := time.Now()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	defer f.Stop()
	out.Ready = time.Since(start).Seconds()
	tenants := sizeTenants()
	if _, err := f.PutLists(ctx, f.Daemons()[0], sqfleet.Lists(tenants)); err != nil {
		return nil, errors.Wrap(err, "put the lists")
	}
	cfg := (&Latency{Rate: 1}).config(tenants[0], f.Daemons()[0].Entry())
	if err := WaitServing(ctx, f, cfg); err != nil {
		return nil, err
	}
	if err := f.WaitSettled(ctx); err != nil {
		return nil, err
	}
	time.Sleep(sizeSettle)
	m := &sizeRun{fleet: f, tenants: tenants, out: out}
	for _, step := range []func(context.Context, *sizeRun) error{s.rest, s.outage, s.changes, s.kill} {
		if err := step(ctx, m); err != nil {
			return nil, errors.Join(err, f.Crashed())
		}
	}
	fmt.Fprintf(s.Progress, "%d daemons: measured\n", out.Daemons)
	return out, nil
}

// sizeRun is one size while it is measured.
type sizeRun struct {
	fleet   *sqfleet.Fleet
	tenants []sqfleet.Tenant
	out     *SizeFigures
}

func (s *Sizes) rest(ctx context.Context, m *sizeRun) error {
	var err error
	if m.out.Healthy, err = s.atRest(ctx, m.fleet); err != nil {
		return err
	}
	m.out.HealthyRate, err = m.rates(ctx, healthySeed)
	return err
}

func (s *Sizes) outage(ctx context.Context, m *sizeRun) error {
	if err := m.fleet.SetFaults(ctx, map[string]any{"down": true}); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var err error
	if m.out.Outage, err = s.atRest(ctx, m.fleet); err != nil {
		return err
	}
	if m.out.OutageRate, err = m.rates(ctx, outageSeed); err != nil {
		return err
	}
	if err := m.fleet.SetFaults(ctx, map[string]any{"down": false}); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// reading is what the counters of a fleet show at one time.
type reading struct {
	at       time.Time
	platform map[string]int
	sent     []float64
	kinds    map[string]float64
	received []float64
	usage    []sqfleet.Usage
}

func read(ctx context.Context, f *sqfleet.Fleet) (*reading, error) {
	r := &reading{at: time.Now(), kinds: make(map[string]float64)}
	var err error
	if r.platform, err = f.PlatformCounts(ctx); err != nil {
		return nil, err
	}
	for _, d := range f.Daemons() {
		m, err := f.Metrics(ctx, d)
		if err != nil {
			return nil, err
		}
		const name = "sequoiatack_control_bytes_total"
		for kind, v := range m.By(name, "kind", "direction", "sent") {
			r.kinds[kind] += v
		}
		r.sent = append(r.sent, m.Sum(name, "direction", "sent"))
		r.received = append(r.received, m.Sum(name, "direction", "received"))
		u, err := d.Usage()
		if err != nil {
			return nil, err
		}
		r.usage = append(r.usage, u)
	}
	return r, nil
}

func (s *Sizes) atRest(ctx context.Context, f *sqfleet.Fleet) (RestFigures, error) {
	a, err := read(ctx, f)
	if err != nil {
		return RestFigures{}, err
	}
	time.Sleep(s.Rest)
	b, err := read(ctx, f)
	if err != nil {
		return RestFigures{}, err
	}
	seconds := b.at.Sub(a.at).Seconds()
	out := RestFigures{PlatformCalls: make(map[string]float64), SentByKind: make(map[string]float64)}
	for kind, v := range b.kinds {
		out.SentByKind[kind] = (v - a.kinds[kind]) / seconds / float64(len(b.sent))
	}
	for kind, n := range b.platform {
		out.PlatformCalls[kind] = float64(n-a.platform[kind]) / seconds
	}
	out.SentMean, out.SentMax = meanAndMax(a.sent, b.sent, seconds)
	out.ReceivedMean, out.ReceivedMax = meanAndMax(a.received, b.received, seconds)
	out.CPUMean, out.CPUMax = meanAndMax(cpu(a.usage), cpu(b.usage), seconds)
	for _, u := range b.usage {
		out.ResidentMax = max(out.ResidentMax, u.Resident)
	}
	return out, nil
}

func cpu(all []sqfleet.Usage) []float64 {
	out := make([]float64, len(all))
	for i := range all {
		out[i] = all[i].CPUSeconds
	}
	return out
}

// meanAndMax returns the mean and the largest growth a second.
func meanAndMax(a, b []float64, seconds float64) (mean, largest float64) {
	for i := range a {
		v := (b[i] - a[i]) / seconds
		mean += v / float64(len(a))
		largest = max(largest, v)
	}
	return mean, largest
}

// changes swaps the key of the workspace and polls every daemon until it
// takes the new one.
func (s *Sizes) changes(ctx context.Context, m *sizeRun) error {
	daemons := m.fleet.Daemons()
	for n := range s.Changes {
		key := sqid.NewKey()
		lists := sqfleet.Lists(m.tenants)
		lists.Workspaces[0].KeyDigests = append(lists.Workspaces[0].KeyDigests, sqid.DigestKey(key))
		at := daemons[n*stride%len(daemons)]
		if _, err := m.fleet.PutList(ctx, at, "workspaces", lists.Workspaces); err != nil {
			return errors.Wrap(err, "change the lists")
		}
		took, err := TakenEverywhere(ctx, m.fleet, key, time.Now())
		if err != nil {
			return err
		}
		m.out.Changes = append(m.out.Changes, took.Seconds())
	}
	slices.Sort(m.out.Changes)
	return nil
}

// kill ends a daemon and polls the others until none shows it as alive.
func (s *Sizes) kill(ctx context.Context, m *sizeRun) error {
	victim, others := m.fleet.Daemons()[0], m.fleet.Daemons()[1:]
	unknown, err := unknownTo(ctx, m.fleet, others, victim)
	if err != nil {
		return err
	}
	victim.Kill()
	if unknown {
		// The statuses never named it, so they can't tell when it is gone.
		return nil
	}
	start := time.Now()
	for time.Since(start) < killedWait {
		gone, err := unknownTo(ctx, m.fleet, others, victim)
		if err != nil {
			return err
		}
		if gone {
			m.out.KilledOut = time.Since(start).Seconds()
			return nil
		}
		time.Sleep(statusEvery)
	}
	return nil
}

// WriteSizes writes the figures of all sizes as text.
func WriteSizes(w io.Writer, all []SizeFigures) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(t, "daemons\tready s\tstate\tplatform calls/s\tsent B/s mean, max\treceived B/s mean, max\tcpu % mean, max\tRSS MB max\tchange everywhere s p50, p99, max\tkilled out s\trefused in rate\tworst excess")
	for _, f := range all {
		writeRest(t, &f, "healthy", &f.Healthy, &f.HealthyRate)
		writeRest(t, &f, "outage", &f.Outage, &f.OutageRate)
	}
	for _, f := range all {
		fmt.Fprintf(t, "%d daemons, healthy, sent B/s: %s; platform calls/s: %s\n",
			f.Daemons, byKind(f.Healthy.SentByKind), byKind(f.Healthy.PlatformCalls))
	}
	return t.Flush()
}

func byKind(m map[string]float64) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", kind, m[kind]))
	}
	return strings.Join(parts, ", ")
}

func writeRest(w io.Writer, f *SizeFigures, state string, r *RestFigures, rate *RateFigures) {
	const percent, mega = 100, 1 << 20
	total := 0.0
	for kind, v := range r.PlatformCalls {
		if kind != "watching" {
			total += v
		}
	}
	fmt.Fprintf(w, "%d\t%.1f\t%s\t%.2f\t%.0f, %.0f\t%.0f, %.0f\t%.2f, %.2f\t%.0f\t%.2f, %.2f, %.2f\t%.2f\t%d of %d\t%.1f\n",
		f.Daemons, f.Ready, state, total, r.SentMean, r.SentMax, r.ReceivedMean, r.ReceivedMax,
		r.CPUMean*percent, r.CPUMax*percent, float64(r.ResidentMax)/mega,
		quantile(f.Changes, 0.5), quantile(f.Changes, 0.99), quantile(f.Changes, 1), f.KilledOut,
		rate.Refused, rate.InRate, rate.WorstExcess)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return -1
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
