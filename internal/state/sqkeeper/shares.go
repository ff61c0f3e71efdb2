package sqkeeper

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
)

// SharesEpoch is the version of the record of shares.
type SharesEpoch uint64

// SharesSet is the set of data centres that hold shares of the workspaces'
// rates. The record of shares in the platform holds the newest set. A data
// centre applies a set by writing it into its keepers record. Until all data
// centres of the set have settled it, each uses the smallest of its shares in
// the sets that it knows. A data centre adds itself to join, but only an
// operator can remove one, since a partitioned data centre may go on spending
// its share.
type SharesSet struct {
	Epoch       SharesEpoch         `json:"epoch"`
	DataCentres []sqid.DataCentreID `json:"dataCentres"`
}

// Encode returns the set as JSON.
func (s SharesSet) Encode() []byte {
	body, err := json.Marshal(s)
	if err != nil {
		panic("sqkeeper: shares have no JSON: " + err.Error())
	}
	return body
}

// DecodeShares decodes a set from JSON.
func DecodeShares(body []byte) (SharesSet, error) {
	var s SharesSet
	if err := json.Unmarshal(body, &s); err != nil {
		return s, errors.Wrap(err, "record of shares")
	}
	return s, nil
}

// With returns the next set, with dc added.
func (s SharesSet) With(dc sqid.DataCentreID) SharesSet {
	return SharesSet{Epoch: s.Epoch + 1, DataCentres: append(slices.Clone(s.DataCentres), dc)}
}

// Without returns the set without dc, under the preceding epoch. That is the set
// as it was before dc joined only if the set has not changed since, which is not
// checked.
func (s SharesSet) Without(dc sqid.DataCentreID) SharesSet {
	others := slices.DeleteFunc(slices.Clone(s.DataCentres), func(o sqid.DataCentreID) bool { return o == dc })
	return SharesSet{Epoch: s.Epoch - 1, DataCentres: others}
}

// Share returns this data centre's share of a workspace's plan under the sets
// of its keepers record. settled returns the newest set that a data centre has
// settled.
func (r *Record) Share(w sqid.WorkspaceID, plan sqlimit.Capacity, settled func(sqid.DataCentreID) SharesEpoch) sqlimit.Capacity {
	if len(r.Shares) == 0 {
		return sqlimit.Capacity{}
	}
	newest := r.Shares[len(r.Shares)-1]
	share := newest.share(r.DataCentre, w, plan)
	if newest.Agreed(settled) {
		return share
	}
	for _, s := range r.Shares[:len(r.Shares)-1] {
		share = share.Min(s.share(r.DataCentre, w, plan))
	}
	return share
}

// share returns a data centre's share of a workspace's plan in this set.
func (s SharesSet) share(dc sqid.DataCentreID, w sqid.WorkspaceID, plan sqlimit.Capacity) sqlimit.Capacity {
	return sqlimit.Shares{DataCentres: s.DataCentres}.ShareOf(dc, w, plan)
}

// Agreed reports whether every data centre of the set has settled it.
func (s SharesSet) Agreed(settled func(sqid.DataCentreID) SharesEpoch) bool {
	return !slices.ContainsFunc(s.DataCentres, func(dc sqid.DataCentreID) bool { return settled(dc) < s.Epoch })
}

// NewestShares returns the record's newest set of shares, the zero set if there
// is none.
func (r *Record) NewestShares() SharesSet {
	if len(r.Shares) == 0 {
		return SharesSet{}
	}
	return r.Shares[len(r.Shares)-1]
}
