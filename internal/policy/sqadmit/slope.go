package sqadmit

import "math"

const (
	// slopeSamples is the number of calls in one regression.
	slopeSamples = 300
	// queueingElasticity is the elasticity of the latency with respect to the
	// calls in flight from which calls are assumed to queue within the target.
	// The elasticity is 1 if the latency is proportional to the calls in
	// flight.
	queueingElasticity = 0.4
	// driftElasticity is the elasticity from which the latency is assumed to
	// have changed over time, and the calls in flight with it.
	driftElasticity = 1.5
	// slopeErrors is the number of standard errors by which the elasticity must
	// exceed queueingElasticity.
	slopeErrors = 3
)

// slope is a linear regression of the latency, in seconds, on the number of
// calls that were in flight when a call started.
type slope struct {
	n, x, y, xx, xy, yy float64
}

func (s *slope) add(inFlight int, latency float64) {
	x := float64(inFlight)
	s.n++
	s.x += x
	s.y += latency
	s.xx += x * x
	s.xy += x * latency
	s.yy += latency * latency
}

// queueing reports whether calls queue within the target.
func (s *slope) queueing() bool {
	mx, my := s.x/s.n, s.y/s.n
	vx, vy := s.xx/s.n-mx*mx, s.yy/s.n-my*my
	if vx <= 0 || my <= 0 {
		return false
	}
	elasticity := (s.xy/s.n - mx*my) / vx * mx / my
	// This overestimates the standard error: it uses the variance of the
	// latency instead of that of the residuals, which is no larger.
	standardError := math.Sqrt(max(0, vy)/(vx*s.n)) * mx / my
	return elasticity-slopeErrors*standardError > queueingElasticity && elasticity < driftElasticity
}
