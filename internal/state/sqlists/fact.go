package sqlists

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

const (
	// FactLists is the name of the gossiped fact with the lists. Its version is
	// their revision.
	FactLists = "lists"
	// FactEvidence is the name of the gossiped fact that says when the
	// platform's head was last confirmed not to be newer than the lists in
	// force. Its version is that time in milliseconds since 1970, its body the
	// revision in force.
	FactEvidence = "listsEvidence"

	// maxFactBytes bounds the size of a decompressed fact: both lists and the
	// head, with room to spare.
	maxFactBytes = 3*MaxListBytes + 1<<16
)

// fact is the value of FactLists, as JSON compressed by gzip.
type fact struct {
	Head       Head            `json:"head"`
	Workspaces json.RawMessage `json:"workspaces"`
	Plans      json.RawMessage `json:"plans"`
}

// encodeFact encodes lists as the value of FactLists.
func encodeFact(a *Accepted) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Encoding valid JSON and writing to memory can't fail.
	_ = json.NewEncoder(w).Encode(fact{Head: a.Head, Workspaces: a.Workspaces, Plans: a.Plans})
	_ = w.Close()
	return b.Bytes()
}

// decodeFact decodes the value of FactLists and checks its version, its digests
// and its lists.
func decodeFact(version uint64, body []byte) (*Accepted, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "lists fact")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxFactBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "lists fact")
	}
	if len(text) > maxFactBytes {
		return nil, errors.Errorf("lists fact is larger than %d bytes", maxFactBytes)
	}
	var f fact
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, errors.Wrap(err, "lists fact")
	}
	if f.Head.Revision != sqid.Revision(version) {
		return nil, errors.Errorf("lists fact %d has revision %d", version, f.Head.Revision)
	}
	return parseAccepted(f.Head, f.Workspaces, f.Plans)
}
