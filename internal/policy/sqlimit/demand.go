package sqlimit

import (
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// demandTimeConstant is the time constant of the moving average of demand.
const demandTimeConstant = 500 * time.Millisecond

// demand is an exponentially weighted moving average of the rate of charges.
type demand struct {
	rate squnit.Rate
	time time.Time
}

func (d *demand) add(now time.Time, n squnit.Tokens) {
	d.rate = d.rateAt(now) + squnit.Rate(float64(n)/demandTimeConstant.Seconds())
	if now.After(d.time) {
		d.time = now
	}
}

func (d *demand) rateAt(now time.Time) squnit.Rate {
	elapsed := max(0, now.Sub(d.time))
	return d.rate * squnit.Rate(math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds()))
}
