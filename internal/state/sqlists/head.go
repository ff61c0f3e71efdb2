package sqlists

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

const (
	// headKey is the platform's key of the head record. The key of a body is
	// bodyPrefix followed by its digest.
	headKey    = "sequoiatack/lists/head"
	bodyPrefix = "sequoiatack/lists/body/"

	// recentChanges is the number of changes that a head lists.
	recentChanges = 64
)

// Kind names one of the two lists.
type Kind string

// The two lists.
const (
	KindWorkspaces Kind = "workspaces"
	KindPlans      Kind = "plans"
)

// ChangeID identifies one change to the lists. By it the outcome of a change can
// be read back from the head after the platform's answer was lost.
type ChangeID string

// NewChangeID returns a random id.
func NewChangeID() ChangeID {
	return ChangeID(rand.Text())
}

// Digest is the SHA-256 of a list's encoded form, in hex.
type Digest string

func digestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// key returns the platform's key of the body with this digest.
func (d Digest) key() string {
	return bodyPrefix + string(d)
}

// Change is one accepted change.
type Change struct {
	Revision sqid.Revision `json:"revision"`
	ID       ChangeID      `json:"id"`
}

// Head is the record in the platform that says which lists are accepted. The
// bodies that it references are written before the head is swapped.
type Head struct {
	Revision   sqid.Revision `json:"revision"`
	Change     ChangeID      `json:"change"`
	Workspaces Digest        `json:"workspaces"`
	Plans      Digest        `json:"plans"`
	// Recent are the last changes, the newest last.
	Recent []Change `json:"recent"`
}

// sameBodies reports whether h and other reference the same bodies.
func (h Head) sameBodies(other Head) bool {
	return h.Workspaces == other.Workspaces && h.Plans == other.Plans
}

// changeAt returns the id of the change of a revision, and false if the head no
// longer lists it.
func (h Head) changeAt(r sqid.Revision) (ChangeID, bool) {
	for _, c := range h.Recent {
		if c.Revision == r {
			return c.ID, true
		}
	}
	return "", false
}

// parseHead decodes a head; an empty value, that of a missing record, is
// revision 0.
func parseHead(value []byte) (Head, error) {
	var h Head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrap(err, "head record")
	}
	return h, nil
}

func (h Head) encode() []byte {
	// A head always has a JSON encoding.
	value, _ := json.Marshal(h)
	return value
}

// Accepted are accepted lists: parsed, encoded, and with the head that
// references them.
type Accepted struct {
	Head  Head
	Lists Lists
	// Workspaces and Plans are the encoded lists.
	Workspaces, Plans []byte
}

// Body returns the encoded form of one list.
func (a *Accepted) Body(k Kind) []byte {
	if k == KindPlans {
		return a.Plans
	}
	return a.Workspaces
}

// parseAccepted checks bodies against the digests in their head and parses them.
func parseAccepted(h Head, workspaces, plans []byte) (*Accepted, error) {
	if digestOf(workspaces) != h.Workspaces || digestOf(plans) != h.Plans {
		return nil, errors.Errorf("bodies of revision %d don't have the head's digests", h.Revision)
	}
	l, err := Parse(workspaces, plans)
	if err != nil {
		return nil, errors.Wrapf(err, "revision %d", h.Revision)
	}
	l.Revision = h.Revision
	return &Accepted{Head: h, Lists: l, Workspaces: workspaces, Plans: plans}, nil
}

// encodeLists returns l encoded, with the head of the change id that follows the
// head base.
func encodeLists(l Lists, base Head, id ChangeID) (*Accepted, error) {
	workspaces, err := json.Marshal(orEmpty(l.Workspaces))
	if err != nil {
		return nil, errors.Wrap(err, "encode workspaces")
	}
	plans, err := json.Marshal(orEmpty(l.Plans))
	if err != nil {
		return nil, errors.Wrap(err, "encode plans")
	}
	recent := append(base.Recent[max(0, len(base.Recent)-recentChanges+1):len(base.Recent):len(base.Recent)],
		Change{Revision: l.Revision, ID: id})
	h := Head{Revision: l.Revision, Change: id, Workspaces: digestOf(workspaces), Plans: digestOf(plans), Recent: recent}
	return &Accepted{Head: h, Lists: l, Workspaces: workspaces, Plans: plans}, nil
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// emptyAccepted returns the lists before any change: empty, at revision 0.
func emptyAccepted() *Accepted {
	a, _ := encodeLists(Lists{}, Head{}, "")
	a.Head.Recent = nil
	return a
}
