package sqadmit

import "math"

const (
	// slopeSamples is the number of calls that a slope is judged by.
	slopeSamples = 300
	// queueSlope is the elasticity of the latency to the calls in flight from
	// which calls are taken to queue within the target. It is 1 if each call
	// in flight makes all slower in proportion.
	queueSlope = 0.4
	// timeSlope is the elasticity from which the latency has changed with time,
	// and the calls in flight with it.
	timeSlope = 1.5
	// slopeErrors is the number of standard errors by which it must be more.
	slopeErrors = 3
)

// slope is a linear regression of the latency on the calls that were in flight
// when a call started.
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
	deviation := math.Sqrt(max(0, vy)/(vx*s.n)) * mx / my
	return elasticity-slopeErrors*deviation > queueSlope && elasticity < timeSlope
}
