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

// RateFigures are what load inside and above the rate showed.
type RateFigures struct {
	// InRate and Refused count attempts of the workspaces inside their rate.
	InRate  int `json:"inRate"`
	Refused int `json:"refused"`
	// WorstExcess is the largest excess of any workspace over its rate and
	// burst, in requests; at most 0 holds.
	WorstExcess float64 `json:"worstExcess"`
}

const (
	rateLoadFor = 8 * time.Second
	healthySeed = 1
	outageSeed  = 2
	// insideShare and aboveFactor are what is offered, by the plan's rate.
	insideShare = 0.9
	aboveFactor = 4
	greedyName  = sqid.WorkspaceID("greedy")
)

// sizeTenants returns the workspaces of the size measurements: one for probes,
// two that stay inside their rate, and one that does not.
func sizeTenants() []sqfleet.Tenant {
	uses := []sqlists.Use{{
		Service: latencyService, Importance: squnit.ImportanceNormal, Timeout: sqlists.Duration(latencyTimeout), Retries: 2,
	}}
	tenant := func(name sqid.WorkspaceID, rate squnit.Rate, burst squnit.Tokens) sqfleet.Tenant {
		return sqfleet.Tenant{Name: name, Key: sqid.NewKey(), Rate: rate, Burst: burst, Weight: 1, Uses: uses}
	}
	return []sqfleet.Tenant{
		tenant(latencyName, 1000, 1000), tenant("wide", 200, 100), tenant("narrow", 5, 3), tenant(greedyName, 60, 30),
	}
}

// rates sends load through every daemon and compares it with the plans.
func (m *sizeRun) rates(ctx context.Context, seed uint64) (RateFigures, error) {
	cfg := sqload.Config{
		Seed: seed, Entries: entries(m.fleet), Duration: sqsettings.Span(rateLoadFor),
		Arrivals: sqload.ArrivalsFixed, Timeout: sqsettings.Span(latencyTimeout),
	}
	for _, t := range m.tenants[1:] {
		offered := insideShare * t.Rate
		if t.Name == greedyName {
			offered = aboveFactor * t.Rate
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
	runs, err := m.fleet.AllRuns(ctx)
	if err != nil {
		return RateFigures{}, err
	}
	e := &sqverify.Evidence{Samples: result.Samples, Runs: runs}
	out := RateFigures{WorstExcess: math.Inf(-1)}
	for _, t := range m.tenants[1:] {
		out.WorstExcess = max(out.WorstExcess, sqverify.WorstExcess(e.Admissions(t.Name), t.Rate, t.Burst))
		if a := result.ByWorkspace[t.Name]; a != nil && t.Name != greedyName {
			out.InRate += a.InRate
			out.Refused += a.RefusedInRate
		}
	}
	return out, nil
}
