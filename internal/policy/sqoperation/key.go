package sqoperation

import (
	"cmp"
	"crypto/rand"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

const (
	mintedPrefix = "sqop"
	mintedParts  = 6
)

// Home is where the book of a key is kept.
type Home struct {
	DataCentre sqid.DataCentreID
	Shard      sqid.ShardID
	// Epoch is that of the keepers record under which the key was minted, 0
	// for a caller's own key.
	Epoch sqid.Epoch
	// Minted is when the key was minted, the zero time for a caller's own.
	Minted time.Time
}

// Mint returns a fresh key whose home is h.
func Mint(h Home, now time.Time) string {
	return fmt.Sprintf("%s.%s.%d.%d.%d.%s", mintedPrefix, h.DataCentre, h.Shard, h.Epoch, now.Unix(), rand.Text())
}

// HomeOf returns the home of a key: the one that a minted key names, else one
// computed from the workspace and the text, the same at every daemon that
// knows the same data centres.
func HomeOf(k Key, centres []sqid.DataCentreID) (Home, error) {
	if strings.HasPrefix(k.Text, mintedPrefix+".") {
		return parseMinted(k.Text)
	}
	if len(centres) == 0 {
		return Home{}, errors.New("no data centre is known")
	}
	name := string(k.Workspace) + "\x00" + k.Text
	best := slices.MaxFunc(centres, func(a, b sqid.DataCentreID) int {
		return cmp.Or(cmp.Compare(weight(a, name), weight(b, name)), cmp.Compare(a, b))
	})
	return Home{DataCentre: best, Shard: sqid.ShardID(xxhash.Sum64String(name) % sqid.ShardCount)}, nil
}

// weight is that of rendezvous hashing (Thaler and Ravishankar, 1998): a data
// centre that joins becomes the home of its part of the keys, and no other key
// moves.
func weight(dc sqid.DataCentreID, name string) uint64 {
	return xxhash.Sum64String(string(dc) + "\x00" + name)
}

func parseMinted(text string) (Home, error) {
	parts := strings.Split(text, ".")
	if len(parts) != mintedParts {
		return Home{}, errors.Errorf("minted key has %d parts, not %d", len(parts), mintedParts)
	}
	shard, err := strconv.ParseUint(parts[2], 10, 16)
	if err != nil || shard >= sqid.ShardCount {
		return Home{}, errors.Errorf("minted key names no shard: %q", parts[2])
	}
	epoch, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil || epoch == 0 {
		return Home{}, errors.Errorf("minted key names no epoch: %q", parts[3])
	}
	minted, err := strconv.ParseInt(parts[4], 10, 64)
	if err != nil {
		return Home{}, errors.Errorf("minted key names no time: %q", parts[4])
	}
	return Home{
		DataCentre: sqid.DataCentreID(parts[1]), Shard: sqid.ShardID(shard),
		Epoch: sqid.Epoch(epoch), Minted: time.Unix(minted, 0),
	}, nil
}

// FingerprintOf returns the fingerprint of a request. Of a body that is not
// whole in hand, its length and first part stand for it.
func FingerprintOf(method, service, path string, length int64, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{method, service, path, strconv.FormatInt(length, 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
