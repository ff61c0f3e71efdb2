package sqlists

import (
	"cmp"
	"fmt"
	"math"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	maxRate    = squnit.Rate(1e7)
	maxBurst   = squnit.Tokens(1e8)
	maxWeight  = squnit.Weight(1e6)
	maxRetries = squnit.Credit(10)
	minTimeout = time.Millisecond
	maxTimeout = 10 * time.Minute

	// reservedService can't name a service: it is the first path segment of
	// the daemon's own routes.
	reservedService sqid.ServiceID = "sequoiatack"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// checker collects the faults of lists.
type checker struct {
	faults Faults
	// plansRead is false if the list of plans could not be parsed; then a
	// workspace's plan is not looked up.
	plansRead bool

	// The maps hold the place at which each value was first used.
	plans      map[sqid.PlanID]string
	workspaces map[sqid.WorkspaceID]string
	keys       map[sqid.KeyDigest]string
}

// Check returns all faults of lists, nil if there are none.
//
// A plan needs a positive rate and a burst of at least one request. The plan
// named everyone may omit both and they have no effect there, since requests on
// open routes count against no rate. A workspace can't have that plan.
func Check(l Lists) Faults {
	return check(l, true)
}

// check is Check for lists of which the plans may not have been parsed.
func check(l Lists, plansRead bool) Faults {
	c := checker{
		plansRead: plansRead,

		plans:      make(map[sqid.PlanID]string),
		workspaces: make(map[sqid.WorkspaceID]string),
		keys:       make(map[sqid.KeyDigest]string),
	}
	for i := range l.Plans {
		c.checkPlan(fmt.Sprintf("%s[%d]", placePlans, i), &l.Plans[i])
	}
	for i := range l.Workspaces {
		c.checkWorkspace(fmt.Sprintf("%s[%d]", placeWorkspaces, i), &l.Workspaces[i])
	}
	return c.faults
}

func (c *checker) checkWorkspace(place string, w *Workspace) {
	c.checkName(place+".name", string(w.Name))
	checkUnique(c, c.workspaces, place+".name", w.Name)
	switch _, known := c.plans[w.Plan]; {
	case w.Plan == "":
		c.faults.add(place+".plan", "is required")
	case w.Plan == EveryonePlan:
		c.faults.add(place+".plan", "%q is for routes open to all", w.Plan)
	case !known && c.plansRead:
		c.faults.add(place+".plan", "there is no plan %q", w.Plan)
	}
	for i, d := range w.KeyDigests {
		at := fmt.Sprintf("%s.keyDigests[%d]", place, i)
		if err := d.Check(); err != nil {
			c.faults.add(at, "%v", err)
			continue
		}
		checkUnique(c, c.keys, at, d)
	}
}

func (c *checker) checkPlan(place string, p *Plan) {
	c.checkName(place+".name", string(p.Name))
	checkUnique(c, c.plans, place+".name", p.Name)
	if p.Name != EveryonePlan || p.Rate != 0 || p.Burst != 0 {
		checkRange(c, place+".rate", p.Rate, math.SmallestNonzeroFloat64, maxRate, "must be positive")
		checkRange(c, place+".burst", p.Burst, 1, maxBurst, "must be at least 1")
	}
	checkRange(c, place+".weight", p.Weight, math.SmallestNonzeroFloat64, maxWeight, "must be positive")
	for i := range p.Uses {
		c.checkUse(fmt.Sprintf("%s.uses[%d]", place, i), &p.Uses[i])
	}
}

func (c *checker) checkUse(place string, u *Use) {
	c.checkName(place+".service", string(u.Service))
	if u.Service == reservedService {
		c.faults.add(place+".service", "%q is reserved", u.Service)
	}
	for i, m := range u.Methods {
		if !methodPattern.MatchString(m) {
			c.faults.add(fmt.Sprintf("%s.methods[%d]", place, i), "%q is no method in capital letters", m)
		}
	}
	for i, p := range u.Paths {
		if problem := checkPath(p); problem != "" {
			c.faults.add(fmt.Sprintf("%s.paths[%d]", place, i), "%s", problem)
		}
	}
	if u.Importance >= squnit.ImportanceLevels {
		c.faults.add(place+".importance", "%d is out of range", u.Importance)
	}
	if t := time.Duration(u.Timeout); t != 0 && (t < minTimeout || t > maxTimeout) {
		c.faults.add(place+".timeout", "%v is not from %v to %v", t, minTimeout, maxTimeout)
	}
	if u.Retries < 0 || u.Retries > maxRetries {
		c.faults.add(place+".retries", "%d is not from 0 to %d", u.Retries, maxRetries)
	}
}

// checkPath returns what is wrong with a path prefix, or "" if it is valid.
func checkPath(path string) string {
	if !strings.HasPrefix(path, "/") {
		return fmt.Sprintf("%q must begin with \"/\"", path)
	}
	if u, err := url.ParseRequestURI(path); err != nil || u.RawQuery != "" || strings.ContainsAny(path, "?#") {
		return fmt.Sprintf("%q is no path without a query", path)
	}
	if strings.Contains(path, "*") {
		return fmt.Sprintf("%q has a \"*\": a path is a prefix, there are no patterns", path)
	}
	if hasDotSegment(path) {
		return fmt.Sprintf("%q has a segment \".\" or \"..\"", path)
	}
	return ""
}

func (c *checker) checkName(place, name string) {
	switch {
	case name == "":
		c.faults.add(place, "is required")
	case !namePattern.MatchString(name):
		c.faults.add(place, "%q must be 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
}

// checkUnique adds a fault if v is in seen already, and adds it to seen if not.
// Empty values are ignored, since they are other faults.
func checkUnique[T cmp.Ordered](c *checker, seen map[T]string, place string, v T) {
	var zero T
	if v == zero {
		return
	}
	if first, ok := seen[v]; ok {
		c.faults.add(place, "is already at %s", first)
		return
	}
	seen[v] = place
}

// checkRange adds a fault if v is not finite or not from lowest to highest;
// tooLow is the message for a lower value.
func checkRange[T ~float64](c *checker, place string, v, lowest, highest T, tooLow string) {
	switch {
	case math.IsNaN(float64(v)) || math.IsInf(float64(v), 0):
		c.faults.add(place, "must be finite")
	case v < lowest:
		c.faults.add(place, "%s", tooLow)
	case v > highest:
		c.faults.add(place, "must be at most %g", float64(highest))
	}
}
