package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/change"
	"github.com/linnetrudder/linnetrudder/internal/config"
)

// Guards against an operator who gets another operator's change as the outcome of one whose write had no response.
func TestOperatorGetsTheOwnChangeAfterALostResponse(t *testing.T) {
	st := &singleKeyStore{}
	own := withChange(&config.Envelope{}, "own")
	st.put(t, withChange(own, "other"), 2)
	re := httptest.NewRecorder()
	newWatcher(st).apply(re, httptest.NewRequest(http.MethodPut, "/v1/config", nil), change.Request{Operation: "own"})
	require.Equal(t, http.StatusOK, re.Code)
	var got config.Change
	require.NoError(t, json.Unmarshal(re.Body.Bytes(), &got))
	require.Equal(t, own.Changes[0], got)
}
