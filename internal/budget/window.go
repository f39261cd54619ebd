package budget

import "time"

// maxReserveFraction bounds a window's reserve to a fraction of the allowed retries: in a window
// with few requests the full reserve would leave no optional ones.
const maxReserveFraction = 0.1

// windowBuckets is the number of buckets of a window. An event expires at most one bucket too late.
const windowBuckets = 20

// bucket holds the counts of one part of a window.
type bucket struct{ requests, retries int }

// Window limits the retries within any time span to a ratio of the requests in it. If each of
// several processes applies the limit to its own window, the limit also holds for their sum,
// however the requests are distributed. Its exported fields are set before use; it is not safe for
// concurrent use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Allowance is the number of retries that are allowed in addition.
	Allowance float64

	buckets [windowBuckets]bucket
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// Request records a request.
func (wi *Window) Request(now time.Time) {
	wi.current(now).requests++
}

// Take reports whether another retry is allowed and, if so, records it.
func (wi *Window) Take(now time.Time) bool {
	bu := wi.current(now)
	if wi.Remaining(now) < 1 {
		return false
	}
	bu.retries++
	return true
}

// TakeOptional is Take for a retry that is not required to complete its request: it leaves a
// reserve for other retries, or a tenth of the allowed number if that is less.
func (wi *Window) TakeOptional(reserve float64, now time.Time) bool {
	allowed, used := wi.count(now)
	return allowed-used >= 1+min(reserve, maxReserveFraction*allowed) && wi.Take(now)
}

// Remaining returns the number of retries that are still allowed.
func (wi *Window) Remaining(now time.Time) float64 {
	allowed, used := wi.count(now)
	return allowed - used
}

// count returns how many retries the window allows and how many of them were made.
func (wi *Window) count(now time.Time) (allowed, used float64) {
	wi.current(now)
	var total bucket
	for _, bu := range wi.buckets {
		total.requests += bu.requests
		total.retries += bu.retries
	}
	return wi.Ratio*float64(total.requests) + wi.Allowance, float64(total.retries)
}

// current returns the bucket of the current time and clears the expired ones.
func (wi *Window) current(now time.Time) *bucket {
	number := now.UnixNano() / int64(wi.Span/windowBuckets)
	if number > wi.newest+windowBuckets || wi.newest == 0 {
		wi.buckets = [windowBuckets]bucket{}
		wi.newest = number
	}
	for wi.newest < number {
		wi.newest++
		wi.buckets[wi.newest%windowBuckets] = bucket{}
	}
	return &wi.buckets[wi.newest%windowBuckets]
}
