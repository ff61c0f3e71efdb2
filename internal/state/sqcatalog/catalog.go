// Package sqcatalog holds the catalog that a platform's operators maintain:
// routes by host and path, workspaces with their keys and rates, and limits on
// what callers may send. A catalog is immutable once built, so each request
// sees a single version.
package sqcatalog

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
)

// Version is the version of a catalog; a higher one replaces a lower one.
type Version uint64

// Part is a service that gets a part of a route's requests, in proportion to
// its weight.
type Part struct {
	Service sqid.ServiceID
	Weight  squnit.Weight
}

// Route has the settings of the requests to one host whose paths begin with one
// prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// NonIdempotent is set if requests may run at most once.
	NonIdempotent bool
	// Timeout bounds the time that a request may take. Latency is the time
	// within which an answer is worth most to the caller.
	Timeout, Latency time.Duration
	// Attempts is the largest number of targets that a request may be sent to.
	Attempts   int
	Importance squnit.Importance
	// Open is set if requests need no key.
	Open  bool
	Parts []Part

	// position counts requests; modulo rotationLength it is the index in
	// rotation of the last request's part. Versions of a catalog in which the
	// route has the same parts share it.
	position *atomic.Uint64
	// rotation has the index in Parts of each request of one rotation; it is
	// nil if there is nothing to choose.
	rotation []uint8
}

// Workspace is one customer (tenant).
type Workspace struct {
	Name sqid.WorkspaceID
	// Importance overrides that of the route, if it is set.
	Importance *squnit.Importance
	// Plan is the rate and burst; without a rate there is no limit.
	Plan sqlimit.Capacity
}

// Limits bound what a caller may send; 0 means no bound.
type Limits struct {
	HeaderBytes squnit.Bytes
	BodyBytes   squnit.Bytes
	// HeaderTime bounds the time for a request's headers, IdleTime that
	// between two requests of a connection.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Catalog is one version of the routes, workspaces and limits.
type Catalog struct {
	Version Version
	Limits  Limits

	hosts      map[string][]*Route
	services   map[sqid.ServiceID]bool
	health     map[sqid.ServiceID]string
	keys       map[sqid.KeyDigest]*Workspace
	workspaces map[sqid.WorkspaceID]*Workspace
}

// Builder has the contents from which Build makes a catalog.
type Builder struct {
	Version  Version
	Limits   Limits
	Services []sqid.ServiceID
	// HealthPaths are the paths at which the targets of services answer health checks.
	HealthPaths map[sqid.ServiceID]string
	Routes      []Route
	Workspaces  []Workspace
	// Keys are the digests of each workspace's keys.
	Keys map[sqid.WorkspaceID][]sqid.KeyDigest
}

// Build returns the catalog. A route whose parts are the same as in previous,
// which may be nil, continues that route's rotation.
func (b Builder) Build(previous *Catalog) *Catalog {
	c := &Catalog{
		Version: b.Version, Limits: b.Limits, health: b.HealthPaths,
		hosts:      make(map[string][]*Route),
		services:   make(map[sqid.ServiceID]bool),
		keys:       make(map[sqid.KeyDigest]*Workspace),
		workspaces: make(map[sqid.WorkspaceID]*Workspace),
	}
	for _, s := range b.Services {
		c.services[s] = true
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		r.initRotation(previous)
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(x, y *Route) int { return cmp.Compare(len(y.Prefix), len(x.Prefix)) })
	}
	for i := range b.Workspaces {
		w := &b.Workspaces[i]
		c.workspaces[w.Name] = w
		for _, k := range b.Keys[w.Name] {
			c.keys[k] = w
		}
	}
	return c
}

// HasService reports whether the catalog lists a service.
func (c *Catalog) HasService(s sqid.ServiceID) bool { return c.services[s] }

// HealthPath returns the path at which the targets of a service answer health checks, ""
// if it has none.
func (c *Catalog) HealthPath(s sqid.ServiceID) string { return c.health[s] }

// Workspace returns the workspace that holds a key.
func (c *Catalog) Workspace(k sqid.KeyDigest) (*Workspace, bool) {
	w, ok := c.keys[k]
	return w, ok
}

// Plan returns the rate and burst of a workspace, and false if the workspace is
// unknown or has no limit.
func (c *Catalog) Plan(w sqid.WorkspaceID) (sqlimit.Capacity, bool) {
	row, ok := c.workspaces[w]
	if !ok || row.Plan.Rate <= 0 {
		return sqlimit.Capacity{}, false
	}
	plan := row.Plan
	// A request takes a whole token, so a smaller burst would admit none.
	plan.Burst = max(plan.Burst, 1)
	return plan, true
}

// LimitedWorkspaces returns the workspaces that have a limit, in no particular order.
func (c *Catalog) LimitedWorkspaces() []sqid.WorkspaceID {
	var limited []sqid.WorkspaceID
	for name, w := range c.workspaces {
		if w.Plan.Rate > 0 {
			limited = append(limited, name)
		}
	}
	return limited
}

// RequiresKeys reports whether callers need keys, which is so once the catalog has a
// workspace.
func (c *Catalog) RequiresKeys() bool { return len(c.workspaces) > 0 }

// Match returns the route of a request: the one of its host with the longest
// prefix of the path, ignoring the query.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// routeAt returns the route of a host and prefix, nil if there is none; c may
// be nil.
func (c *Catalog) routeAt(host, prefix string) *Route {
	if c == nil {
		return nil
	}
	for _, r := range c.hosts[host] {
		if r.Prefix == prefix {
			return r
		}
	}
	return nil
}
