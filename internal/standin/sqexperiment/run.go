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
	servingTimeout = 15 * time.Second
	pollEvery      = 50 * time.Millisecond
	// warmUp is a load before the counted one, so that connections are open
	// and limits have been learned.
	warmUp = 2 * time.Second
)

// Runner runs an experiment. The exported fields are set before Run.
type Runner struct {
	File *File
	// Program is the daemon's program; empty builds it for each run.
	Program string
	// Seeds has one run of each variant for each seed.
	Seeds []uint64
	// Progress is told what happens.
	Progress io.Writer
}

// Run is one run of one variant.
type Run struct {
	Variant string  `json:"variant"`
	Seed    uint64  `json:"seed"`
	Figures Figures `json:"figures"`
	// Offered and Goodput count requests by bins of BinSpan, by the scheduled
	// time and by the time of the whole answer.
	Offered []int `json:"offered"`
	Goodput []int `json:"goodput"`
}

// Run runs every variant with every seed, one after the other.
func (r *Runner) Run(ctx context.Context) ([]Run, error) {
	var runs []Run
	for _, seed := range r.Seeds {
		for _, v := range r.File.Variants {
			run, err := r.runOne(ctx, v, seed)
			if err != nil {
				return runs, errors.Wrapf(err, "%s, seed %d", v.Name, seed)
			}
			fmt.Fprintf(r.Progress, "%s: %s, seed %d: %s\n", r.File.Name, v.Name, seed, run.Figures.line())
			runs = append(runs, run)
		}
	}
	return runs, nil
}

func (r *Runner) runOne(ctx context.Context, v Variant, seed uint64) (Run, error) {
	f := &sqfleet.Fleet{Layout: r.File.Fleet, Program: r.Program, Extra: v.Extra, Seed: seed}
	if err := f.Start(ctx); err != nil {
		return Run{}, err
	}
	defer f.Stop()
	tenants := r.File.tenants()
	if _, err := f.PutLists(ctx, f.Daemons()[0], sqfleet.Lists(tenants)); err != nil {
		return Run{}, errors.Wrap(err, "put the lists")
	}
	cfg := r.File.load(seed, entries(f), tenants)
	if err := WaitServing(ctx, f, cfg); err != nil {
		return Run{}, err
	}
	time.Sleep(time.Duration(r.File.Settle))
	warm := cfg
	warm.Seed, warm.Duration = seed+1<<32, sqsettings.Span(warmUp)
	for i := range warm.Workspaces {
		warm.Workspaces[i].Name = cfg.Workspaces[i].Name
	}
	if _, err := sqload.Run(ctx, warm); err != nil {
		return Run{}, err
	}
	return r.measure(ctx, f, cfg, v)
}

// measure sends the load, brings about the events and works out the figures.
func (r *Runner) measure(ctx context.Context, f *sqfleet.Fleet, cfg sqload.Config, v Variant) (Run, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan error, 1)
	start := time.Now()
	go func() { events <- r.events(ctx, f, start) }()
	result, err := sqload.Run(ctx, cfg)
	if err != nil {
		return Run{}, err
	}
	if err := <-events; err != nil {
		return Run{}, err
	}
	runs, err := f.AllRuns(ctx)
	if err != nil {
		return Run{}, err
	}
	if err := f.Crashed(); err != nil {
		return Run{}, err
	}
	e := &sqverify.Evidence{Samples: result.Samples, Runs: runs}
	out := Run{Variant: v.Name, Seed: cfg.Seed, Goodput: result.Goodput, Offered: offered(result)}
	out.Figures = r.File.figures(e, result)
	return out, nil
}

func (r *Runner) events(ctx context.Context, f *sqfleet.Fleet, start time.Time) error {
	for i := range r.File.Events {
		e := &r.File.Events[i]
		select {
		case <-time.After(time.Until(start.Add(time.Duration(e.At)))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := actions[e.Action](ctx, e.choose(f), e); err != nil {
			return errors.Wrapf(err, "event at %v", time.Duration(e.At))
		}
	}
	return nil
}

func offered(result *sqload.Result) []int {
	var bins []int
	for i := range result.Samples {
		bin := int((result.Samples[i].Scheduled - result.Start) / int64(sqload.BinSpan))
		for len(bins) <= bin {
			bins = append(bins, 0)
		}
		bins[bin]++
	}
	return bins
}

// entries returns the URLs of all daemons.
func entries(f *sqfleet.Fleet) []string {
	var urls []string
	for _, d := range f.Daemons() {
		urls = append(urls, d.Entry())
	}
	return urls
}

// WaitServing waits until every entry of cfg answers its first route whole.
func WaitServing(ctx context.Context, f *sqfleet.Fleet, cfg sqload.Config) error {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	prober := sqload.NewProber(cfg)
	for _, d := range f.Daemons() {
		for n := 0; ; n++ {
			s := prober.Send(ctx, d.Entry(), fmt.Sprintf("ready-%s-%d", d.Name, n), "", cfg.Workspaces[0].Routes[0])
			if s.Whole {
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
