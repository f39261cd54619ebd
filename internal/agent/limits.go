package agent

import (
	"math"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/backpressure"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// headerLimit is where a backend server names how many requests a second it takes; an answer
// without it names no limit.
const headerLimit = "X-Rate-Limit"

// heard reads what the server says of itself in the head of an answer.
func (ag *Agent) heard(he http.Header) {
	limit, err := parseLimit(he.Get(headerLimit))
	if err != nil {
		ag.Node.Note(timeline.Entry{Event: event.ServerLimited, Detail: err.Error()})
		return
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	change, acs := ag.gate.Limit(limit, clock.Now())
	switch change {
	case backpressure.Limited:
		ag.Node.Note(timeline.Entry{Event: event.ServerLimited, Detail: he.Get(headerLimit) + " requests a second"})
	case backpressure.Unlimited:
		ag.Node.Note(timeline.Entry{Event: event.ServerUnlimited})
	}
	ag.act(acs)
}

// parseLimit reads a rate in requests a second, nil for none. What can't be read changes
// nothing of what is known.
func parseLimit(text string) (*float64, error) {
	if text == "" {
		return nil, nil //nolint:nilnil // there is none
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return nil, eris.Errorf("%s: %.40q is no rate", headerLimit, text)
	}
	return &rate, nil
}
