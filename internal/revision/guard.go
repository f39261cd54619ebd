package revision

import "time"

// eraFallbackDelay is how long all responses of a service must come from older eras until such an
// era is accepted as the current one. Single responses from an older era are delayed ones, or come
// from a stale replica.
const eraFallbackDelay = 5 * time.Second

// Guard rejects responses from older eras than the current one. The zero value has no current era.
// It is not safe for concurrent use.
type Guard struct {
	era uint64
	// olderSince is when the current sequence of responses from older eras began, zero if the
	// latest response was not from an older era.
	olderSince time.Time
}

// Era returns the current era, zero if none is known.
func (gu *Guard) Era() uint64 { return gu.era }

// Accept reports whether a response from an era may be used.
func (gu *Guard) Accept(era uint64, now time.Time) bool {
	if era >= gu.era {
		gu.era, gu.olderSince = era, time.Time{}
		return true
	}
	if gu.olderSince.IsZero() {
		gu.olderSince = now
	}
	if now.Sub(gu.olderSince) < eraFallbackDelay {
		return false
	}
	gu.era, gu.olderSince = era, time.Time{}
	return true
}
