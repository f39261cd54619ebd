package bill

import (
	"slices"
	"time"
	"unique"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// pendingLine is a line that is not known to be durable.
type pendingLine struct {
	line wire.BillLine
	// nextSend is when it is handed on, for the first time or again; wait is the
	// time after that until it is handed on once more.
	nextSend time.Time
	interval time.Duration
}

// maxRetryInterval bounds the time until a line is handed on again.
const maxRetryInterval = 10 * time.Minute

// Outbox holds lines until they are known to be durable. Both the entry and
// the agent of a request hold its lines, so that the loss of one box loses
// nothing. Its exported fields are set before use; it is not safe for
// concurrent use.
type Outbox struct {
	// Capacity is how many lines are held; new work is refused beyond it.
	Capacity int
	// InitialDelay is how long a new line stays before it is handed on.
	InitialDelay time.Duration
	// RetryInterval is the time after which a line is handed on again; it doubles each
	// time, so that an hour of outage costs few bytes.
	RetryInterval time.Duration
	// SoftLimit is how many lines are held although another box has taken them.
	SoftLimit int

	// lines holds each line once, in any order.
	lines map[lineKey]*pendingLine
}

// Add holds a line.
func (le *Outbox) Add(li wire.BillLine, now time.Time) {
	if le.lines == nil {
		le.lines = map[lineKey]*pendingLine{}
	}
	key := keyOf(&li)
	if le.lines[key] == nil {
		le.lines[key] = &pendingLine{line: intern(li), nextSend: now.Add(le.InitialDelay), interval: le.RetryInterval}
	}
}

// intern lets lines share the few names that they hold. An outage of the
// store may leave tens of thousands of them in memory.
func intern(li wire.BillLine) wire.BillLine {
	li.Team = unique.Make(li.Team).Value()
	li.Version = unique.Make(li.Version).Value()
	li.Kind = unique.Make(li.Kind).Value()
	li.Box = unique.Make(li.Box).Value()
	return li
}

// Full reports whether work that would add a line must be refused.
func (le *Outbox) Full() bool { return len(le.lines) >= le.Capacity }

// Len returns how many lines are held.
func (le *Outbox) Len() int { return len(le.lines) }

// MakeAllDue makes every line due, because the process stops or has lost the peer
// that would have handed them on.
func (le *Outbox) MakeAllDue(now time.Time) {
	for _, he := range le.lines {
		he.nextSend, he.interval = now, le.RetryInterval
	}
}

// RemoveAccepted forgets lines that their writer holds in memory, if too many are held
// here. The agent that ran a request holds its line in any case, so two boxes
// still do.
func (le *Outbox) RemoveAccepted(lines []wire.BillLine) {
	if len(le.lines) > le.SoftLimit {
		le.RemoveDurable(lines)
	}
}

// TakeDue returns at most limit lines that must be handed on now, and notes that
// they are.
func (le *Outbox) TakeDue(limit int, now time.Time) []wire.BillLine {
	var due []wire.BillLine
	for _, he := range le.lines {
		if len(due) == limit {
			break
		}
		if !now.Before(he.nextSend) {
			he.nextSend = now.Add(he.interval)
			he.interval = min(2*he.interval, maxRetryInterval)
			due = append(due, he.line)
		}
	}
	slices.SortFunc(due, func(a, b wire.BillLine) int { return compareLines(&a, &b) })
	return due
}

// RemoveDurable forgets lines that are known to be written, by request and step.
func (le *Outbox) RemoveDurable(lines []wire.BillLine) {
	for i := range lines {
		delete(le.lines, keyOf(&lines[i]))
	}
}
