package sqchaos

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqexperiment"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverdict"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// Chaos is one run of a fleet under load and random faults. The exported fields
// are set before Run.
type Chaos struct {
	// Program is the path of the daemon's program; if empty, it is built.
	Program string
	// Seed determines the faults and the load.
	Seed uint64
	// Duration is the time for which load is sent.
	Duration time.Duration
	// ExtraSettings is a TOML snippet for the daemons' settings.
	ExtraSettings string
	// Progress receives a line for each fault and error; nil discards them.
	Progress io.Writer

	fleet          *sqfleet.Fleet
	workspaceSpecs []sqfleet.WorkspaceSpec
	// processLocks has a lock for each daemon, in the order of fleet.Daemons,
	// held while a fault kills, pauses or stops its process.
	processLocks []sync.Mutex

	// mu guards acceptedKeys and writes to Progress.
	mu sync.Mutex
	// acceptedKeys are the API keys that accepted changes of the lists added to
	// the first workspace, in order.
	acceptedKeys []string
	rows         []sqverdict.Row
}

const (
	entryService  sqid.ServiceID = "orders"
	nestedService sqid.ServiceID = "stock"

	// stopTimeout is the time that a daemon has to end on SIGTERM.
	stopTimeout   = 10 * time.Second
	callerTimeout = time.Second
	// inForceLimit is the time from the start of checkLists by which the last
	// accepted lists must be in force at every daemon.
	inForceLimit = 6 * time.Second
)

// layout returns a fleet of two regions with two data centres each, and a chain
// of two services.
func layout() sqfleet.Layout {
	serviceTime := sqsimtarget.ServiceTime{Kind: sqsimtarget.KindExponential, Mean: sqsettings.Span(3 * time.Millisecond)}
	return sqfleet.Layout{
		Regions: 2, DataCentres: 2,
		Services: []sqfleet.Service{
			{
				Name: entryService, Instances: 1, Slots: 20, ServiceTime: serviceTime,
				Nested: []sqsimtarget.NestedCall{{Service: nestedService, Path: "/take", Method: http.MethodPost}},
			},
			{Name: nestedService, Instances: 1, Slots: 20, ServiceTime: serviceTime},
		},
	}
}

// workspaceSpecs returns the workspaces with their plans. The first one gets the keys
// that changes of the lists add.
func workspaceSpecs() []sqfleet.WorkspaceSpec {
	uses := []sqlists.Use{{
		Service: entryService, Importance: squnit.ImportanceNormal, Timeout: sqlists.Duration(callerTimeout), Retries: 2,
	}}
	spec := func(name sqid.WorkspaceID, rate squnit.Rate, burst squnit.Tokens) sqfleet.WorkspaceSpec {
		return sqfleet.WorkspaceSpec{Name: name, Key: sqid.NewKey(), Rate: rate, Burst: burst, Weight: 1, Uses: uses}
	}
	return []sqfleet.WorkspaceSpec{spec("steady", 200, 100), spec("greedy", 50, 20), spec("small", 5, 3)}
}

// loadConfig returns the load: one workspace inside its rate and two far above
// theirs. All clients repeat failed operations through another entry.
func (c *Chaos) loadConfig() sqload.Config {
	cfg := sqload.Config{Seed: c.Seed, Duration: sqsettings.Span(c.Duration), Timeout: sqsettings.Span(callerTimeout)}
	for _, d := range c.fleet.Daemons() {
		cfg.Entries = append(cfg.Entries, d.EntryURL())
	}
	rates := []squnit.Rate{80, 150, 40}
	for i, t := range c.workspaceSpecs {
		cfg.Workspaces = append(cfg.Workspaces, sqload.Workspace{
			Name: t.Name, Key: t.Key, Rate: rates[i], PlanRate: t.Rate, PlanBurst: t.Burst,
			Repeats: 2, Backoff: sqsettings.Span(20 * time.Millisecond),
			Routes: []sqload.Route{
				{Method: http.MethodPost, Path: "/orders/place", Weight: 2, Operations: true, BodyBytes: 100},
				{Method: http.MethodPost, Path: "/orders/note", Weight: 1},
				{Path: "/orders/list", Weight: 1},
			},
		})
	}
	return cfg
}

// Run runs the fleet under faults and returns a row for each checked property.
func (c *Chaos) Run(ctx context.Context) ([]sqverdict.Row, error) {
	c.fleet = &sqfleet.Fleet{Layout: layout(), Program: c.Program, ExtraSettings: c.ExtraSettings, Seed: c.Seed}
	c.processLocks = make([]sync.Mutex, len(c.fleet.Layout.Placements()))
	c.workspaceSpecs = workspaceSpecs()
	plan := Plan(c.Seed, len(c.fleet.Layout.Placements()), c.Duration)
	c.logf("seed %d, %d faults", c.Seed, len(plan))
	if err := c.fleet.Start(ctx); err != nil {
		return nil, err
	}
	defer c.fleet.Stop()
	if _, err := c.fleet.PutLists(ctx, c.fleet.Daemons()[0], sqfleet.Lists(c.workspaceSpecs)); err != nil {
		return nil, errors.Wrap(err, "put the lists")
	}
	cfg := c.loadConfig()
	if err := sqexperiment.WaitServing(ctx, c.fleet, cfg); err != nil {
		return nil, err
	}
	result, err := c.runLoad(ctx, cfg, plan)
	if err != nil {
		return nil, err
	}
	if err := c.checkAll(ctx, result); err != nil {
		return nil, err
	}
	return c.rows, nil
}

// runLoad sends the load and injects each fault of the plan at its time. It
// returns when the load has ended and all faults are reverted. A fault that can't
// be injected is only reported as progress.
func (c *Chaos) runLoad(ctx context.Context, cfg sqload.Config, plan []Fault) (*sqload.Result, error) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range plan {
		wg.Go(func() {
			select {
			case <-time.After(time.Until(start.Add(f.Start))):
				c.logf("%v", f)
				if err := c.inject(ctx, f); err != nil {
					c.logf("%s: %v", f.Kind, err)
				}
			case <-ctx.Done():
			}
		})
	}
	result, err := sqload.Run(ctx, cfg)
	wg.Wait()
	return result, err
}

func (c *Chaos) logf(format string, args ...any) {
	if c.Progress == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.Progress, format+"\n", args...)
}

// checkAll adds the rows of all properties: it compares the answers with the
// targets' records and checks the lists in force.
func (c *Chaos) checkAll(ctx context.Context, result *sqload.Result) error {
	crashed := c.fleet.Crashed()
	c.addRow(sqverdict.Row{
		Property: "no process crashes", CheckedBy: "processes that ended unasked", Figure: "-",
		Verdict: sqverdict.FromBool(crashed == nil), Reason: fmt.Sprint(crashed),
	})
	runs, err := c.fleet.AllCallRecords(ctx)
	if err != nil {
		return err
	}
	e := &sqverify.Evidence{Samples: result.Samples, Runs: runs}
	for _, t := range c.workspaceSpecs {
		excess := sqverify.WorstExcess(e.Admissions(t.Name), t.Rate, t.Burst)
		c.addRow(sqverdict.Row{
			Property:  fmt.Sprintf("%s gets no more than %.0f + %.0f/s", t.Name, float64(t.Burst), float64(t.Rate)),
			CheckedBy: "every window of answers and records",
			Figure:    fmt.Sprintf("worst excess %.1f of %d admitted", excess, len(e.Admissions(t.Name))),
			Verdict:   sqverdict.FromBool(excess <= 0), Reason: "above rate and burst",
		})
	}
	c.addRow(sqverdict.ViolationsRow("non-idempotent requests run at most once", "records of all targets", e.DuplicateRuns()))
	c.addRow(sqverdict.ViolationsRow("\"not-run\" is true", "answers against records", e.FalseNotRun()))
	c.addRow(sqverdict.ViolationsRow("\"run\" is true", "answers against records", e.FalseRun()))
	c.addRow(sqverdict.ViolationsRow("no key at a target", "headers at the targets", e.LeakedKeys()))
	c.addRow(sqverdict.ViolationsRow("no crossed answer", "request id and workspace", e.Crossed()))
	c.checkLists(ctx)
	summary := result.ByWorkspace[c.workspaceSpecs[0].Name]
	c.logf("%s: %d of %d whole; %d of %d attempts inside the rate refused for it (a figure, not a check: faults held)",
		c.workspaceSpecs[0].Name, summary.Complete, summary.Requests, summary.RefusedWithinRate, summary.WithinRate)
	return nil
}

func (c *Chaos) addRow(r sqverdict.Row) { c.rows = append(c.rows, r) }

// checkLists checks that the last accepted lists are in force at every daemon:
// each must accept the last added key.
func (c *Chaos) checkLists(ctx context.Context) {
	key := c.workspaceSpecs[0].Key
	if len(c.acceptedKeys) > 0 {
		key = c.acceptedKeys[len(c.acceptedKeys)-1]
	}
	took, err := sqexperiment.WaitKeyAccepted(ctx, c.fleet, key, time.Now())
	c.addRow(sqverdict.Row{
		Property: "the last accepted lists are in force everywhere", CheckedBy: "each daemon takes the key that they brought",
		Figure:  fmt.Sprintf("%d changes accepted, %v", len(c.acceptedKeys), took.Round(time.Millisecond)),
		Verdict: sqverdict.FromBool(err == nil && took <= inForceLimit), Reason: fmt.Sprint(err),
	})
}
