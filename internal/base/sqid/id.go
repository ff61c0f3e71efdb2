// Package sqid defines the ids of the entities of a fleet. Each kind of entity has
// its own type, so that one kind of id can't be passed as another.
package sqid

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/go-faster/errors"
)

// DaemonID is the name of a daemon, the daemonName of its settings.
type DaemonID string

// DataCentreID is the name of a data centre.
type DataCentreID string

// RegionID is the name of a region: a group of data centres with low latency
// between them.
type RegionID string

// ServiceID is the name of a service of the call graph.
type ServiceID string

// TargetID is the name of a target, an instance of a service. It is unique within
// its daemon.
type TargetID string

// WorkspaceID is the name of a workspace, a customer of the fleet.
type WorkspaceID string

// PlanID is the name of a plan, which sets the rate and the allowed services of
// its workspaces.
type PlanID string

// CallID identifies a call that a gate has handed to its target. It is opaque and
// can't be guessed, since it authorizes its holder to make nested calls.
type CallID string

// ShardID is the number of a shard of a data centre's shared state, from 0 to
// ShardCount-1.
type ShardID uint16

// ShardCount is the number of shards of a data centre's shared state.
const ShardCount = 64

// Epoch is the version of a data centre's keepers record, which says which daemon
// keeps each shard. A greater epoch supersedes a smaller one.
type Epoch uint64

// Incarnation orders the starts of a daemon under one name: a greater one
// supersedes a smaller one.
type Incarnation uint64

// Revision is the version of the lists of workspaces and plans. Each accepted
// change increments it.
type Revision uint64

// KeyDigest is the SHA-256 digest of a key: "sha256:" followed by 64 lower-case
// hex digits. Settings and lists hold digests only, never the keys.
type KeyDigest string

const digestPrefix = "sha256:"

// NewCallID returns a random call id of at least 128 bits.
func NewCallID() CallID {
	return CallID(rand.Text())
}

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(digestPrefix + hex.EncodeToString(sum[:]))
}

// Check returns an error if d is not a well-formed digest.
func (d KeyDigest) Check() error {
	digits, ok := strings.CutPrefix(string(d), digestPrefix)
	if !ok {
		return errors.Errorf("digest must begin with %q", digestPrefix)
	}
	if len(digits) != hex.EncodedLen(sha256.Size) {
		return errors.Errorf("digest must have %d hex digits, has %d", hex.EncodedLen(sha256.Size), len(digits))
	}
	if strings.Trim(digits, "0123456789abcdef") != "" {
		return errors.New("digest must be lower-case hex")
	}
	return nil
}

// NewKey returns a random key of at least 256 bits, in characters that are valid in
// an HTTP header.
func NewKey() string {
	return "sq_" + rand.Text() + rand.Text()
}
