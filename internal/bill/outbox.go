package bill

import (
	"slices"
	"time"
	"unique"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// pendingLine is a line that is not known to be durable yet.
type pendingLine struct {
	line wire.BillLine
	// nextSend is when the line is sent next; interval is the time from then until it is sent again.
	nextSend time.Time
	interval time.Duration
}

// maxRetryInterval is the maximum time between two sends of a line.
const maxRetryInterval = 10 * time.Minute

// Outbox holds lines and sends them again until they are known to be durable. Both the entry and
// the agent of a request have its lines in their outbox, so that the loss of one box loses none.
// Its exported fields are set before use; it is not safe for concurrent use.
type Outbox struct {
	// Capacity is the maximum number of lines; new work is refused when it is reached.
	Capacity int
	// InitialDelay is the time after which a new line is sent first.
	InitialDelay time.Duration
	// RetryInterval is the time after which a line is sent again. It doubles with each send, up to
	// 10 minutes, so that an outage of an hour causes little traffic.
	RetryInterval time.Duration
	// SoftLimit is the number of lines above which RemoveAccepted removes lines.
	SoftLimit int

	// lines holds the lines by request and step.
	lines map[lineKey]*pendingLine
}

// Add adds a line, unless there is one for its request and step.
func (ou *Outbox) Add(li wire.BillLine, now time.Time) {
	if ou.lines == nil {
		ou.lines = map[lineKey]*pendingLine{}
	}
	key := keyOf(&li)
	if ou.lines[key] == nil {
		ou.lines[key] = &pendingLine{line: intern(li), nextSend: now.Add(ou.InitialDelay), interval: ou.RetryInterval}
	}
}

// intern makes lines share the memory of equal names, since tens of thousands of lines may be in
// memory during an outage of the store.
func intern(li wire.BillLine) wire.BillLine {
	li.Team = unique.Make(li.Team).Value()
	li.Version = unique.Make(li.Version).Value()
	li.Kind = unique.Make(li.Kind).Value()
	li.Box = unique.Make(li.Box).Value()
	return li
}

// Full reports whether Capacity is reached, so that work that would add a line must be refused.
func (ou *Outbox) Full() bool { return len(ou.lines) >= ou.Capacity }

// Len returns the number of lines.
func (ou *Outbox) Len() int { return len(ou.lines) }

// MakeAllDue makes every line due immediately. It is called when the process stops, or loses the
// link to the peer that would have sent the lines.
func (ou *Outbox) MakeAllDue(now time.Time) {
	for _, pe := range ou.lines {
		pe.nextSend, pe.interval = now, ou.RetryInterval
	}
}

// RemoveAccepted removes lines that a writer has accepted into memory if there are more than
// SoftLimit. The agent that ran the request keeps its line in any case, so two boxes still have it.
func (ou *Outbox) RemoveAccepted(lines []wire.BillLine) {
	if len(ou.lines) > ou.SoftLimit {
		ou.RemoveDurable(lines)
	}
}

// TakeDue returns at most limit lines that are due, and schedules their next send.
func (ou *Outbox) TakeDue(limit int, now time.Time) []wire.BillLine {
	var due []wire.BillLine
	for _, pe := range ou.lines {
		if len(due) == limit {
			break
		}
		if !now.Before(pe.nextSend) {
			pe.nextSend = now.Add(pe.interval)
			pe.interval = min(2*pe.interval, maxRetryInterval)
			due = append(due, pe.line)
		}
	}
	slices.SortFunc(due, func(a, b wire.BillLine) int { return compareLines(&a, &b) })
	return due
}

// RemoveDurable removes lines that are known to be in the store. Only their request and step are
// used.
func (ou *Outbox) RemoveDurable(lines []wire.BillLine) {
	for i := range lines {
		delete(ou.lines, keyOf(&lines[i]))
	}
}
