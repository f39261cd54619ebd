// Package selfreport decodes what a backend server reports about itself in the head of an answer,
// whatever the answer says about the request: a rate limit, a pause, its shutdown. It does no I/O
// and reads no clock.
package selfreport

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// headerRetryAfter is the standard header, in seconds or as a date; seconds may have fractions.
const headerRetryAfter = "Retry-After"

// maxPause bounds the pause that a server may ask for; a longer one is cut to it.
const maxPause = time.Hour

// Headers names the headers by which servers report, besides Retry-After.
type Headers struct {
	// Limit holds a rate in requests per second.
	Limit string
	// Leaving is set by a server that shuts down; any value but 0 counts.
	Leaving string
}

// Report is what one answer reports. Its fields are exported because it is data without behaviour.
type Report struct {
	// Limit is the rate in requests per second that the server accepts from everybody together;
	// nil if it reports none or Err is set.
	Limit *float64
	// RetryAfter is how long the server wants no requests from this process; zero if it did
	// not ask for a pause.
	RetryAfter time.Duration
	// Leaving is set once the server shuts down. It stays set until its process ends.
	Leaving bool
	// Err says which headers could not be read. What was known of them stays in force.
	Err error
}

// Decode returns what an answer with a status reports. now is the time of day, which a pause that
// ends at a date is counted from.
func (he Headers) Decode(status int, header http.Header, now time.Time) Report {
	var re Report
	var errLimit, errPause error
	re.Limit, errLimit = parseRate(he.Limit, header.Get(he.Limit))
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		re.RetryAfter, errPause = parseRetryAfter(header.Get(headerRetryAfter), now)
	}
	re.Leaving = parseFlag(header.Get(he.Leaving))
	re.Err = errors.Join(errLimit, errPause)
	return re
}

// parseRate reads a rate in requests per second, nil for none.
func parseRate(name, text string) (*float64, error) {
	if text == "" {
		return nil, nil //nolint:nilnil // there is none
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return nil, eris.Errorf("%s: %.40q is no rate", name, text)
	}
	return &rate, nil
}

// parseRetryAfter reads a pause, zero for none.
func parseRetryAfter(text string, now time.Time) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(maxPause, max(0, at.Sub(now))), nil
	}
	sec, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(sec) || math.IsInf(sec, 0) || sec < 0 {
		return 0, eris.Errorf("%s: %.40q is neither seconds nor a date", headerRetryAfter, text)
	}
	return time.Duration(min(maxPause.Seconds(), sec) * float64(time.Second)), nil
}

// parseFlag reads a header that is set or not.
func parseFlag(text string) bool {
	text = strings.TrimSpace(text)
	return text != "" && text != "0"
}
