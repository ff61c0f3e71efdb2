// Package sqexperiment runs scripted experiments with real fleets on
// loopback: overload and faults at scripted times, each for several variants
// of the daemon's settings and several seeds. It reports medians and ranges,
// and plots goodput over time.
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
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// File is one experiment, as in its TOML file.
type File struct {
	// Name names the files of the results.
	Name string `toml:"name"`
	// Title says what is done.
	Title string `toml:"title"`
	// Duration is how long load is sent.
	Duration sqsettings.Span `toml:"duration"`
	// CauseFrom and CauseFor are when the cause of the trouble holds.
	CauseFrom sqsettings.Span `toml:"causeFrom"`
	CauseFor  sqsettings.Span `toml:"causeFor"`
	// Settle is how long the fleet rests before load is sent.
	Settle sqsettings.Span `toml:"settle"`
	// CauseCapacity is the part of the capacity that is left while the cause
	// holds; 0 is all.
	CauseCapacity float64 `toml:"causeCapacity"`
	// Timeout is what callers ask for.
	Timeout sqsettings.Span `toml:"timeout"`
	// Arrivals is as in the load tool; empty is Poisson.
	Arrivals string `toml:"arrivals"`
	// Entries is the number of daemons that callers send to; 0 is all.
	Entries int `toml:"entries"`
	// Fleet is what is run.
	Fleet sqfleet.Layout `toml:"fleet"`
	// Workspaces send the load.
	Workspaces []Workspace `toml:"workspaces"`
	// Events are in order of At.
	Events []Event `toml:"events"`
	// Variants are the settings to compare; none is one with no addition.
	Variants []Variant `toml:"variants"`
}

// Workspace is a workspace's plan and its load.
type Workspace struct {
	sqload.Workspace
	// Weight is the plan's.
	Weight squnit.Weight `toml:"weight"`
	// Retries is the credit of each request.
	Retries squnit.Credit `toml:"retries"`
	// Surges marks the workspace that causes the trouble: its share does not
	// count among the worst served.
	Surges bool `toml:"surges"`
}

// Variant is a way to run the daemons.
type Variant struct {
	Name string `toml:"name"`
	// Extra is a TOML snippet for the daemons' settings.
	Extra string `toml:"extra"`
}

// Action is what an event does.
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

// Event changes something at a time.
type Event struct {
	At     sqsettings.Span `toml:"at"`
	Action Action          `toml:"action"`
	// Service, DataCentre and Region choose what is changed; empty is all.
	Service    sqid.ServiceID    `toml:"service"`
	DataCentre sqid.DataCentreID `toml:"dataCentre"`
	Region     sqid.RegionID     `toml:"region"`
	// Part is the part of the chosen that is changed; 0 is all.
	Part float64 `toml:"part"`
	// Behaviour is for ActionBehaviour.
	Behaviour sqtargetstand.Behaviour `toml:"behaviour"`
	// Faults is for ActionFaults, in the form of the platform's fault API.
	Faults map[string]any `toml:"faults"`
}

// Load reads an experiment.
func Load(name string) (*File, error) {
	var f File
	if err := sqsettings.ReadFile(name, &f); err != nil {
		return nil, err
	}
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: "sequoiatack"}}
	}
	return &f, f.check()
}

func (f *File) check() error {
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
			return errors.Errorf("events[%d].action: %q is none of the actions", i, e.Action)
		}
	}
	return nil
}

// tenants returns the workspaces as lists are made from them, with new keys.
func (f *File) tenants() []sqfleet.Tenant {
	var all []sqfleet.Tenant
	for _, w := range f.Workspaces {
		t := sqfleet.Tenant{
			Name: w.Name, Key: sqid.NewKey(), Rate: w.PlanRate, Burst: w.PlanBurst, Weight: w.Weight,
		}
		for _, r := range w.Routes {
			t.Uses = append(t.Uses, f.use(r, w.Retries))
		}
		all = append(all, t)
	}
	return all
}

func (f *File) use(r sqload.Route, retries squnit.Credit) sqlists.Use {
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

// load returns the load for a seed, sent to some entries.
func (f *File) load(seed uint64, entries []string, tenants []sqfleet.Tenant) sqload.Config {
	if f.Entries > 0 {
		entries = entries[:f.Entries]
	}
	cfg := sqload.Config{
		Seed: seed, Entries: entries, Duration: f.Duration, Timeout: f.Timeout, Arrivals: f.Arrivals,
	}
	for i, w := range f.Workspaces {
		w.Key = tenants[i].Key
		cfg.Workspaces = append(cfg.Workspaces, w.Workspace)
	}
	return cfg
}

// entryService is the service that the first route of the first workspace
// goes to.
func (f *File) entryService() sqid.ServiceID {
	return f.use(f.Workspaces[0].Routes[0], 0).Service
}

// deepestService is the last in the order of the file.
func (f *File) deepestService() sqid.ServiceID {
	return f.Fleet.Services[len(f.Fleet.Services)-1].Name
}

// weights are the services' own mean times in seconds.
func (f *File) weights() map[sqid.ServiceID]float64 {
	w := make(map[sqid.ServiceID]float64)
	for _, s := range f.Fleet.Services {
		w[s.Name] = time.Duration(s.ServiceTime.Mean).Seconds()
	}
	return w
}

// Keep drops all variants but the named ones; no names keep all.
func (f *File) Keep(names []string) error {
	if len(names) == 0 {
		return nil
	}
	f.Variants = slices.DeleteFunc(f.Variants, func(v Variant) bool { return !slices.Contains(names, v.Name) })
	if len(f.Variants) != len(names) {
		return errors.Errorf("%s has not all of the variants %v", f.Name, names)
	}
	return nil
}
