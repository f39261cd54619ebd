package response

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/linnetrudder/linnetrudder/internal/excerpt"
)

// Defect is what makes a response invalid. Its values appear in logs and metrics.
type Defect string

// The defects. Version: the response is not of HTTP/1. Status: no final status, or a change of protocol that the
// request did not ask for. Name and Trailer: the name of a field of the head or of the trailer is not a token.
const (
	DefectVersion Defect = "version"
	DefectStatus  Defect = "status"
	DefectName    Defect = "name"
	DefectTrailer Defect = "trailer"
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
	if err := checkNames(resp.Header, DefectName); err != nil {
		return err
	}
	return CheckTrailer(resp.Trailer)
}

func validStatus(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return resp.Request != nil && resp.Request.Header.Get("Upgrade") != ""
	}
	return resp.StatusCode >= minStatus && resp.StatusCode <= maxStatus
}

// checkNames returns a *MalformedError if the name of a field is not a token. net/http accepts names with blanks, and a
// field whose name is misread may be the one that decides where the response ends, or whose it is.
func checkNames(fields http.Header, defect Defect) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{defect: defect, detail: name}
		}
	}
	return nil
}

// CheckTrailer returns a *MalformedError if the trailer of a response is not valid. It is complete once the body was
// read to its end.
func CheckTrailer(trailer http.Header) error { return checkNames(trailer, DefectTrailer) }
