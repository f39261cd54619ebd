// Package selfreport decodes what a backend server reports about itself in the header of a
// response, independent of the result of the request: a rate limit, a pause, its shutdown. It does
// no I/O and reads no clock.
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

// headerRetryAfter is the standard header, a number of seconds or a date. Fractions of seconds are
// accepted.
const headerRetryAfter = "Retry-After"

// maxPause limits the pause that a server may request; longer pauses are truncated.
const maxPause = time.Hour

// Headers holds the names of the headers by which servers report, in addition to Retry-After.
type Headers struct {
	// Limit holds a rate in requests per second.
	Limit string
	// Leaving is set by a server that is shutting down; any value except 0 counts.
	Leaving string
}

// Report is the decoded report of one response. Its fields are exported because it is data without
// behaviour.
type Report struct {
	// Limit is the rate in requests per second that the server accepts from all clients together;
	// nil if it reports none or the header is invalid.
	Limit *float64
	// RetryAfter is how long the server accepts no requests from this process; zero if it did not
	// request a pause.
	RetryAfter time.Duration
	// Leaving is set once the server is shutting down. It remains set until its process ends.
	Leaving bool
	// Err names the invalid headers. Values known from earlier reports remain in effect.
	Err error
}

// Decode decodes the report of a response with a status. now is the time of day, used for a pause
// that ends at a date.
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

// parseRate parses a rate in requests per second; nil if there is none.
func parseRate(name, text string) (*float64, error) {
	if text == "" {
		return nil, nil //nolint:nilnil // no rate
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return nil, eris.Errorf("%s: %.40q is not a valid rate", name, text)
	}
	return &rate, nil
}

// parseRetryAfter parses a pause; zero if there is none.
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

// parseFlag parses a header that is a flag.
func parseFlag(text string) bool {
	text = strings.TrimSpace(text)
	return text != "" && text != "0"
}
