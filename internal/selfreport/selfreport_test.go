package selfreport

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	headers = Headers{Limit: "X-Limit", Leaving: "X-Leaving"}
	now     = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

func decode(status int, pairs ...string) Report {
	header := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		header.Set(pairs[i], pairs[i+1])
	}
	return headers.Decode(status, header, now)
}

func TestHeadersAreDecoded(t *testing.T) {
	require.Equal(t, Report{}, decode(http.StatusOK))
	rate := 1.5
	require.Equal(t, Report{Limit: &rate, Leaving: true}, decode(http.StatusOK, "X-Limit", "1.5", "X-Leaving", "1"))
	require.Equal(t, Report{RetryAfter: time.Second, Leaving: true}, decode(http.StatusServiceUnavailable, "Retry-After", "1", "X-Leaving", "yes"))
	require.False(t, decode(http.StatusOK, "X-Leaving", "0").Leaving)
}

func TestOnlyRejectionsRequestAPause(t *testing.T) {
	for status, want := range map[int]time.Duration{
		http.StatusServiceUnavailable: 3 * time.Second, http.StatusTooManyRequests: 3 * time.Second,
		http.StatusOK: 0, http.StatusInternalServerError: 0, http.StatusMovedPermanently: 0,
	} {
		require.Equal(t, want, decode(status, "Retry-After", "3").RetryAfter, status)
	}
}

func TestPausesAreSecondsOrDates(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2.5": 2500 * time.Millisecond, " 3 ": 3 * time.Second, "0": 0, "86400": maxPause,
		"Fri, 02 Jan 2026 03:04:15 GMT": 10 * time.Second, "Fri, 02 Jan 2026 03:04:00 GMT": 0,
		"Sat, 03 Jan 2026 03:04:05 GMT": maxPause,
	} {
		re := decode(http.StatusServiceUnavailable, "Retry-After", text)
		require.NoError(t, re.Err, text)
		require.Equal(t, want, re.RetryAfter, text)
	}
}

func TestErrorsNameInvalidHeaders(t *testing.T) {
	for _, text := range []string{"soon", "-1", "NaN", "1,5", "+Inf"} {
		re := decode(http.StatusServiceUnavailable, "Retry-After", text, "X-Leaving", "1", "X-Limit", "2")
		require.ErrorContains(t, re.Err, "Retry-After", text)
		require.True(t, re.Leaving)
		require.InDelta(t, 2, *re.Limit, 0)
	}
	for _, text := range []string{"x", "-0.1", "NaN", "+Inf", "1,6"} {
		re := decode(http.StatusOK, "X-Limit", text)
		require.ErrorContains(t, re.Err, "X-Limit", text)
		require.Nil(t, re.Limit)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(503, "2.5", "1.6", "1")
	f.Add(429, "Fri, 02 Jan 2026 03:04:15 GMT", "1e300", "0")
	f.Fuzz(func(t *testing.T, status int, pause, limit, leaving string) {
		re := headers.Decode(status, http.Header{"Retry-After": {pause}, "X-Limit": {limit}, "X-Leaving": {leaving}}, now)
		require.GreaterOrEqual(t, re.RetryAfter, time.Duration(0))
		require.LessOrEqual(t, re.RetryAfter, maxPause)
		if re.Limit != nil {
			require.GreaterOrEqual(t, *re.Limit, 0.0)
		}
	})
}
