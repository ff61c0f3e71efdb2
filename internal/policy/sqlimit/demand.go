package sqlimit

import (
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// demandSpan is the time constant over which demand is averaged.
const demandSpan = 500 * time.Millisecond

// demand is a moving average of the rate of charges.
type demand struct {
	rate squnit.Rate
	time time.Time
}

func (d *demand) add(now time.Time, n squnit.Tokens) {
	d.rate = d.at(now) + squnit.Rate(float64(n)/demandSpan.Seconds())
	if now.After(d.time) {
		d.time = now
	}
}

func (d *demand) at(now time.Time) squnit.Rate {
	span := max(0, now.Sub(d.time))
	return d.rate * squnit.Rate(math.Exp(-span.Seconds()/demandSpan.Seconds()))
}
