// Package comparison tells whether a response was slow, compared with recent ones of another version of the
// same service on like work: of the same kind, from a server with a similar load. It does no I/O and reads no
// clock.
package comparison

import (
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// classSamples is the number of recent responses that are kept of each class of load, maxAge the age up to
	// which they are used.
	classSamples = 32
	maxAge       = 30 * time.Second
	// minSamples is the least number of responses that one is compared with.
	minSamples = 8
	// typicalQuantile is the quantile of their durations that counts as typical. Servers of one service may
	// differ in speed, so that it is not a low one.
	typicalQuantile = 0.5
	// loadClasses is the number of classes. Each has twice the load of the one before.
	loadClasses = 12
	// maxKinds is the number of kinds of work from which on those without a response within maxAge are dropped.
	maxKinds = 256
)

// Work describes what a response was for.
type Work struct {
	// Kind separates responses whose durations are not comparable.
	Kind string
	// Load is the number of requests in progress on the server when this one was sent.
	Load int
}

// class returns the class of the load.
func (wo Work) class() int { return min(loadClasses-1, bits.Len(uint(max(0, wo.Load)))) }

// Reference holds recent responses of the version that others are compared with. The zero value is empty. It
// is not safe for concurrent use.
type Reference struct{ kinds map[string]*kindTimes }

// kindTimes holds the responses of one kind of work, by class of load.
type kindTimes struct {
	classes [loadClasses]ring
	// last is when a response was last added.
	last time.Time
}

// ring holds the last classSamples responses.
type ring struct {
	samples []sample
	next    int
}

type sample struct {
	took time.Duration
	at   time.Time
}

func (ri *ring) add(sa sample) {
	if len(ri.samples) < classSamples {
		ri.samples = append(ri.samples, sa)
		return
	}
	ri.samples[ri.next] = sa
	ri.next = (ri.next + 1) % classSamples
}

// appendRecent appends the durations of the responses that are not too old.
func (ri *ring) appendRecent(durations []time.Duration, now time.Time) []time.Duration {
	for _, sa := range ri.samples {
		if now.Sub(sa.at) <= maxAge {
			durations = append(durations, sa.took)
		}
	}
	return durations
}

// Add records a response.
func (re *Reference) Add(wo Work, took time.Duration, now time.Time) {
	if re.kinds == nil {
		re.kinds = map[string]*kindTimes{}
	}
	kt := re.kinds[wo.Kind]
	if kt == nil {
		re.prune(now)
		kt = &kindTimes{}
		re.kinds[wo.Kind] = kt
	}
	kt.classes[wo.class()].add(sample{took: took, at: now})
	kt.last = now
}

// prune drops the kinds that are not in use if there are many: routes come and go with configurations.
func (re *Reference) prune(now time.Time) {
	if len(re.kinds) < maxKinds {
		return
	}
	maps.DeleteFunc(re.kinds, func(_ string, kt *kindTimes) bool { return now.Sub(kt.last) > maxAge })
}

// Typical returns the duration that is typical of like work, false if too few responses are known. Responses
// of the classes of load next to that of the work are used until there are enough.
func (re *Reference) Typical(wo Work, now time.Time) (time.Duration, bool) {
	kt := re.kinds[wo.Kind]
	if kt == nil {
		return 0, false
	}
	classes := &kt.classes
	own := wo.class()
	durations := classes[own].appendRecent(nil, now)
	for away := 1; away < loadClasses && len(durations) < minSamples; away++ {
		if own-away >= 0 {
			durations = classes[own-away].appendRecent(durations, now)
		}
		if own+away < loadClasses {
			durations = classes[own+away].appendRecent(durations, now)
		}
	}
	if len(durations) < minSamples {
		return 0, false
	}
	slices.Sort(durations)
	return durations[int(typicalQuantile*float64(len(durations)))], true
}

// IsSlow reports whether a response took longer than halfway, as a ratio, from the typical duration to factor
// times that. It reports false for ok if too few responses are known.
func (re *Reference) IsSlow(wo Work, took time.Duration, factor float64, now time.Time) (slow, ok bool) {
	typical, ok := re.Typical(wo, now)
	return ok && float64(took) > math.Sqrt(factor)*float64(typical), ok
}
