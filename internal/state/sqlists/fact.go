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
	// FactLists is the name under which the membership spreads the lists; the
	// fact's version is their revision.
	FactLists = "lists"
	// FactEvidence is the name under which the membership spreads when the
	// head was last confirmed; the fact's version is the time in milliseconds
	// since 1970, its body the revision.
	FactEvidence = "listsEvidence"

	maxFactBytes = 3*MaxListBytes + 1<<16
)

// fact is the content of FactLists.
type fact struct {
	Head       Head            `json:"head"`
	Workspaces json.RawMessage `json:"workspaces"`
	Plans      json.RawMessage `json:"plans"`
}

// encodeFact returns lists in the form in which daemons spread them.
func encodeFact(a *Accepted) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Neither the encoding of valid JSON nor writing to memory can fail.
	_ = json.NewEncoder(w).Encode(fact{Head: a.Head, Workspaces: a.Workspaces, Plans: a.Plans})
	_ = w.Close()
	return b.Bytes()
}

// decodeFact checks a fact whole: its version, its digests and its lists.
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
