package sqlists

import (
	"time"

	"github.com/go-faster/errors"
)

// parseDuration parses a duration that is not negative.
func parseDuration(text string) (time.Duration, error) {
	v, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%q is no duration such as \"1500ms\"", text)
	}
	if v < 0 {
		return 0, errors.Errorf("duration %q is negative", text)
	}
	return v, nil
}
