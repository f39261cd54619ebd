package agent

import (
	"net/http"
)

// heard reads what the server says of itself in the head of an answer.
func (ag *Agent) heard(_ http.Header) {}
