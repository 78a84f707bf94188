package spare

import (
	"math"
	"time"
)

// forecast is an average of the demand with its trend (Holt's linear method), on samples that
// need not be evenly spaced.
type forecast struct {
	level float64 // instances
	slope float64 // instances a second
	at    time.Time
}

// observe takes in a sample.
func (f *forecast) observe(x float64, now time.Time, smooth time.Duration) {
	sec := now.Sub(f.at).Seconds()
	if f.at.IsZero() {
		f.level, f.at = x, now
		return
	}
	if sec <= 0 {
		return
	}
	gain := 1.0
	if smooth > 0 {
		gain = 1 - math.Exp(-sec/smooth.Seconds())
	}
	level := f.level + gain*(x-f.level)
	trend := (level - f.level) / sec
	f.slope += gain * (trend - f.slope)
	f.level, f.at = level, now
}

// ahead returns the demand to expect after d; a falling trend isn't trusted.
func (f *forecast) ahead(d time.Duration) float64 {
	return f.level + math.Max(0, f.slope)*d.Seconds()
}
