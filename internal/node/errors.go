package node

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// ErrorBody is the body of every answer that is an error. Its outer form is
// the one that clients of the chat completions protocol know.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what happened, whether the request ran, and when the
// caller may come back.
type ErrorDetail struct {
	Message string      `json:"message"`
	Type    string      `json:"type"`
	Code    result.Code `json:"code"`
	Run     result.Run  `json:"run"`
	// RetryAfterMS is zero if the same request will not do better later.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Request is the id of the request, if it got one.
	Request string `json:"request,omitempty"`
}

// NewErrorBody describes an outcome.
func NewErrorBody(er *result.Error, request string, after time.Duration) ErrorBody {
	ro := result.Of(er.Code())
	if after == 0 {
		after = ro.RetryAfter()
	}
	return ErrorBody{Error: ErrorDetail{
		Message:      er.Error(),
		Type:         ro.Name(),
		Code:         er.Code(),
		Run:          ro.Run(),
		RetryAfterMS: after.Milliseconds(),
		Request:      request,
	}}
}

// Encode returns the body of the answer.
func (pr ErrorBody) Encode() ([]byte, error) {
	body, err := json.Marshal(pr)
	return body, eris.Wrap(err, "encode problem")
}

// WriteError answers with an error; one without a code is a bad request.
func WriteError(w http.ResponseWriter, err error) {
	var er *result.Error
	if !errors.As(err, &er) {
		er = result.New(result.BadRequest, err.Error())
	}
	WriteErrorBody(w, NewErrorBody(er, "", 0))
}

// WriteErrorBody answers with a described outcome.
func WriteErrorBody(w http.ResponseWriter, pr ErrorBody) {
	if pr.Error.RetryAfterMS > 0 {
		sec := math.Ceil(float64(pr.Error.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(sec)))
	}
	status := result.Of(pr.Error.Code).Status()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(pr)
}

// BearerKey returns the key of an Authorization header, or "".
func BearerKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

func equalDigests(a, b string) int {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(a)), []byte(strings.ToLower(b)))
}
