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

// ErrorBody is the body of every error response. Its structure is that of the chat completions
// protocol, so that clients of the protocol can parse it.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error, whether the request ran, and when the caller may retry.
type ErrorDetail struct {
	Message string      `json:"message"`
	Type    string      `json:"type"`
	Code    result.Code `json:"code"`
	Run     result.Run  `json:"run"`
	// RetryAfterMS is the delay before a retry. It is zero if a retry would fail as well.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Request is the id of the request, if one was assigned.
	Request string `json:"request,omitempty"`
}

// NewErrorBody returns the body for an error. If after is zero, the default Retry-After of the
// error's code is used.
func NewErrorBody(er *result.Error, request string, after time.Duration) ErrorBody {
	ro := result.Lookup(er.Code())
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

// Encode returns the JSON encoding of the body.
func (eb ErrorBody) Encode() ([]byte, error) {
	body, err := json.Marshal(eb)
	return body, eris.Wrap(err, "encode error body")
}

// WriteError writes an error response. An error without a code is reported as a bad request.
func WriteError(w http.ResponseWriter, err error) {
	var er *result.Error
	if !errors.As(err, &er) {
		er = result.New(result.BadRequest, err.Error())
	}
	WriteErrorBody(w, NewErrorBody(er, "", 0))
}

// WriteErrorBody writes an error response with the status and Retry-After that match the body.
func WriteErrorBody(w http.ResponseWriter, eb ErrorBody) {
	if eb.Error.RetryAfterMS > 0 {
		sec := math.Ceil(float64(eb.Error.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(sec)))
	}
	status := result.Lookup(eb.Error.Code).Status()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(eb)
}

// BearerKey returns the bearer token of the Authorization header, or "" if there is none.
func BearerKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// equalDigests compares two digests in constant time, ignoring case. It returns 1 if they are
// equal, and 0 otherwise.
func equalDigests(a, b string) int {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(a)), []byte(strings.ToLower(b)))
}
