package usage

import (
	"math"
	"time"
)

// decaying is a count of events that decays with a time constant.
type decaying struct {
	count float64
	at    time.Duration
}

// add counts n events and returns the decayed count.
func (d *decaying) add(now, period time.Duration, n float64) float64 {
	d.count = d.decayed(now, period) + n
	d.at = now
	return d.count
}

// rate returns about the number of events a second.
func (d *decaying) rate(now, period time.Duration) float64 {
	return d.decayed(now, period) / period.Seconds()
}

func (d *decaying) decayed(now, period time.Duration) float64 {
	return d.count * math.Exp(-float64(now-d.at)/float64(period))
}
