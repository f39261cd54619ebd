// Package explain determines from gateway logs how a request ended and why, and describes it in
// sentences for on-call engineers. Logs of several boxes may be read in any order.
package explain

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// record is a log record of a gateway. Its fields are exported for encoding/json.
type record struct {
	Time  time.Time `json:"time"`
	Box   string    `json:"box"`
	Event event.ID  `json:"event"`
	// Request is the ID that the caller assigned to this attempt; empty in records about the box itself.
	Request string      `json:"request"`
	Route   string      `json:"route"`
	Team    string      `json:"team"`
	Code    result.Code `json:"code"`
	// ConfigAgeMS is the upper bound of the configuration's age, DurationMS the duration of the
	// request.
	ConfigAgeMS float64 `json:"age_ms"`
	DurationMS  float64 `json:"ms"`
	// Source is what confirmed the configuration: the key-value service or the box of another gateway.
	Source string `json:"source"`
	// Version is a configuration version or a server version, depending on the event.
	Version any `json:"version"`
	Sends   int `json:"sends"`
	Runs    int `json:"runs"`
	// Server and Model are those of the logged attempt, or of the last attempt of the request.
	Server string `json:"server"`
	// DataCentre is the data centre that the event is about, which may differ from the box's own.
	DataCentre string `json:"of"`
	Model      string `json:"model"`
	Status     int    `json:"status"`
	// Previous is the server of the previous attempt. PreviousStatus and Confidence are those of its
	// response, PreviousMS is the time from its start to the start of this attempt, and Reason is its
	// error.
	Previous       string  `json:"before"`
	PreviousStatus int     `json:"before_status"`
	PreviousMS     float64 `json:"before_ms"`
	Confidence     int     `json:"confidence"`
	Reason         string  `json:"why"`
	LastEvent      string  `json:"last_event"`
	Detail         string  `json:"detail"`
	Error          string  `json:"error"`
	// Revision is a revision of the key-value service. For event.StoreRestored, Previous is the
	// revision before the restore.
	Revision string `json:"revision"`
	// Fingerprint is the request's fingerprint. Fingerprints holds "id fingerprint" of each request
	// that was running on a server when the server crashed.
	Fingerprint  string   `json:"print"`
	Fingerprints []string `json:"prints"`
	// Parts holds the ids of the prompt's parts that other requests may share; in the record of a crash,
	// "part team count" of those that the suspects had.
	Parts []string `json:"parts"`
	// Part is the part of prompts that was blocked, for the requests of Team or of all teams, empty if a
	// request was. By is the box that blocked it, Crashes and Requests are its evidence, Until the end.
	Part     string    `json:"part"`
	AllTeams bool      `json:"all_teams"`
	By       string    `json:"by"`
	Crashes  int       `json:"servers"`
	Requests int       `json:"requests"`
	Until    time.Time `json:"until"`
}

// blocks reports whether the record is of a block that applies to a request.
func (rc *record) blocks(end *record) bool {
	if rc.Part != "" {
		return slices.Contains(end.Parts, rc.Part) && (rc.AllTeams || rc.Team == end.Team)
	}
	return rc.Fingerprint == end.Fingerprint
}

// parse parses a log line. It ignores a prefix before the JSON object, such as one added by a log
// collector, and reports false if the line is not a complete log record.
func parse(text string) (record, bool) {
	var rc record
	at := strings.IndexByte(text, '{')
	if at < 0 || json.Unmarshal([]byte(text[at:]), &rc) != nil {
		return record{}, false
	}
	return rc, rc.Event != 0
}

// endsRequest reports whether the record logs the end of a request.
func (rc *record) endsRequest() bool {
	switch rc.Event {
	case event.RequestAnswered, event.RequestRefused, event.RequestFailed:
		return true
	}
	return false
}
