package sqconn

import (
	"hash/maphash"
	"time"
)

const (
	// maxCarried bounds the requests that a connection remembers; one that has carried
	// as many within their time is not used again.
	maxCarried = 4096
	// carriedFor is how long a request without a deadline is remembered.
	carriedFor = time.Minute
)

var idSeed = maphash.MakeSeed()

// carriedIDs are the ids of the requests that a connection has carried and that may still
// be sent again. All attempts of a request have its id, so on such a connection a late copy
// of the answer to one attempt could be taken for the answer to the next.
type carriedIDs []carriedID

type carriedID struct {
	// hash stands for the id; if two ids have the same, a connection is spared needlessly.
	hash uint64
	// until is the end of the request's time.
	until time.Time
}

// add adds the id of a request that is sent at now. It reports whether there was room.
func (c *carriedIDs) add(now time.Time, id string, until time.Time) bool {
	ids := *c
	ended := 0
	for ended < len(ids) && ids[ended].until.Before(now) {
		ended++
	}
	if ended > 0 {
		ids = ids[:copy(ids, ids[ended:])]
	}
	*c = append(ids, carriedID{maphash.String(idSeed, id), until})
	return len(*c) < maxCarried
}

// has reports whether the connection may have carried an attempt of the request.
func (c carriedIDs) has(id string) bool {
	if len(c) == 0 {
		return false
	}
	hash := maphash.String(idSeed, id)
	for i := range c {
		if c[i].hash == hash {
			return true
		}
	}
	return false
}
