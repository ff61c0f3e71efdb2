// Package sqexperiment runs scripted experiments with fleets of real processes on
// loopback. An experiment injects overload and faults at given times, and is run for
// several variants of the daemon's settings and several seeds. The package reports
// medians and ranges of the figures, and plots goodput over time. It also measures
// the latency that daemons add (Latency) and the cost of fleets by size (Sizes).
package sqexperiment

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// File is the TOML file of one experiment.
type File struct {
	// Name is the base name of the result files.
	Name string `toml:"name"`
	// Title describes the experiment in reports and plots.
	Title string `toml:"title"`
	// Duration is the time for which load is sent.
	Duration sqsettings.Span `toml:"duration"`
	// CauseFrom and CauseFor are the start and the duration of the cause: the
	// overload or fault whose effect is measured. It must end within Duration.
	CauseFrom sqsettings.Span `toml:"causeFrom"`
	CauseFor  sqsettings.Span `toml:"causeFor"`
	// Settle is the time between the fleet's start and the warm-up load.
	Settle sqsettings.Span `toml:"settle"`
	// CauseCapacity is the fraction of the capacity that remains during the cause;
	// 0 means all of it.
	CauseCapacity float64 `toml:"causeCapacity"`
	// Timeout is the callers' timeout for a request.
	Timeout sqsettings.Span `toml:"timeout"`
	// Arrivals is the arrival process of the load tool; empty means Poisson.
	Arrivals string `toml:"arrivals"`
	// Entries is the number of daemons that callers send to; 0 means all.
	Entries int `toml:"entries"`
	// Fleet is the layout of the fleet.
	Fleet sqfleet.Layout `toml:"fleet"`
	// Workspaces are the senders of the load.
	Workspaces []Workspace `toml:"workspaces"`
	// Events must be in order of At.
	Events []Event `toml:"events"`
	// Variants are the settings to compare. Without any, there is one variant with
	// the default settings.
	Variants []Variant `toml:"variants"`
}

// Workspace is a workspace's plan and its load.
type Workspace struct {
	sqload.Workspace
	// Weight is the plan's weight.
	Weight squnit.Weight `toml:"weight"`
	// Retries is the credit of each request: the further attempts allowed to it and
	// its nested calls.
	Retries squnit.Credit `toml:"retries"`
	// Surges marks a workspace that causes the overload. It does not count in
	// Figures.WorstShare and Figures.WronglyRefused.
	Surges bool `toml:"surges"`
}

// Variant is a set of daemon settings to compare with others.
type Variant struct {
	Name string `toml:"name"`
	// ExtraSettings is a TOML snippet for the daemons' settings.
	ExtraSettings string `toml:"extra"`
}

// Action is the kind of an event.
type Action string

// The actions of events.
const (
	ActionBehaviour     Action = "behaviour"
	ActionKillDaemons   Action = "killDaemons"
	ActionStopDaemons   Action = "stopDaemons"
	ActionStartDaemons  Action = "startDaemons"
	ActionPauseDaemons  Action = "pauseDaemons"
	ActionResumeDaemons Action = "resumeDaemons"
	ActionStopTargets   Action = "stopTargets"
	ActionStartTargets  Action = "startTargets"
	ActionFaults        Action = "faults"
)

// Event changes the fleet or the platform at a given time.
type Event struct {
	// At is the time from the start of the load.
	At     sqsettings.Span `toml:"at"`
	Action Action          `toml:"action"`
	// Service, DataCentre and Region select the daemons and targets; empty selects
	// all.
	Service    sqid.ServiceID    `toml:"service"`
	DataCentre sqid.DataCentreID `toml:"dataCentre"`
	Region     sqid.RegionID     `toml:"region"`
	// Fraction is the fraction of the selected ones that is affected; 0 means all.
	Fraction float64 `toml:"part"`
	// Behaviour is the targets' new behaviour, for ActionBehaviour.
	Behaviour sqsimtarget.Behaviour `toml:"behaviour"`
	// Faults are the faults of the platform, for ActionFaults, in the form of its
	// fault API.
	Faults map[string]any `toml:"faults"`
}

// Load reads and validates an experiment file.
func Load(name string) (*File, error) {
	var f File
	if err := sqsettings.ReadFile(name, &f); err != nil {
		return nil, err
	}
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: "sequoiatack"}}
	}
	return &f, f.validate()
}

func (f *File) validate() error {
	switch {
	case f.Name == "":
		return errors.New("name: is required")
	case f.Duration <= 0 || f.CauseFor <= 0 || f.CauseFrom <= 0:
		return errors.New("duration, causeFrom, causeFor: must be positive")
	case f.CauseFrom+f.CauseFor >= f.Duration:
		return errors.New("duration: must end after the cause")
	case len(f.Workspaces) == 0 || len(f.Fleet.Services) == 0:
		return errors.New("workspaces, fleet.services: are required")
	}
	for i, e := range f.Events {
		if _, ok := actions[e.Action]; !ok {
			return errors.Errorf("events[%d].action: %q is not a known action", i, e.Action)
		}
	}
	return nil
}

// workspaceSpecs returns the workspaces with their plans and new keys, for the lists.
func (f *File) workspaceSpecs() []sqfleet.WorkspaceSpec {
	var all []sqfleet.WorkspaceSpec
	for _, w := range f.Workspaces {
		t := sqfleet.WorkspaceSpec{
			Name: w.Name, Key: sqid.NewKey(), Rate: w.PlanRate, Burst: w.PlanBurst, Weight: w.Weight,
		}
		for _, r := range w.Routes {
			t.Uses = append(t.Uses, f.routeUse(r, w.Retries))
		}
		all = append(all, t)
	}
	return all
}

// routeUse returns the plan's settings for one route. The first segment of the
// route's path is the service, the rest is the path at the service.
func (f *File) routeUse(r sqload.Route, retries squnit.Credit) sqlists.Use {
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	u := sqlists.Use{
		Service: sqid.ServiceID(service), Paths: []string{"/" + rest}, Importance: r.Importance,
		Timeout: sqlists.Duration(f.Timeout), Retries: retries,
	}
	if r.Method != "" {
		u.Methods = []string{r.Method}
	}
	return u
}

// loadConfig returns the load for a seed, sent to the first Entries of entries.
func (f *File) loadConfig(seed uint64, entries []string, workspaceSpecs []sqfleet.WorkspaceSpec) sqload.Config {
	if f.Entries > 0 {
		entries = entries[:f.Entries]
	}
	cfg := sqload.Config{
		Seed: seed, Entries: entries, Duration: f.Duration, Timeout: f.Timeout, Arrivals: f.Arrivals,
	}
	for i, w := range f.Workspaces {
		w.Key = workspaceSpecs[i].Key
		cfg.Workspaces = append(cfg.Workspaces, w.Workspace)
	}
	return cfg
}

// entryService returns the service of the first workspace's first route.
func (f *File) entryService() sqid.ServiceID {
	return f.routeUse(f.Workspaces[0].Routes[0], 0).Service
}

// deepestService returns the last service of the file.
func (f *File) deepestService() sqid.ServiceID {
	return f.Fleet.Services[len(f.Fleet.Services)-1].Name
}

// serviceWeights returns the mean service times in seconds, without nested calls.
func (f *File) serviceWeights() map[sqid.ServiceID]float64 {
	w := make(map[sqid.ServiceID]float64)
	for _, s := range f.Fleet.Services {
		w[s.Name] = time.Duration(s.ServiceTime.Mean).Seconds()
	}
	return w
}

// SelectVariants removes all variants but the named ones. Without names, it keeps all.
func (f *File) SelectVariants(names []string) error {
	if len(names) == 0 {
		return nil
	}
	f.Variants = slices.DeleteFunc(f.Variants, func(v Variant) bool { return !slices.Contains(names, v.Name) })
	if len(f.Variants) != len(names) {
		return errors.Errorf("%s does not have all of the variants %v", f.Name, names)
	}
	return nil
}
