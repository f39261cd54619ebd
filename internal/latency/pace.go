package latency

import (
	"slices"
	"time"
)

const (
	// maxGaps is the number of gaps after which the pace of a stream is known, minGaps the least number.
	maxGaps = 8
	minGaps = 2
	// paceQuantile is the quantile of a stream's gaps that is its pace. Longer gaps are due to the prompts
	// that the server reads meanwhile, shorter ones to events that arrive together.
	paceQuantile = 0.25
)

// Pace measures the time between the events of a stream while a server makes nothing else. The zero value is
// ready to use.
type Pace struct {
	last  time.Time
	gaps  []time.Duration
	taken bool
}

// Event records an event. It reports whether the pace is known since this one.
func (pa *Pace) Event(now time.Time) (known bool) {
	if len(pa.gaps) == maxGaps {
		return false
	}
	if !pa.last.IsZero() {
		pa.gaps = append(pa.gaps, now.Sub(pa.last))
	}
	pa.last = now
	return len(pa.gaps) == maxGaps
}

// Take returns the pace, false if there were too few events or it was taken before.
func (pa *Pace) Take() (gap time.Duration, ok bool) {
	if len(pa.gaps) < minGaps || pa.taken {
		return 0, false
	}
	pa.taken = true
	sorted := slices.Sorted(slices.Values(pa.gaps))
	return sorted[int(paceQuantile*float64(len(sorted)))], true
}
