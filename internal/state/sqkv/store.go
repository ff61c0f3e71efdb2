// Package sqkv defines the interface through which a daemon uses the platform's
// key-value service. Each protocol adapter implements it for one protocol.
package sqkv

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Version is the platform's count of writes. The version of a key is that of
// its last write; 0 means that the key does not exist.
type Version int64

// LeaseID identifies a lease; 0 means no lease. Keys written under a lease are
// deleted when it ends.
type LeaseID int64

// Record is a key with its value and version.
type Record struct {
	Key     string
	Value   []byte
	Version Version
}

// Event is a change of one key. A deleted key has a nil value.
type Event struct {
	Record  Record
	Deleted bool
}

var (
	// ErrConflict means that the key's version was not the expected one and
	// nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write is unknown")
	// ErrUnavailable means that the platform is unavailable and nothing was
	// read or written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrCompacted means that the platform no longer has the history from a
	// watch's start version; the caller must list the keys again.
	ErrCompacted = errors.New("version was compacted")
	// ErrLeaseEnded means that a lease no longer exists.
	ErrLeaseEnded = errors.New("lease has ended")
)

// Store is the platform's key-value service.
type Store interface {
	// Get returns the record at key; its version is 0 if there is none.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with prefix, in key order,
	// and the platform's version at which they were read.
	List(ctx context.Context, prefix string) ([]Record, Version, error)
	// Swap is a compare-and-swap: it writes value at key, under lease if that
	// is not 0, if the key's version is still expected. It returns the new
	// version. ErrConflict means that the version was another; after
	// ErrUncertain the write may have taken effect or may still do so.
	Swap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error)
	// Delete removes key if its version is still expected. Its errors are
	// those of Swap.
	Delete(ctx context.Context, key string, expected Version) error
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease. It returns ErrLeaseEnded if the lease has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Watch calls f, in order, with each change after the version after to a
	// key that begins with prefix. It returns when ctx ends, the connection to
	// the platform is lost, or f returns an error.
	Watch(ctx context.Context, prefix string, after Version, f func(Event) error) error
}

// Lister lists records as Store does.
type Lister interface {
	List(ctx context.Context, prefix string) ([]Record, Version, error)
}

// StaleLister is implemented by services that have a cheaper read whose result
// may be some seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) ([]Record, Version, error)
}

// ListStale returns the records whose keys begin with prefix. It uses the cheaper
// read if s is a StaleLister, so the result may be some seconds old.
func ListStale(ctx context.Context, s Lister, prefix string) ([]Record, Version, error) {
	if stale, ok := s.(StaleLister); ok {
		return stale.ListStale(ctx, prefix)
	}
	return s.List(ctx, prefix)
}
