package sqlists

import (
	"iter"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// DefaultTimeout is the timeout of a request whose use in the plan sets none.
const DefaultTimeout = 5 * time.Second

// Index looks up keys, workspaces and routes in the lists. It is immutable, so
// each request sees a single revision.
type Index struct {
	// Revision is the revision of the lists.
	Revision sqid.Revision

	keys       map[sqid.KeyDigest]sqid.WorkspaceID
	workspaces map[sqid.WorkspaceID]*Plan
	plans      map[sqid.PlanID]*Plan
}

// Route has the settings that the lists give one request.
type Route struct {
	// Workspace is empty on a route that is open to all.
	Workspace     sqid.WorkspaceID
	Plan          *Plan
	Importance    squnit.Importance
	NonIdempotent bool
	Timeout       time.Duration
	Retries       squnit.Credit
	// Kind distinguishes the routes of a service: it has the methods and paths
	// of the plan's use and is empty for a use that allows all.
	Kind string
}

// NewIndex builds the index of lists that have been checked.
func NewIndex(l Lists) *Index {
	x := &Index{
		Revision:   l.Revision,
		keys:       make(map[sqid.KeyDigest]sqid.WorkspaceID),
		workspaces: make(map[sqid.WorkspaceID]*Plan),
		plans:      make(map[sqid.PlanID]*Plan),
	}
	for i := range l.Plans {
		x.plans[l.Plans[i].Name] = &l.Plans[i]
	}
	for _, w := range l.Workspaces {
		x.workspaces[w.Name] = x.plans[w.Plan]
		for _, d := range w.KeyDigests {
			x.keys[d] = w.Name
		}
	}
	return x
}

// Plan returns the plan of a workspace, nil if the lists don't have the
// workspace.
func (x *Index) Plan(w sqid.WorkspaceID) *Plan {
	return x.workspaces[w]
}

// Workspaces returns the workspaces of the lists, in no particular order.
func (x *Index) Workspaces() iter.Seq[sqid.WorkspaceID] {
	return maps.Keys(x.workspaces)
}

// Workspace returns the workspace to which a key belongs.
func (x *Index) Workspace(d sqid.KeyDigest) (sqid.WorkspaceID, bool) {
	w, ok := x.keys[d]
	return w, ok
}

// Route decides whether a request is allowed and returns its route. key is the
// caller's key, empty if it sent none; path is relative to the service and
// begins with a slash. The refusal is NoReason if the request is allowed.
func (x *Index) Route(key string, s sqid.ServiceID, method, path string) (Route, sqreason.Refusal) {
	openRoute, openAllowed := x.match(x.plans[EveryonePlan], s, method, path)
	if key == "" {
		if !openAllowed {
			return Route{}, sqreason.KeyMissing
		}
		return openRoute, sqreason.NoReason
	}
	w, ok := x.keys[sqid.DigestKey(key)]
	if !ok {
		return Route{}, sqreason.KeyUnknown
	}
	route, ok := x.match(x.workspaces[w], s, method, path)
	if !ok {
		route, ok = openRoute, openAllowed
	}
	if !ok {
		return Route{Workspace: w}, sqreason.RouteNotAllowed
	}
	route.Workspace = w
	return route, sqreason.NoReason
}

// NestedRoute returns the route of a nested call made for a workspace. Nested calls
// are allowed even if no use of the plan matches: a plan restricts only the
// requests of outside callers.
func (x *Index) NestedRoute(w sqid.WorkspaceID, s sqid.ServiceID, method, path string) Route {
	r, ok := x.match(x.workspaces[w], s, method, path)
	if !ok {
		r = Route{Plan: x.workspaces[w], NonIdempotent: methodNonIdempotent(method), Timeout: DefaultTimeout}
	}
	r.Workspace = w
	return r
}

// match returns the route by the first use of p that allows the request, and
// false if there is none. p may be nil.
func (x *Index) match(p *Plan, s sqid.ServiceID, method, path string) (Route, bool) {
	if p == nil {
		return Route{}, false
	}
	for i := range p.Uses {
		if u := &p.Uses[i]; u.allows(s, method, path) {
			return u.route(p, method), true
		}
	}
	return Route{}, false
}

func (u *Use) allows(s sqid.ServiceID, method, path string) bool {
	if u.Service != s {
		return false
	}
	if len(u.Methods) > 0 && !slices.Contains(u.Methods, method) {
		return false
	}
	return len(u.Paths) == 0 || slices.ContainsFunc(u.Paths, func(p string) bool { return hasPathPrefix(path, p) })
}

// hasPathPrefix reports whether path is prefix or below it, by whole segments. A
// path with a dot segment has no prefix, since a target may resolve it to
// another place.
func hasPathPrefix(path, prefix string) bool {
	path, _, _ = strings.Cut(path, "?")
	if hasDotSegment(path) {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// hasDotSegment reports whether a path has a segment "." or "..", escaped or
// not, or can't be unescaped.
func hasDotSegment(path string) bool {
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return true
	}
	for segment := range strings.FieldsFuncSeq(unescaped, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (u *Use) route(p *Plan, method string) Route {
	r := Route{
		Plan:          p,
		Importance:    u.Importance,
		NonIdempotent: methodNonIdempotent(method),
		Timeout:       time.Duration(u.Timeout),
		Retries:       u.Retries,
		Kind:          u.kind(),
	}
	if u.NonIdempotent != nil {
		r.NonIdempotent = *u.NonIdempotent
	}
	if r.Timeout == 0 {
		r.Timeout = DefaultTimeout
	}
	return r
}

func (u *Use) kind() string {
	if len(u.Methods)+len(u.Paths) == 0 {
		return ""
	}
	return strings.Join(u.Methods, ",") + " " + strings.Join(u.Paths, ",")
}

func methodNonIdempotent(method string) bool {
	return method == http.MethodPost || method == http.MethodPatch
}
