package response

import (
	"fmt"
	"net/http"

	"github.com/linnetrudder/linnetrudder/internal/excerpt"
)

// Defect is what makes a response invalid. Its values appear in logs and metrics.
type Defect string

// The defects. Version: the response is not of HTTP/1. Status: no final status, or a change of protocol that the
// request did not ask for.
const (
	DefectVersion Defect = "version"
	DefectStatus  Defect = "status"
)

// MalformedError is the error of a response that is not valid HTTP although it could be parsed. Nothing that it says is
// used, and its request may have run.
type MalformedError struct {
	defect Defect
	detail string
}

// Defect returns what makes the response invalid.
func (me *MalformedError) Defect() Defect { return me.defect }

func (me *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s %q", me.defect, excerpt.Of(me.detail))
}

const (
	// minStatus and maxStatus bound the final statuses that HTTP defines (RFC 9110, section 15).
	minStatus = 200
	maxStatus = 599
)

// Check returns a *MalformedError if the head of a response is not valid. Parsers of HTTP accept more than its
// specification does.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &MalformedError{defect: DefectVersion, detail: resp.Proto}
	}
	if !validStatus(resp) {
		return &MalformedError{defect: DefectStatus, detail: resp.Status}
	}
	return nil
}

func validStatus(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return resp.Request != nil && resp.Request.Header.Get("Upgrade") != ""
	}
	return resp.StatusCode >= minStatus && resp.StatusCode <= maxStatus
}
