package explain

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/freshness"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// restoreWindow is the time after a restore of the key-value service during which the explanation of a
// request mentions the restore as a possible cause.
const restoreWindow = 30 * time.Second

// maxLineBytes bounds a line of a log. The records that a gateway writes have a few hundred bytes.
const maxLineBytes = 1 << 20

// Explainer collects the log records that concern one request and explains how the request ended.
// Its exported fields are set before Read.
type Explainer struct {
	// Request is the ID that the caller assigned to one attempt.
	Request string

	records []record
	// boxRecords holds the records about the state of boxes, by box.
	boxRecords map[string][]record
	// crashRecords holds the records of server crashes and of blocked requests.
	crashRecords []record
	// parsed and malformed count the log lines that could and could not be parsed.
	parsed, malformed int
}

// Read reads a log. It skips malformed lines and counts them.
func (ex *Explainer) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		text := sc.Text()
		rc, ok := parse(text)
		switch {
		case !ok && strings.Contains(text, `"event"`):
			ex.malformed++
		case ok:
			ex.parsed++
			ex.add(rc)
		}
	}
	return eris.Wrap(sc.Err(), "read log")
}

func (ex *Explainer) add(rc record) {
	switch {
	case rc.Request == ex.Request && rc.Request != "":
		ex.records = append(ex.records, rc)
	case rc.Event == event.ServerEnded, rc.Event == event.RequestBlocked:
		ex.crashRecords = append(ex.crashRecords, rc)
	case rc.Request == "" && isBoxEvent(rc.Event):
		if ex.boxRecords == nil {
			ex.boxRecords = map[string][]record{}
		}
		ex.boxRecords[rc.Box] = append(ex.boxRecords[rc.Box], rc)
	}
}

// isBoxEvent reports whether an event changes the state of its box in a way that may explain how
// requests on that box ended.
func isBoxEvent(id event.ID) bool {
	switch id {
	case event.ProcessStarted, event.ProcessStopping, event.StoreLost, event.StoreRegained, event.StateRead, event.ConfigInForce,
		event.DataCentreEvacuated, event.DataCentreRestored, event.ServerCold, event.ServerWarm,
		event.ServerLimited, event.ServerUnlimited, event.ServerPaused, event.ServerResumed,
		event.ServerLeaving, event.ServerGone, event.StoreRestored:
		return true
	}
	return false
}

// MalformedLines returns the number of log records that could not be parsed.
func (ex *Explainer) MalformedLines() int { return ex.malformed }

// Explain returns the explanation, one sentence per element in order of time, with the cause last. If the
// logs don't contain the request, it returns an error with the code result.UnknownRequest.
func (ex *Explainer) Explain() ([]string, error) {
	if len(ex.records) == 0 {
		return nil, result.New(result.UnknownRequest, fmt.Sprintf("%s in %d log records, %d malformed", ex.Request, ex.parsed, ex.malformed))
	}
	slices.SortStableFunc(ex.records, func(a, b record) int { return a.Time.Compare(b.Time) })
	var sentences []string
	var end *record
	for i := range ex.records {
		rc := &ex.records[i]
		sentences = append(sentences, rc.sentence())
		if rc.endsRequest() {
			end = rc
		}
	}
	if end == nil {
		return append(sentences, "Cause: unknown; the end of the request is not logged: the process "+ex.records[0].Box+" was killed or its log is truncated."), nil
	}
	if end.Source != "" {
		sentences = append(sentences, end.configuration())
	}
	if boxState := ex.boxState(end); boxState != "" {
		sentences = append(sentences, boxState)
	}
	sentences = append(sentences, ex.crashes(end)...)
	return append(sentences, "Cause: "+ex.cause(end)), nil
}

// sentence returns the sentence that describes a record of the request.
func (rc *record) sentence() string {
	at := rc.Time.UTC().Format("15:04:05.000") + " " + rc.Box + ": "
	switch rc.Event {
	case event.RequestRetried:
		return at + fmt.Sprintf("%s %s; retried at %s.", rc.Previous, rc.previousOutcome(), rc.Server)
	case event.RequestEscalated:
		return at + fmt.Sprintf("%s answered after %.0f ms with a confidence of %d; escalated to the larger model %s at %s.",
			rc.Previous, rc.PreviousMS, rc.Confidence, rc.Model, rc.Server)
	case event.RequestFellBack:
		return at + fmt.Sprintf("%s did not answer (%s); the earlier answer from %s is delivered.", rc.Previous, rc.Error, rc.Server)
	case event.RequestResumed:
		return at + fmt.Sprintf("the stream from %s was interrupted or timed out %.0f ms after its start; resumed at %s after event %q.",
			rc.Previous, rc.PreviousMS, rc.Server, rc.LastEvent)
	}
	return at + fmt.Sprintf("%s after %.1f ms, %d attempts sent, %d may have run; %s (%d).",
		strings.ReplaceAll(event.Name(rc.Event), "_", " "), rc.DurationMS, rc.Sends, rc.Runs, result.Lookup(rc.Code).Name(), rc.Code)
}

// configuration describes the configuration that the request was decided by.
func (rc *record) configuration() string {
	source := "gateway " + rc.Source
	if rc.Source == freshness.Service {
		source = "the key-value service"
	}
	return fmt.Sprintf("Decided by configuration version %.0f, at most %.1f s old, last confirmed by %s.", rc.Version, rc.ConfigAgeMS/1000, source)
}

// previousOutcome describes the outcome of an attempt that was retried.
func (rc *record) previousOutcome() string {
	if rc.PreviousStatus != 0 {
		return fmt.Sprintf("answered with status %d after %.0f ms", rc.PreviousStatus, rc.PreviousMS)
	}
	return fmt.Sprintf("did not answer within %.0f ms (%s)", rc.PreviousMS, rc.Reason)
}

// cause returns why the request ended with the code of its last record.
func (ex *Explainer) cause(end *record) string {
	switch end.Code {
	case result.OK:
		if end.Status >= 500 {
			return fmt.Sprintf("server %s failed the request with status %d, and no further attempt was allowed.", end.Server, end.Status)
		}
		return "none, the request was answered."
	case result.Stopped:
		return "the caller closed its connection or cancelled the request."
	case result.StaleConfiguration:
		return fmt.Sprintf("the configuration might be %.1f s old, too old to accept a key. %s", end.ConfigAgeMS/1000, ex.storeState(end))
	case result.NoConfiguration:
		return "the process had not read a configuration yet. " + ex.storeState(end)
	case result.Leaving:
		return "the box was shutting down. " + ex.stopState(end)
	case result.LinkLost:
		if end.Detail != "" {
			return fmt.Sprintf("%s; the last attempt was at %s.", end.Detail, end.Server)
		}
		return fmt.Sprintf("%d attempts that may have run got no answer, the last at %s; no further attempt was allowed.", end.Runs, end.Server)
	case result.AnswerBroken:
		return fmt.Sprintf("the answer was interrupted and could not be resumed on another server after %d attempts that may have run: %s.", end.Runs, end.Detail)
	}
	return result.Lookup(end.Code).Text() + "."
}

// boxState describes which data centres and servers a box did not use, or used with reduced load, when
// a request ended there, and whether the key-value service had just been restored. It returns "" if
// none of this applies.
func (ex *Explainer) boxState(end *record) string {
	evacuated := ex.active(end, event.DataCentreEvacuated, event.DataCentreRestored, func(rc *record) string { return rc.DataCentre })
	cold := ex.active(end, event.ServerCold, event.ServerWarm, func(rc *record) string { return rc.Server })
	limited := ex.active(end, event.ServerLimited, event.ServerUnlimited, func(rc *record) string { return rc.Server })
	paused := ex.active(end, event.ServerPaused, event.ServerResumed, func(rc *record) string { return rc.Server })
	leaving := ex.active(end, event.ServerLeaving, event.ServerGone, (*record).serverID)
	var clauses []string
	if len(evacuated) > 0 {
		clauses = append(clauses, "no requests were sent to evacuated data centres ("+strings.Join(evacuated, ", ")+")")
	}
	if len(cold) > 0 {
		clauses = append(clauses, fmt.Sprintf("%d servers were warming up with reduced load", len(cold)))
	}
	if len(limited) > 0 {
		clauses = append(clauses, fmt.Sprintf("%d servers announced a rate limit and got this box's share of it", len(limited)))
	}
	if len(paused) > 0 {
		clauses = append(clauses, fmt.Sprintf("%d servers had requested a pause and got no requests", len(paused)))
	}
	if len(leaving) > 0 {
		clauses = append(clauses, fmt.Sprintf("%d servers had announced their shutdown and got no requests", len(leaving)))
	}
	if last := ex.lastBoxRecord(end, event.StoreRestored); last != nil && end.Time.Sub(last.Time) < restoreWindow {
		clauses = append(clauses, fmt.Sprintf("the key-value service had been restored from an older copy %s before (revision %s after %s)",
			since(last, end), last.Revision, last.Previous))
	}
	if clauses == nil {
		return ""
	}
	return "At " + end.Box + " " + strings.Join(clauses, ", and ") + "."
}

// serverID returns the record's server ID without the server instance after "@".
func (rc *record) serverID() string {
	id, _, _ := strings.Cut(rc.Server, "@")
	return id
}

// active returns the sorted names of the conditions that had begun but not ended at a box when a
// request ended there. A process start clears all conditions of its box.
func (ex *Explainer) active(end *record, begins, ends event.ID, name func(rc *record) string) []string {
	list := slices.Clone(ex.boxRecords[end.Box])
	slices.SortStableFunc(list, func(a, b record) int { return a.Time.Compare(b.Time) })
	names := map[string]bool{}
	for i := range list {
		rc := &list[i]
		switch {
		case rc.Time.After(end.Time):
		case rc.Event == begins:
			names[name(rc)] = true
		case rc.Event == ends:
			delete(names, name(rc))
		case rc.Event == event.ProcessStarted:
			clear(names)
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// storeState describes whether the key-value service answered the box when a request ended there, by
// the last record about it or about the start of the process.
func (ex *Explainer) storeState(end *record) string {
	last := ex.lastBoxRecord(end, event.StoreLost, event.StoreRegained, event.ProcessStarted)
	switch {
	case last == nil:
		return "The state of the key-value service at " + end.Box + " before then is not logged."
	case last.Event == event.StoreLost:
		return fmt.Sprintf("The key-value service had not answered %s for %s: %s", end.Box, since(last, end), last.Error)
	case last.Event == event.ProcessStarted:
		return fmt.Sprintf("Its process had started %s before.", since(last, end))
	}
	return fmt.Sprintf("The key-value service had been answering %s again for %s.", end.Box, since(last, end))
}

// stopState describes when the shutdown of the box began, or returns "" if it is not logged.
func (ex *Explainer) stopState(end *record) string {
	if last := ex.lastBoxRecord(end, event.ProcessStopping); last != nil {
		return fmt.Sprintf("The shutdown had begun %s before.", since(last, end))
	}
	return ""
}

// lastBoxRecord returns the newest record with one of the given events from the box of end, up to
// the time of end, or nil if there is none.
func (ex *Explainer) lastBoxRecord(end *record, ids ...event.ID) *record {
	var last *record
	for i := range ex.boxRecords[end.Box] {
		rc := &ex.boxRecords[end.Box][i]
		if slices.Contains(ids, rc.Event) && !rc.Time.After(end.Time) && (last == nil || !rc.Time.Before(last.Time)) {
			last = rc
		}
	}
	return last
}

func since(from, to *record) string { return to.Time.Sub(from.Time).Round(time.Millisecond).String() }
