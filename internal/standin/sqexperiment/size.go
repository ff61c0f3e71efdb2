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

// Sizes measures fleets of several sizes: the cost of the control traffic at rest,
// whether rates are kept, how long a change of the lists (workspaces and plans)
// takes to be in force at every daemon, and how long until a killed daemon is out of
// use. The exported fields are set before Run.
type Sizes struct {
	// Program is the path of the daemon's program; if empty, it is built for each
	// size.
	Program string
	// Daemons are the sizes, in daemons. Each fleet is spread over two regions with
	// two data centres each.
	Daemons []int
	// RestDuration is the time for which a fleet is measured at rest, once while healthy and
	// once during an outage of the platform.
	RestDuration time.Duration
	// Changes is the number of list changes to measure.
	Changes int
	// ExtraSettings is a TOML snippet for the daemons' settings.
	ExtraSettings string
	// Progress receives a line for each size; it must be set.
	Progress io.Writer
}

// RestFigures are the measurements of a fleet at rest. PlatformCalls is in calls per
// second of the whole fleet by kind. The others are for one daemon: bytes of control
// traffic per second, CPU seconds per second and resident memory.
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

// SizeFigures are the measurements of one size. Times are in seconds.
type SizeFigures struct {
	Daemons int `json:"daemons"`
	// Ready is the time until the fleet has started.
	Ready float64 `json:"ready"`
	// Healthy and Outage are at rest, without and with an outage of the platform.
	Healthy RestFigures `json:"healthy"`
	Outage  RestFigures `json:"outage"`
	// HealthyRate and OutageRate are under load, in the same two states.
	HealthyRate RateFigures `json:"healthyRate"`
	OutageRate  RateFigures `json:"outageRate"`
	// ChangeTimes are the times until a change was in force at every daemon, sorted.
	ChangeTimes []float64 `json:"changes"`
	// KillDetection is the time until no daemon's status shows a killed daemon as alive,
	// or -1 if that was not observed.
	KillDetection float64 `json:"killedOut"`
}

const (
	sizeDataCentres = 4
	// outageSettle is the pause after the platform goes down and after it is back.
	outageSettle = 3 * time.Second
	// startSettle is the pause between the start of a fleet and the measurements.
	startSettle                = 10 * time.Second
	sizeSlots     squnit.Slots = 16
	acceptTimeout              = 10 * time.Second
	pollInterval               = 20 * time.Millisecond
	killedTimeout              = 15 * time.Second
	// daemonStride is the step in daemons from one change to the next, so that
	// changes are put at different daemons.
	daemonStride = 7
)

// Run measures one size after the other. On an error it also returns the sizes
// completed so far.
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

// sizeLayout returns a fleet with one target in each data centre; the other daemons
// are spare, without a target.
func sizeLayout(daemons int) sqfleet.Layout {
	return sqfleet.Layout{
		Regions: 2, DataCentres: sizeDataCentres / 2, SpareDaemons: max(0, daemons/sizeDataCentres-1),
		Services: []sqfleet.Service{{Name: latencyService, Instances: 1, Slots: sizeSlots}},
	}
}

// runOne starts a fleet of one size and takes all measurements.
func (s *Sizes) runOne(ctx context.Context, daemons int) (*SizeFigures, error) {
	f := &sqfleet.Fleet{Program: s.Program, ExtraSettings: s.ExtraSettings, Layout: sizeLayout(daemons)}
	out := &SizeFigures{Daemons: len(f.Layout.Placements()), KillDetection: -1}
	start := time.Now()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	defer f.Stop()
	out.Ready = time.Since(start).Seconds()
	workspaceSpecs := sizeWorkspaceSpecs()
	if _, err := f.PutLists(ctx, f.Daemons()[0], sqfleet.Lists(workspaceSpecs)); err != nil {
		return nil, errors.Wrap(err, "put the lists")
	}
	cfg := (&Latency{Rate: 1}).loadConfig(workspaceSpecs[0], f.Daemons()[0].EntryURL())
	if err := WaitServing(ctx, f, cfg); err != nil {
		return nil, err
	}
	if err := f.WaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(startSettle)
	m := &sizeRun{fleet: f, workspaceSpecs: workspaceSpecs, out: out}
	for _, step := range []func(context.Context, *sizeRun) error{s.measureHealthy, s.measureOutage, s.measureChanges, s.measureKill} {
		if err := step(ctx, m); err != nil {
			return nil, errors.Join(err, f.Crashed())
		}
	}
	fmt.Fprintf(s.Progress, "%d daemons: measured\n", out.Daemons)
	return out, nil
}

// sizeRun is the state of the measurement of one size.
type sizeRun struct {
	fleet          *sqfleet.Fleet
	workspaceSpecs []sqfleet.WorkspaceSpec
	out            *SizeFigures
}

// measureHealthy measures a healthy fleet at rest and under load.
func (s *Sizes) measureHealthy(ctx context.Context, m *sizeRun) error {
	var err error
	if m.out.Healthy, err = s.measureRest(ctx, m.fleet); err != nil {
		return err
	}
	m.out.HealthyRate, err = m.measureRates(ctx, healthyLoadSeed)
	return err
}

// measureOutage measures a fleet at rest and under load during an outage of the
// platform.
func (s *Sizes) measureOutage(ctx context.Context, m *sizeRun) error {
	if err := m.fleet.SetFaults(ctx, map[string]any{"down": true}); err != nil {
		return err
	}
	time.Sleep(outageSettle)
	var err error
	if m.out.Outage, err = s.measureRest(ctx, m.fleet); err != nil {
		return err
	}
	if m.out.OutageRate, err = m.measureRates(ctx, outageLoadSeed); err != nil {
		return err
	}
	if err := m.fleet.SetFaults(ctx, map[string]any{"down": false}); err != nil {
		return err
	}
	time.Sleep(outageSettle)
	return nil
}

// counters holds the counters of a fleet at one time. Its slices are in the order of
// the fleet's daemons.
type counters struct {
	readAt        time.Time
	platformCalls map[string]int
	sent          []float64
	sentByKind    map[string]float64
	received      []float64
	usage         []sqfleet.Usage
}

// readCounters reads the platform's counters, and the metrics and resource usage of
// every daemon.
func readCounters(ctx context.Context, f *sqfleet.Fleet) (*counters, error) {
	r := &counters{readAt: time.Now(), sentByKind: make(map[string]float64)}
	var err error
	if r.platformCalls, err = f.PlatformCounts(ctx); err != nil {
		return nil, err
	}
	for _, d := range f.Daemons() {
		m, err := f.Metrics(ctx, d)
		if err != nil {
			return nil, err
		}
		const name = "sequoiatack_control_bytes_total"
		for kind, v := range m.By(name, "kind", "direction", "sent") {
			r.sentByKind[kind] += v
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

// measureRest returns the growth of the counters over the time RestDuration.
func (s *Sizes) measureRest(ctx context.Context, f *sqfleet.Fleet) (RestFigures, error) {
	a, err := readCounters(ctx, f)
	if err != nil {
		return RestFigures{}, err
	}
	time.Sleep(s.RestDuration)
	b, err := readCounters(ctx, f)
	if err != nil {
		return RestFigures{}, err
	}
	seconds := b.readAt.Sub(a.readAt).Seconds()
	out := RestFigures{PlatformCalls: make(map[string]float64), SentByKind: make(map[string]float64)}
	for kind, v := range b.sentByKind {
		out.SentByKind[kind] = (v - a.sentByKind[kind]) / seconds / float64(len(b.sent))
	}
	for kind, n := range b.platformCalls {
		out.PlatformCalls[kind] = float64(n-a.platformCalls[kind]) / seconds
	}
	out.SentMean, out.SentMax = meanAndMax(a.sent, b.sent, seconds)
	out.ReceivedMean, out.ReceivedMax = meanAndMax(a.received, b.received, seconds)
	out.CPUMean, out.CPUMax = meanAndMax(cpuSeconds(a.usage), cpuSeconds(b.usage), seconds)
	for _, u := range b.usage {
		out.ResidentMax = max(out.ResidentMax, u.Resident)
	}
	return out, nil
}

func cpuSeconds(all []sqfleet.Usage) []float64 {
	out := make([]float64, len(all))
	for i := range all {
		out[i] = all[i].CPUSeconds
	}
	return out
}

// meanAndMax returns the mean and the largest growth per second from a to b.
func meanAndMax(a, b []float64, seconds float64) (mean, largest float64) {
	for i := range a {
		v := (b[i] - a[i]) / seconds
		mean += v / float64(len(a))
		largest = max(largest, v)
	}
	return mean, largest
}

// measureChanges puts changed lists Changes times. Each gives the first workspace a
// new second key in place of that of the change before; the time until every daemon
// accepts it is measured.
func (s *Sizes) measureChanges(ctx context.Context, m *sizeRun) error {
	daemons := m.fleet.Daemons()
	for n := range s.Changes {
		key := sqid.NewKey()
		lists := sqfleet.Lists(m.workspaceSpecs)
		lists.Workspaces[0].KeyDigests = append(lists.Workspaces[0].KeyDigests, sqid.DigestKey(key))
		acceptor := daemons[n*daemonStride%len(daemons)]
		if _, err := m.fleet.PutList(ctx, acceptor, "workspaces", lists.Workspaces); err != nil {
			return errors.Wrap(err, "change the lists")
		}
		took, err := WaitKeyAccepted(ctx, m.fleet, key, time.Now())
		if err != nil {
			return err
		}
		m.out.ChangeTimes = append(m.out.ChangeTimes, took.Seconds())
	}
	slices.Sort(m.out.ChangeTimes)
	return nil
}

// measureKill kills a daemon and polls the others until none reports it as alive.
func (s *Sizes) measureKill(ctx context.Context, m *sizeRun) error {
	victim, others := m.fleet.Daemons()[0], m.fleet.Daemons()[1:]
	unreported, err := noneReportsAlive(ctx, m.fleet, others, victim)
	if err != nil {
		return err
	}
	victim.Kill()
	if unreported {
		// No status named the daemon before the kill, so that statuses can't show
		// when it is out of use.
		return nil
	}
	start := time.Now()
	for time.Since(start) < killedTimeout {
		gone, err := noneReportsAlive(ctx, m.fleet, others, victim)
		if err != nil {
			return err
		}
		if gone {
			m.out.KillDetection = time.Since(start).Seconds()
			return nil
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WriteSizes writes the figures of all sizes as a text table.
func WriteSizes(w io.Writer, all []SizeFigures) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(t, "daemons\tready s\tstate\tplatform calls/s\tsent B/s mean, max\treceived B/s mean, max\tcpu % mean, max\tRSS MB max\tchange everywhere s p50, p99, max\tkilled out s\trefused in rate\tworst excess")
	for _, f := range all {
		writeRest(t, &f, "healthy", &f.Healthy, &f.HealthyRate)
		writeRest(t, &f, "outage", &f.Outage, &f.OutageRate)
	}
	for _, f := range all {
		fmt.Fprintf(t, "%d daemons, healthy, sent B/s: %s; platform calls/s: %s\n",
			f.Daemons, formatByKind(f.Healthy.SentByKind), formatByKind(f.Healthy.PlatformCalls))
	}
	return t.Flush()
}

// formatByKind returns the values as text, in order of their kinds.
func formatByKind(m map[string]float64) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", kind, m[kind]))
	}
	return strings.Join(parts, ", ")
}

// writeRest writes the row of a size in one state. The platform calls that are open
// watches don't count in the total.
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
		quantile(f.ChangeTimes, 0.5), quantile(f.ChangeTimes, 0.99), quantile(f.ChangeTimes, 1), f.KillDetection,
		rate.Refused, rate.InRate, rate.WorstExcess)
}

// quantile returns a quantile of sorted values, or -1 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return -1
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
