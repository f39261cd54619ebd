package revision

import "time"

// olderLasts is how long a service must answer from an older era alone until that is taken to be
// its present one. Single answers of an older era are late, or come from a stale replica.
const olderLasts = 5 * time.Second

// Guard refuses answers of an older era than the newest one that is known. The zero value knows
// none. It is not safe for concurrent use.
type Guard struct {
	era uint64
	// olderSince is when the first of the answers came that were all of an older era, zero if
	// the newest one was not.
	olderSince time.Time
}

// Era returns the era in force, zero if none is known.
func (gu *Guard) Era() uint64 { return gu.era }

// Accept reports whether an answer of an era may be used.
func (gu *Guard) Accept(era uint64, now time.Time) bool {
	if era >= gu.era {
		gu.era, gu.olderSince = era, time.Time{}
		return true
	}
	if gu.olderSince.IsZero() {
		gu.olderSince = now
	}
	if now.Sub(gu.olderSince) < olderLasts {
		return false
	}
	gu.era, gu.olderSince = era, time.Time{}
	return true
}
