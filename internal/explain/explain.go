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
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// restoredRecently is how long after it a restore of the key-value service may explain what became
// of a request.
const restoredRecently = 30 * time.Second

// maxLine bounds a line of a log in bytes; a gateway writes some hundred.
const maxLine = 1 << 20

// Explainer is what the logs say of one request. Its exported fields are set before Read.
type Explainer struct {
	// Request is the caller's id of one attempt of its own.
	Request string

	lines []line
	// boxes holds the lines on the state of boxes, by box.
	boxes map[string][]line
	// copies holds the lines on requests under which servers ended.
	copies []line
	// read and torn count the lines of logs, and those that could not be read.
	read, torn int
}

// Read takes a log. Lines that are torn are counted and passed over.
func (st *Explainer) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Text()
		li, ok := parse(text)
		switch {
		case !ok && strings.Contains(text, `"event"`):
			st.torn++
		case ok:
			st.read++
			st.take(li)
		}
	}
	return eris.Wrap(sc.Err(), "read log")
}

func (st *Explainer) take(li line) {
	switch {
	case li.Request == st.Request && li.Request != "":
		st.lines = append(st.lines, li)
	case li.Event == event.ServerEnded, li.Event == event.RequestBlocked:
		st.copies = append(st.copies, li)
	case li.Request == "" && ofBox(li.Event):
		if st.boxes == nil {
			st.boxes = map[string][]line{}
		}
		st.boxes[li.Box] = append(st.boxes[li.Box], li)
	}
}

// ofBox reports whether an event may explain what became of requests on its box.
func ofBox(id event.ID) bool {
	switch id {
	case event.ProcessStarted, event.ProcessStopping, event.StoreLost, event.StoreRegained, event.StateRead, event.ConfigInForce,
		event.DataCentreEvacuated, event.DataCentreRestored, event.ServerCold, event.ServerWarm,
		event.ServerLimited, event.ServerUnlimited, event.ServerPaused, event.ServerResumed,
		event.ServerLeaving, event.ServerGone, event.StoreRestored:
		return true
	}
	return false
}

// MalformedLines returns how many lines could not be read.
func (st *Explainer) MalformedLines() int { return st.torn }

// Explain returns the story, a sentence each, the cause last. The error has a code if the
// logs do not know the request.
func (st *Explainer) Explain() ([]string, error) {
	if len(st.lines) == 0 {
		return nil, result.New(result.UnknownRequest, fmt.Sprintf("%s in %d lines of logs, %d torn", st.Request, st.read, st.torn))
	}
	slices.SortStableFunc(st.lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	var told []string
	var end *line
	for i := range st.lines {
		li := &st.lines[i]
		told = append(told, li.sentence())
		if li.ends() {
			end = li
		}
	}
	if end == nil {
		return append(told, "Cause: unknown; no line on its end: the process "+st.lines[0].Box+" was killed or its log is cut."), nil
	}
	if around := st.around(end); around != "" {
		told = append(told, around)
	}
	told = append(told, st.endsUnder(end)...)
	return append(told, "Cause: "+st.cause(end)), nil
}

// sentence says what a line says.
func (li *line) sentence() string {
	at := li.Time.UTC().Format("15:04:05.000") + " " + li.Box + ": "
	switch li.Event {
	case event.RequestRetried:
		return at + fmt.Sprintf("%s %s; tried again at %s.", li.Before, li.gave(), li.Server)
	case event.RequestEscalated:
		return at + fmt.Sprintf("%s answered after %.0f ms with a confidence of %d; the larger model %s is asked at %s.",
			li.Before, li.BeforeMS, li.Confidence, li.Model, li.Server)
	case event.RequestFellBack:
		return at + fmt.Sprintf("%s gave no answer (%s); the one that %s had given before is delivered.", li.Before, li.Error, li.Server)
	case event.RequestResumed:
		return at + fmt.Sprintf("the stream from %s broke off or was silent %.0f ms after its beginning; it goes on at %s after event %q.",
			li.Before, li.BeforeMS, li.Server, li.LastEvent)
	}
	return at + fmt.Sprintf("%s after %.1f ms, %d attempts sent, %d may have run; %s (%d).",
		strings.ReplaceAll(event.Name(li.Event), "_", " "), li.MS, li.Sends, li.Runs, result.Lookup(li.Code).Name(), li.Code)
}

// gave says what an attempt gave that is followed by another.
func (li *line) gave() string {
	if li.BeforeStatus != 0 {
		return fmt.Sprintf("answered %d after %.0f ms", li.BeforeStatus, li.BeforeMS)
	}
	return fmt.Sprintf("gave no answer within %.0f ms (%s)", li.BeforeMS, li.Why)
}

// cause says why a request ended as it did.
func (st *Explainer) cause(end *line) string {
	switch end.Code {
	case result.OK:
		if end.Status >= 500 {
			return fmt.Sprintf("server %s failed the request itself, status %d, and no other run was allowed.", end.Server, end.Status)
		}
		return "none, it was answered."
	case result.Stopped:
		return "the caller closed its connection or gave up."
	case result.StaleConfiguration:
		return fmt.Sprintf("the configuration might be %.1f s old, too old to accept a key. %s", end.AgeMS/1000, st.service(end))
	case result.NoConfiguration:
		return "the process had read no configuration yet. " + st.service(end)
	case result.Leaving:
		return "the box was being stopped. " + st.stopping(end)
	case result.LinkLost:
		if end.Detail != "" {
			return fmt.Sprintf("%s; the last attempt was at %s.", end.Detail, end.Server)
		}
		return fmt.Sprintf("%d runs gave no answer, the last at %s; no more were allowed.", end.Runs, end.Server)
	case result.AnswerBroken:
		return fmt.Sprintf("the answer broke off and could not go on elsewhere after %d runs: %s.", end.Runs, end.Detail)
	}
	return result.Lookup(end.Code).Text() + "."
}

// around says which data centres and servers a box did not use, or not fully, when a request
// ended there, and whether the key-value service had just been restored; empty if neither.
func (st *Explainer) around(end *line) string {
	evacuated := st.inForce(end, event.DataCentreEvacuated, event.DataCentreRestored, func(li *line) string { return li.Of })
	cold := st.inForce(end, event.ServerCold, event.ServerWarm, func(li *line) string { return li.Server })
	limited := st.inForce(end, event.ServerLimited, event.ServerUnlimited, func(li *line) string { return li.Server })
	paused := st.inForce(end, event.ServerPaused, event.ServerResumed, func(li *line) string { return li.Server })
	leaving := st.inForce(end, event.ServerLeaving, event.ServerGone, (*line).serverID)
	var parts []string
	if len(evacuated) > 0 {
		parts = append(parts, "nothing was sent to evacuated data centres ("+strings.Join(evacuated, ", ")+")")
	}
	if len(cold) > 0 {
		parts = append(parts, fmt.Sprintf("%d servers were cold and got a part of their usual load", len(cold)))
	}
	if len(limited) > 0 {
		parts = append(parts, fmt.Sprintf("%d servers named a limit and got this box's part of it", len(limited)))
	}
	if len(paused) > 0 {
		parts = append(parts, fmt.Sprintf("%d servers had asked for a pause and got nothing", len(paused)))
	}
	if len(leaving) > 0 {
		parts = append(parts, fmt.Sprintf("%d servers had announced their shutdown and got nothing", len(leaving)))
	}
	if last := st.lastOf(end, event.StoreRestored); last != nil && end.Time.Sub(last.Time) < restoredRecently {
		parts = append(parts, fmt.Sprintf("the key-value service had come back from an older copy %s before (revision %s after %s)",
			since(last, end), last.Revision, last.Before))
	}
	if parts == nil {
		return ""
	}
	return "At " + end.Box + " " + strings.Join(parts, ", and ") + "."
}

// serverID returns the id of a line's server without its birth.
func (li *line) serverID() string {
	id, _, _ := strings.Cut(li.Server, "@")
	return id
}

// inForce returns the names, in order, of what had begun at a box before a line and not
// ended. A process that starts knows of nothing.
func (st *Explainer) inForce(end *line, begins, ends event.ID, name func(li *line) string) []string {
	list := slices.Clone(st.boxes[end.Box])
	slices.SortStableFunc(list, func(a, b line) int { return a.Time.Compare(b.Time) })
	holds := map[string]bool{}
	for i := range list {
		li := &list[i]
		switch {
		case li.Time.After(end.Time):
		case li.Event == begins:
			holds[name(li)] = true
		case li.Event == ends:
			delete(holds, name(li))
		case li.Event == event.ProcessStarted:
			clear(holds)
		}
	}
	return slices.Sorted(maps.Keys(holds))
}

// service says what was last heard on the key-value service at the box before a line.
func (st *Explainer) service(end *line) string {
	last := st.lastOf(end, event.StoreLost, event.StoreRegained, event.ProcessStarted)
	switch {
	case last == nil:
		return "Nothing is logged on the key-value service at " + end.Box + " before."
	case last.Event == event.StoreLost:
		return fmt.Sprintf("The key-value service had been silent at %s for %s: %s", end.Box, since(last, end), last.Error)
	case last.Event == event.ProcessStarted:
		return fmt.Sprintf("Its process had started %s before.", since(last, end))
	}
	return fmt.Sprintf("The key-value service had answered again at %s for %s.", end.Box, since(last, end))
}

func (st *Explainer) stopping(end *line) string {
	if last := st.lastOf(end, event.ProcessStopping); last != nil {
		return fmt.Sprintf("The stop had begun %s before.", since(last, end))
	}
	return ""
}

// lastOf returns the newest line of a box before another with one of some events.
func (st *Explainer) lastOf(end *line, ids ...event.ID) *line {
	var last *line
	for i := range st.boxes[end.Box] {
		li := &st.boxes[end.Box][i]
		if slices.Contains(ids, li.Event) && !li.Time.After(end.Time) && (last == nil || !li.Time.Before(last.Time)) {
			last = li
		}
	}
	return last
}

func since(from, to *line) string { return to.Time.Sub(from.Time).Round(time.Millisecond).String() }
