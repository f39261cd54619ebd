package budget

import "time"

// reservePart bounds a window's reserve to a part of what is allowed: in a window with few requests
// the whole reserve would leave nothing.
const reservePart = 0.1

// windowParts is how many parts a window is counted in; an outcome is
// forgotten at most one part too late.
const windowParts = 20

// part counts what happened in one part of a window.
type part struct{ requests, repeats int }

// Window bounds repeats within any span of time to a ratio of the requests in
// it. Where each of several processes holds to its own window, their sum holds
// as well, whatever the share of each. Its exported fields are set before use;
// it is not safe for concurrent use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Allowance is how many repeats are allowed besides.
	Allowance float64

	parts [windowParts]part
	// newest is the number of the newest part since the zero time.
	newest int64
}

// Request notes a request.
func (wi *Window) Request(now time.Time) {
	wi.at(now).requests++
}

// Take reports whether one more repeat is allowed and takes it.
func (wi *Window) Take(now time.Time) bool {
	pa := wi.at(now)
	if wi.Remaining(now) < 1 {
		return false
	}
	pa.repeats++
	return true
}

// TakeOptional is Take for a repeat that its request can do without: it leaves a reserve to others, or
// a tenth of what is allowed if that is less.
func (wi *Window) TakeOptional(reserve float64, now time.Time) bool {
	allowed, taken := wi.count(now)
	return allowed-taken >= 1+min(reserve, reservePart*allowed) && wi.Take(now)
}

// Remaining returns how many repeats are allowed now.
func (wi *Window) Remaining(now time.Time) float64 {
	allowed, taken := wi.count(now)
	return allowed - taken
}

// count returns how many repeats are allowed within the window and how many were taken.
func (wi *Window) count(now time.Time) (allowed, taken float64) {
	wi.at(now)
	var all part
	for _, pa := range wi.parts {
		all.requests += pa.requests
		all.repeats += pa.repeats
	}
	return wi.Ratio*float64(all.requests) + wi.Allowance, float64(all.repeats)
}

// at returns the part of the present time and clears those that have passed.
func (wi *Window) at(now time.Time) *part {
	number := now.UnixNano() / int64(wi.Span/windowParts)
	if number > wi.newest+windowParts || wi.newest == 0 {
		wi.parts = [windowParts]part{}
		wi.newest = number
	}
	for wi.newest < number {
		wi.newest++
		wi.parts[wi.newest%windowParts] = part{}
	}
	return &wi.parts[wi.newest%windowParts]
}
