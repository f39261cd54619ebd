package sse

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// follow passes the events of a stream to a sequence, and returns those that are new to the caller and the error
// that ended the stream, nil at its end.
func follow(t *testing.T, sq *Sequence, cu *Cursor, stream string) (delivered string, err error) {
	t.Helper()
	re := NewReader(strings.NewReader(stream))
	for {
		ev, err := re.Next()
		if err != nil {
			return delivered, nil //nolint:nilerr // the end of the stream
		}
		isNew, err := sq.Accept(ev, *cu)
		if err != nil {
			return delivered, err
		}
		if isNew {
			delivered += string(ev.Raw())
			cu.Advance(ev)
		}
	}
}

// Guards against a stream that is continued from an id that is no position, and against events that are
// delivered twice or out of order.
func TestOnlyRisingPositionsAreDelivered(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for name, tc := range map[string]struct {
		after, stream, delivered, cursor string
		err                              error
	}{
		"all":                      {"", one + two + three, one + two + three, "3", nil},
		"gaps":                     {"", one + three, one + three, "3", nil},
		"resumed":                  {"2", three, three, "3", nil},
		"resumed too early":        {"2", one + two + three, three, "3", nil},
		"comments":                 {"", ": wait\n\n" + one + ": wait\n\n" + two, ": wait\n\n" + one + ": wait\n\n" + two, "2", nil},
		"no id":                    {"", one + "data: x\n\n" + two, one, "1", ErrNoPosition},
		"no id first":              {"", "data: x\n\n" + one, "", "", ErrNoPosition},
		"empty id":                 {"", one + "id:\ndata: x\n\n", one, "1", ErrNoPosition},
		"word":                     {"", one + "id: abc\ndata: x\n\n", one, "1", ErrNoPosition},
		"negative":                 {"", one + "id: -2\ndata: x\n\n", one, "1", ErrNoPosition},
		"fraction":                 {"", one + "id: 1.5\ndata: x\n\n", one, "1", ErrNoPosition},
		"too large":                {"", one + "id: 99999999999999999999999\ndata: x\n\n", one, "1", ErrNoPosition},
		"two ids":                  {"", one + "id: 2\nid: 7\ndata: x\n\n", one, "1", ErrNoPosition},
		"no event":                 {"", one + "garbage\x00\n\n" + two, one, "1", ErrNoPosition},
		"repeated":                 {"", one + two + two, one + two, "2", ErrPositionNotRisen},
		"out of order":             {"", one + three + two, one + three, "3", ErrPositionNotRisen},
		"replay is out of order":   {"5", three + two, "", "5", ErrPositionNotRisen},
		"caller's id is no number": {"abc", one + two, one + two, "2", nil},
	} {
		t.Run(name, func(t *testing.T) {
			cu := NewCursor(tc.after)
			delivered, err := follow(t, NewSequence(true), &cu, tc.stream)
			require.ErrorIs(t, err, tc.err)
			require.Equal(t, tc.delivered, delivered)
			require.Equal(t, tc.cursor, cu.ID())
		})
	}
}

func TestStreamThatCannotBeResumedNeedsNoPositions(t *testing.T) {
	const one, two, unnumbered = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "data: x\n\n"
	for name, tc := range map[string]struct {
		stream, delivered string
		err               error
	}{
		"none":              {unnumbered + unnumbered, unnumbered + unnumbered, nil},
		"all":               {one + two, one + two, nil},
		"the first only":    {one + unnumbered, one, ErrNoPosition},
		"all but the first": {unnumbered + one, unnumbered, ErrPositionNotRisen},
	} {
		t.Run(name, func(t *testing.T) {
			var cu Cursor
			delivered, err := follow(t, NewSequence(false), &cu, tc.stream)
			require.ErrorIs(t, err, tc.err)
			require.Equal(t, tc.delivered, delivered)
		})
	}
}

func FuzzSequence(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "1")
	f.Add("id: abc\n\nid: 1\nid: 2\n\n: c\n\n", "")
	f.Fuzz(func(t *testing.T, stream, after string) {
		cu := NewCursor(after)
		sq := NewSequence(true)
		re := NewReader(strings.NewReader(stream))
		for {
			ev, err := re.Next()
			if err != nil {
				return
			}
			isNew, err := sq.Accept(ev, cu)
			if err != nil {
				return
			}
			if !isNew || ev.isComment() {
				continue
			}
			before := cu
			cu.Advance(ev)
			require.True(t, !before.known || cu.last > before.last, "positions rise")
		}
	})
}
