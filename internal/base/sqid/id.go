// Package sqid names the entities of a fleet. Each kind of entity has its own
// type, so that one id can't be passed where another is meant.
package sqid

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/go-faster/errors"
)

// DaemonID names one daemon. It is the daemonName of its settings.
type DaemonID string

// DataCentreID names one data centre.
type DataCentreID string

// RegionID names one region, a group of data centres with short links.
type RegionID string

// ServiceID names one service of the call graph.
type ServiceID string

// TargetID names one instance of a service; it is unique within its daemon.
type TargetID string

// WorkspaceID names one workspace.
type WorkspaceID string

// PlanID names one plan.
type PlanID string

// CallID names one call that a gate has handed to its target. It is opaque
// and can't be guessed: whoever holds it may make nested calls.
type CallID string

// ShardID names one shard of the shared state.
type ShardID uint16

// ShardCount is the number of shards of a data centre's shared state.
const ShardCount = 64

// Epoch counts the versions of a data centre's keepers record.
type Epoch uint64

// Incarnation counts the lives of a daemon under one name.
type Incarnation uint64

// Revision counts the accepted versions of the lists.
type Revision uint64

// KeyDigest is the digest of a key in the form "sha256:" and 64 lower-case
// hex digits.
type KeyDigest string

const digestPrefix = "sha256:"

// NewCallID returns a random call id of 128 bits.
func NewCallID() CallID {
	return CallID(rand.Text())
}

// DigestKey returns the digest of a key's bytes.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(digestPrefix + hex.EncodeToString(sum[:]))
}

// Check returns an error if d does not have the form of a digest.
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

// NewKey returns a random key of 256 bits in a form that a header can carry.
func NewKey() string {
	return "sq_" + rand.Text() + rand.Text()
}
