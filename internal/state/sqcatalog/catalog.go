// Package sqcatalog has the catalog that a platform's operators keep: the
// routes by host and path, the workspaces with their keys and rates, and what
// callers may send. A catalog is never changed once it is built, so that a
// request sees one version whole.
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

// Version orders the catalogs.
type Version uint64

// Part is a service that gets a part of a route's requests.
type Part struct {
	Service sqid.ServiceID
	Weight  squnit.Weight
}

// Route is what requests below one prefix of a host are to have.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// NonIdempotent requests run at most once.
	NonIdempotent bool
	// Timeout is how long a request may be kept waiting, Latency the time
	// within which an answer is worth most.
	Timeout, Latency time.Duration
	// Attempts is the number of targets that one request may be sent to.
	Attempts   int
	Importance squnit.Importance
	// Open routes need no key.
	Open  bool
	Parts []Part

	// turn counts the requests, for the parts to be chosen in turns.
	turn *atomic.Uint64
	// order is the parts of one round.
	order []uint8
}

// Workspace is one customer.
type Workspace struct {
	Name sqid.WorkspaceID
	// Importance goes before a route's, if it is set.
	Importance *squnit.Importance
	// Plan is the rate and burst; no rate is no limit.
	Plan sqlimit.Capacity
}

// Limits bound what a caller may send; 0 is no bound.
type Limits struct {
	HeaderBytes squnit.Bytes
	BodyBytes   squnit.Bytes
	// HeaderTime bounds the time for a request's headers, IdleTime that
	// between two requests of a connection.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Catalog is one version of all of it.
type Catalog struct {
	Version Version
	Limits  Limits

	hosts      map[string][]*Route
	services   map[sqid.ServiceID]bool
	keys       map[sqid.KeyDigest]*Workspace
	workspaces map[sqid.WorkspaceID]*Workspace
}

// Builder collects what a catalog is built of.
type Builder struct {
	Version    Version
	Limits     Limits
	Services   []sqid.ServiceID
	Routes     []Route
	Workspaces []Workspace
	// Keys are the digests of each workspace's keys.
	Keys map[sqid.WorkspaceID][]sqid.KeyDigest
}

// Build returns the catalog. Routes go on with the turns of the catalog before,
// which may be nil, if their parts are the same.
func (b Builder) Build(before *Catalog) *Catalog {
	c := &Catalog{
		Version: b.Version, Limits: b.Limits,
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
		r.prepare(before)
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

// Service reports whether the catalog names a service.
func (c *Catalog) Service(s sqid.ServiceID) bool { return c.services[s] }

// Workspace returns the workspace that holds a key.
func (c *Catalog) Workspace(k sqid.KeyDigest) (*Workspace, bool) {
	w, ok := c.keys[k]
	return w, ok
}

// Plan returns the rate and burst of a workspace, and false if the catalog has
// none of that name or it has no limit.
func (c *Catalog) Plan(w sqid.WorkspaceID) (sqlimit.Capacity, bool) {
	row, ok := c.workspaces[w]
	if !ok || row.Plan.Rate <= 0 {
		return sqlimit.Capacity{}, false
	}
	return row.Plan, true
}

// Limited returns the workspaces that have a limit, in no order.
func (c *Catalog) Limited() []sqid.WorkspaceID {
	var limited []sqid.WorkspaceID
	for name, w := range c.workspaces {
		if w.Plan.Rate > 0 {
			limited = append(limited, name)
		}
	}
	return limited
}

// Keyed reports whether callers need keys at all.
func (c *Catalog) Keyed() bool { return len(c.workspaces) > 0 }

// Match returns the route of a request: of its host, the one with the longest
// prefix that begins the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// same returns the route of a host and prefix.
func (c *Catalog) same(host, prefix string) *Route {
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
