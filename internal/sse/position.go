package sse

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Position is the id of an event whose stream numbers its events. Positions rise within a stream.
type Position uint64

// parsePosition returns the position that an id names, or false if it is not a number.
func parsePosition(id string) (Position, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return Position(n), err == nil
}

var (
	// ErrNoPosition means that an event of a numbered stream has no id, several or one that is not a number.
	ErrNoPosition = eris.New("event has no position")
	// ErrPositionNotRisen means that an event does not follow the one before it.
	ErrPositionNotRisen = eris.New("event does not follow the one before")
)

// Cursor is the position up to which a caller has received a stream, which may consist of the responses of
// several servers. The zero value is the beginning.
type Cursor struct {
	last  Position
	known bool
}

// NewCursor returns the cursor of a caller that has received a stream up to an event. An id that is not a
// number is the beginning.
func NewCursor(lastEventID string) Cursor {
	po, ok := parsePosition(lastEventID)
	return Cursor{last: po, known: ok}
}

// ID returns the id of the last event that the caller received, or "" at the beginning.
func (cu Cursor) ID() string {
	if !cu.known {
		return ""
	}
	return strconv.FormatUint(uint64(cu.last), 10)
}

// Advance records that the caller received an event.
func (cu *Cursor) Advance(ev Event) {
	if po, ok := ev.position(); ok {
		cu.last, cu.known = po, true
	}
}

// Sequence checks the order of the events in one server's response.
type Sequence struct {
	numbered, begun bool
	last            Position
}

// NewSequence returns a sequence. If numbered is set, each event must have a position, so that the stream can
// be resumed after it; otherwise the first event decides whether the stream numbers its events.
func NewSequence(numbered bool) *Sequence { return &Sequence{numbered: numbered} }

// Accept reports whether an event is new to a caller. It is not if the server began earlier than at the
// cursor. An error means that the response cannot be used from this event on.
func (sq *Sequence) Accept(ev Event, cu Cursor) (isNew bool, err error) {
	if ev.isComment() {
		return true, nil
	}
	po, ok := ev.position()
	if !sq.begun {
		sq.numbered = sq.numbered || len(ev.ids) > 0
	}
	switch {
	case !sq.numbered && len(ev.ids) == 0:
		sq.begun = true
		return true, nil
	case !ok:
		return false, ErrNoPosition
	case sq.begun && (!sq.numbered || po <= sq.last):
		return false, ErrPositionNotRisen
	}
	sq.begun, sq.last = true, po
	return !cu.known || po > cu.last, nil
}

// position returns the position of an event, or false if it has no id, several or one that is not a number.
func (ev Event) position() (Position, bool) {
	if len(ev.ids) != 1 {
		return 0, false
	}
	return parsePosition(ev.ids[0])
}

// isComment reports whether an event consists of comments, which servers send to keep a connection open.
func (ev Event) isComment() bool {
	for line := range bytes.Lines(ev.raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
