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
	mintedFields = 6
)

// Home is the data centre and shard whose keeper holds the record of a key.
type Home struct {
	DataCentre sqid.DataCentreID
	Shard      sqid.ShardID
	// Epoch is the epoch of the data centre's keepers record under which the key was
	// minted, 0 for a key chosen by the caller.
	Epoch sqid.Epoch
	// Minted is when the key was minted, the zero time for a key chosen by the
	// caller.
	Minted time.Time
}

// Mint returns a new key that carries its home h and the time of minting.
func Mint(h Home, now time.Time) string {
	return fmt.Sprintf("%s.%s.%d.%d.%d.%s", mintedPrefix, h.DataCentre, h.Shard, h.Epoch, now.Unix(), rand.Text())
}

// HomeOf returns the home of a key. A minted key carries it; for other keys it is
// computed from workspace and key, with the same result at every daemon that knows
// the same data centres.
func HomeOf(k Key, dataCentres []sqid.DataCentreID) (Home, error) {
	if strings.HasPrefix(k.Text, mintedPrefix+".") {
		return parseMinted(k.Text)
	}
	if len(dataCentres) == 0 {
		return Home{}, errors.New("no data centre is known")
	}
	hashKey := string(k.Workspace) + "\x00" + k.Text
	home := slices.MaxFunc(dataCentres, func(a, b sqid.DataCentreID) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(a, hashKey), rendezvousWeight(b, hashKey)), cmp.Compare(a, b))
	})
	return Home{DataCentre: home, Shard: sqid.ShardID(xxhash.Sum64String(hashKey) % sqid.ShardCount)}, nil
}

// rendezvousWeight is the weight of a data centre in rendezvous hashing (Thaler and
// Ravishankar, 1998): a data centre that joins becomes the home of its share of the
// keys, and no other key moves.
func rendezvousWeight(dc sqid.DataCentreID, hashKey string) uint64 {
	return xxhash.Sum64String(string(dc) + "\x00" + hashKey)
}

func parseMinted(text string) (Home, error) {
	fields := strings.Split(text, ".")
	if len(fields) != mintedFields {
		return Home{}, errors.Errorf("minted key has %d fields, not %d", len(fields), mintedFields)
	}
	shard, err := strconv.ParseUint(fields[2], 10, 16)
	if err != nil || shard >= sqid.ShardCount {
		return Home{}, errors.Errorf("minted key has an invalid shard: %q", fields[2])
	}
	epoch, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil || epoch == 0 {
		return Home{}, errors.Errorf("minted key has an invalid epoch: %q", fields[3])
	}
	minted, err := strconv.ParseInt(fields[4], 10, 64)
	if err != nil {
		return Home{}, errors.Errorf("minted key has an invalid time: %q", fields[4])
	}
	return Home{
		DataCentre: sqid.DataCentreID(fields[1]), Shard: sqid.ShardID(shard),
		Epoch: sqid.Epoch(epoch), Minted: time.Unix(minted, 0),
	}, nil
}

// FingerprintOf returns the fingerprint of a request. If only the first part of the
// body is buffered, that part and the length stand for the body.
func FingerprintOf(method, service, path string, length int64, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{method, service, path, strconv.FormatInt(length, 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
