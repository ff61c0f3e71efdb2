package sqexperiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
)

const (
	// servingTimeout and pollEvery are of WaitServing.
	servingTimeout = 15 * time.Second
	pollEvery      = 50 * time.Millisecond
	// warmUpFor is the duration of a load before the measured one, which opens
	// connections and lets adaptive limits converge.
	warmUpFor = 2 * time.Second
)

// Runner runs an experiment. The exported fields are set before Run.
type Runner struct {
	File *File
	// Program is the path of the daemon's program; if empty, it is built for each
	// run.
	Program string
	// Seeds are the seeds of the load; each variant is run once with each.
	Seeds []uint64
	// Progress receives a line for each run; it must be set.
	Progress io.Writer
}

// Run is the result of running one variant with one seed.
type Run struct {
	Variant string  `json:"variant"`
	Seed    uint64  `json:"seed"`
	Figures Figures `json:"figures"`
	// Offered and Goodput count requests in bins of sqload.BinWidth: Offered by their
	// scheduled time, Goodput by the time of the complete answer.
	Offered []int `json:"offered"`
	Goodput []int `json:"goodput"`
}

// Run runs every variant with every seed, one after the other. On an error it also
// returns the runs completed so far.
func (r *Runner) Run(ctx context.Context) ([]Run, error) {
	var runs []Run
	for _, seed := range r.Seeds {
		for _, v := range r.File.Variants {
			run, err := r.runOne(ctx, v, seed)
			if err != nil {
				return runs, errors.Wrapf(err, "%s, seed %d", v.Name, seed)
			}
			fmt.Fprintf(r.Progress, "%s: %s, seed %d: %s\n", r.File.Name, v.Name, seed, run.Figures.summary())
			runs = append(runs, run)
		}
	}
	return runs, nil
}

// runOne starts a fleet, warms it up and measures one run.
func (r *Runner) runOne(ctx context.Context, v Variant, seed uint64) (Run, error) {
	f := &sqfleet.Fleet{Layout: r.File.Fleet, Program: r.Program, ExtraSettings: v.ExtraSettings, Seed: seed}
	if err := f.Start(ctx); err != nil {
		return Run{}, err
	}
	defer f.Stop()
	workspaceSpecs := r.File.workspaceSpecs()
	if _, err := f.PutLists(ctx, f.Daemons()[0], sqfleet.Lists(workspaceSpecs)); err != nil {
		return Run{}, errors.Wrap(err, "put the lists")
	}
	cfg := r.File.loadConfig(seed, entryURLs(f), workspaceSpecs)
	if err := WaitServing(ctx, f, cfg); err != nil {
		return Run{}, err
	}
	time.Sleep(time.Duration(r.File.Settle))
	warmUpConfig := cfg
	warmUpConfig.Seed, warmUpConfig.Duration = seed+1<<32, sqsettings.Span(warmUpFor)
	for i := range warmUpConfig.Workspaces {
		warmUpConfig.Workspaces[i].Name = cfg.Workspaces[i].Name
	}
	if _, err := sqload.Run(ctx, warmUpConfig); err != nil {
		return Run{}, err
	}
	return r.measure(ctx, f, cfg, v)
}

// measure sends the load, plays the events at their times and computes the figures.
func (r *Runner) measure(ctx context.Context, f *sqfleet.Fleet, cfg sqload.Config, v Variant) (Run, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan error, 1)
	start := time.Now()
	go func() { events <- r.playEvents(ctx, f, start) }()
	result, err := sqload.Run(ctx, cfg)
	if err != nil {
		return Run{}, err
	}
	if err := <-events; err != nil {
		return Run{}, err
	}
	runs, err := f.AllCallRecords(ctx)
	if err != nil {
		return Run{}, err
	}
	if err := f.Crashed(); err != nil {
		return Run{}, err
	}
	e := &sqverify.Evidence{Samples: result.Samples, Runs: runs}
	out := Run{Variant: v.Name, Seed: cfg.Seed, Goodput: result.Goodput, Offered: offeredBins(result)}
	out.Figures = r.File.computeFigures(e, result)
	return out, nil
}

// playEvents runs each event of the file at its time after start.
func (r *Runner) playEvents(ctx context.Context, f *sqfleet.Fleet, start time.Time) error {
	for i := range r.File.Events {
		e := &r.File.Events[i]
		select {
		case <-time.After(time.Until(start.Add(time.Duration(e.At)))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := actions[e.Action](ctx, e.selectFrom(f), e); err != nil {
			return errors.Wrapf(err, "event at %v", time.Duration(e.At))
		}
	}
	return nil
}

// offeredBins counts the requests by bins of their scheduled time.
func offeredBins(result *sqload.Result) []int {
	var bins []int
	for i := range result.Samples {
		bin := int((result.Samples[i].Scheduled - result.Start) / int64(sqload.BinWidth))
		for len(bins) <= bin {
			bins = append(bins, 0)
		}
		bins[bin]++
	}
	return bins
}

// entryURLs returns the URLs of the entries of all daemons.
func entryURLs(f *sqfleet.Fleet) []string {
	var urls []string
	for _, d := range f.Daemons() {
		urls = append(urls, d.EntryURL())
	}
	return urls
}

// WaitServing waits until every daemon of f gives a complete answer to the first
// route of cfg's first workspace. It fails after servingTimeout.
func WaitServing(ctx context.Context, f *sqfleet.Fleet, cfg sqload.Config) error {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	prober := sqload.NewProber(cfg)
	for _, d := range f.Daemons() {
		for n := 0; ; n++ {
			s := prober.Send(ctx, d.EntryURL(), fmt.Sprintf("ready-%s-%d", d.Name, n), "", cfg.Workspaces[0].Routes[0])
			if s.Complete {
				break
			}
			if ctx.Err() != nil {
				a := s.Attempts[0]
				return errors.Errorf("%s does not serve: status %d, reason %q, %s", d.Name, a.Status, a.Reason, a.Err)
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}
