package sqexperiment

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// RateFigures are the results of a load with workspaces within and above their rate.
type RateFigures struct {
	// InRate counts the attempts within the rate of the workspaces that keep it,
	// Refused those of them that were refused for the rate.
	InRate  int `json:"inRate"`
	Refused int `json:"refused"`
	// WorstExcess is the largest excess of any workspace over its rate and burst, in
	// requests; the limits were kept if it is at most 0.
	WorstExcess float64 `json:"worstExcess"`
}

const (
	rateLoadFor = 8 * time.Second
	// healthyLoadSeed and outageLoadSeed are the seeds of the load while the platform
	// is up and while it is down.
	healthyLoadSeed = 1
	outageLoadSeed  = 2
	// inRateFactor and greedyFactor are the offered rates, as multiples of the plan's
	// rate.
	inRateFactor    = 0.9
	greedyFactor    = 4
	greedyWorkspace = sqid.WorkspaceID("greedy")
)

// sizeWorkspaceSpecs returns the workspaces of the size measurements: one for probes, two
// that stay within their rate and one that exceeds it.
func sizeWorkspaceSpecs() []sqfleet.WorkspaceSpec {
	uses := []sqlists.Use{{
		Service: latencyService, Importance: squnit.ImportanceNormal, Timeout: sqlists.Duration(latencyTimeout), Retries: 2,
	}}
	spec := func(name sqid.WorkspaceID, rate squnit.Rate, burst squnit.Tokens) sqfleet.WorkspaceSpec {
		return sqfleet.WorkspaceSpec{Name: name, Key: sqid.NewKey(), Rate: rate, Burst: burst, Weight: 1, Uses: uses}
	}
	return []sqfleet.WorkspaceSpec{
		spec(benchWorkspace, 1000, 1000), spec("wide", 200, 100), spec("narrow", 5, 3), spec(greedyWorkspace, 60, 30),
	}
}

// measureRates sends load through every daemon and compares what was admitted and
// refused with the plans.
func (m *sizeRun) measureRates(ctx context.Context, seed uint64) (RateFigures, error) {
	cfg := sqload.Config{
		Seed: seed, Entries: entryURLs(m.fleet), Duration: sqsettings.Span(rateLoadFor),
		Arrivals: sqload.ArrivalsFixed, Timeout: sqsettings.Span(latencyTimeout),
	}
	for _, t := range m.workspaceSpecs[1:] {
		offered := inRateFactor * t.Rate
		if t.Name == greedyWorkspace {
			offered = greedyFactor * t.Rate
		}
		cfg.Workspaces = append(cfg.Workspaces, sqload.Workspace{
			Name: t.Name, Key: t.Key, Rate: offered, PlanRate: t.Rate, PlanBurst: t.Burst,
			Routes: []sqload.Route{{Method: http.MethodGet, Path: "/" + string(latencyService) + "/x"}},
		})
	}
	result, err := sqload.Run(ctx, cfg)
	if err != nil {
		return RateFigures{}, err
	}
	runs, err := m.fleet.AllCallRecords(ctx)
	if err != nil {
		return RateFigures{}, err
	}
	e := &sqverify.Evidence{Samples: result.Samples, Runs: runs}
	out := RateFigures{WorstExcess: math.Inf(-1)}
	for _, t := range m.workspaceSpecs[1:] {
		out.WorstExcess = max(out.WorstExcess, sqverify.WorstExcess(e.Admissions(t.Name), t.Rate, t.Burst))
		if a := result.ByWorkspace[t.Name]; a != nil && t.Name != greedyWorkspace {
			out.InRate += a.WithinRate
			out.Refused += a.RefusedWithinRate
		}
	}
	return out, nil
}
