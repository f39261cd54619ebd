package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRejectedRatingsNameTheReason(t *testing.T) {
	for _, tc := range []struct{ body, reason string }{
		{`[{"score":1.1}]`, "score: must be from 0 to 1"},
		{"[" + strings.Repeat(`{"score":1},`, maxRatings) + `{"score":1}]`, "ratings: must be 10000 at the most"},
	} {
		rec := httptest.NewRecorder()
		new(Entry).postRatings(rec, httptest.NewRequest(http.MethodPost, "/v1/ratings", strings.NewReader(tc.body)))
		require.Equal(t, http.StatusBadRequest, rec.Code)
		require.Contains(t, rec.Body.String(), tc.reason)
	}
}
