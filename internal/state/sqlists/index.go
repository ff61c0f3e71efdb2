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

// DefaultTimeout is a request's timeout where its use sets none.
const DefaultTimeout = 5 * time.Second

// Index answers a request's questions of the lists. It is never changed once
// it is built, so that a request sees one revision whole.
type Index struct {
	// Revision is that of the lists.
	Revision sqid.Revision

	keys       map[sqid.KeyDigest]sqid.WorkspaceID
	workspaces map[sqid.WorkspaceID]*Plan
	plans      map[sqid.PlanID]*Plan
}

// Route is what the lists say of one request.
type Route struct {
	// Workspace is empty on a route that is open to all.
	Workspace     sqid.WorkspaceID
	Plan          *Plan
	Importance    squnit.Importance
	NonIdempotent bool
	Timeout       time.Duration
	Retries       squnit.Credit
	// Kind tells the routes of a service apart: the methods and paths of the
	// plan's use, empty for one that allows all.
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

// Plan returns the plan of a workspace, nil if the lists have none.
func (x *Index) Plan(w sqid.WorkspaceID) *Plan {
	return x.workspaces[w]
}

// Workspaces returns the workspaces of the lists, in no order.
func (x *Index) Workspaces() iter.Seq[sqid.WorkspaceID] {
	return maps.Keys(x.workspaces)
}

// Workspace returns the workspace that a key belongs to.
func (x *Index) Workspace(d sqid.KeyDigest) (sqid.WorkspaceID, bool) {
	w, ok := x.keys[d]
	return w, ok
}

// Route decides whether a request is allowed. The key is the caller's, empty
// if it sent none; path is below the service and begins with a slash. A
// refusal is NoReason if the request is allowed.
func (x *Index) Route(key string, s sqid.ServiceID, method, path string) (Route, sqreason.Refusal) {
	open, isOpen := x.use(x.plans[EveryonePlan], s, method, path)
	if key == "" {
		if !isOpen {
			return Route{}, sqreason.KeyMissing
		}
		return open, sqreason.NoReason
	}
	w, ok := x.keys[sqid.DigestKey(key)]
	if !ok {
		return Route{}, sqreason.KeyUnknown
	}
	own, ok := x.use(x.workspaces[w], s, method, path)
	if !ok {
		own, ok = open, isOpen
	}
	if !ok {
		return Route{Workspace: w}, sqreason.RouteNotAllowed
	}
	own.Workspace = w
	return own, sqreason.NoReason
}

// Nested returns the route of a nested call of a workspace. What the plan
// does not name is allowed to services: a plan governs what callers ask for.
func (x *Index) Nested(w sqid.WorkspaceID, s sqid.ServiceID, method, path string) Route {
	r, ok := x.use(x.workspaces[w], s, method, path)
	if !ok {
		r = Route{Plan: x.workspaces[w], NonIdempotent: methodNonIdempotent(method), Timeout: DefaultTimeout}
	}
	r.Workspace = w
	return r
}

func (x *Index) use(p *Plan, s sqid.ServiceID, method, path string) (Route, bool) {
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
	return len(u.Paths) == 0 || slices.ContainsFunc(u.Paths, func(p string) bool { return below(path, p) })
}

// below reports whether path is prefix or lies below it. A path with a dot
// segment lies below none, since a target may take it to be elsewhere.
func below(path, prefix string) bool {
	path, _, _ = strings.Cut(path, "?")
	if hasDotSegment(path) {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// hasDotSegment reports whether a segment of a path is "." or "..", escaped or
// not, or whether the path can't be unescaped.
func hasDotSegment(path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil {
		return true
	}
	for segment := range strings.FieldsFuncSeq(plain, func(r rune) bool { return r == '/' || r == '\\' }) {
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
