// Package story tells from the logs of gateways what became of one request and why, in
// words for who is on call. It reads lines of several boxes in any order.
package explain

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// line is one line of a gateway's log. Its fields are exported because the codec needs
// them.
type line struct {
	Time  time.Time `json:"time"`
	Box   string    `json:"box"`
	Event event.ID  `json:"event"`
	// Request is the caller's id of the attempt of its own; empty in lines on the box.
	Request string      `json:"request"`
	Route   string      `json:"route"`
	Team    string      `json:"team"`
	Code    result.Code `json:"code"`
	// AgeMS is how old the configuration may have been, MS how long the request took.
	AgeMS float64 `json:"age_ms"`
	MS    float64 `json:"ms"`
	// Version is a configuration's or a server version's, by event.
	Version any `json:"version"`
	Sends   int `json:"sends"`
	Runs    int `json:"runs"`
	// Server and Model are those of the attempt, or of the last one.
	Server string `json:"server"`
	// Of is the data centre that a line on one is about.
	Of     string `json:"of"`
	Model  string `json:"model"`
	Status int    `json:"status"`
	// Before and the fields after it are of the attempt before.
	Before       string  `json:"before"`
	BeforeStatus int     `json:"before_status"`
	BeforeMS     float64 `json:"before_ms"`
	Confidence   int     `json:"confidence"`
	Why          string  `json:"why"`
	LastEvent    string  `json:"last_event"`
	Detail       string  `json:"detail"`
	Error        string  `json:"error"`
	// Revision is a position in the key-value service, Before that before a restore.
	Revision string `json:"revision"`
	// Print is the request's fingerprint, Prints the ids and fingerprints of those that were
	// with a server when it ended.
	Print  string   `json:"print"`
	Prints []string `json:"prints"`
}

// parse reads one line of a file. What stands before the object, such as a collector's
// prefix, is passed over. It reports false for what is no whole line of a log.
func parse(text string) (line, bool) {
	var li line
	at := strings.IndexByte(text, '{')
	if at < 0 || json.Unmarshal([]byte(text[at:]), &li) != nil {
		return line{}, false
	}
	return li, li.Event != 0
}

// ends reports whether the line is on the end of a request.
func (li *line) ends() bool {
	switch li.Event {
	case event.RequestAnswered, event.RequestRefused, event.RequestFailed:
		return true
	}
	return false
}
