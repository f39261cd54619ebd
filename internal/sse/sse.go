// Package sse splits a stream of server-sent events into complete events, so that a stream that
// breaks off within an event can be resumed after the last complete one.
package sse

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes is the maximum size of an event in bytes. A larger event is an error.
const maxEventBytes = 64 << 10

// readBufferBytes is the size of the read buffer. Most events are far smaller.
const readBufferBytes = 2048

// Event is a complete event.
type Event struct {
	raw []byte
	// ids holds the values of all id fields. A well-formed event has one at most.
	ids []string
}

// Raw returns the bytes of the event, including the terminating blank line. They are valid until
// the next event is read.
func (ev Event) Raw() []byte { return ev.raw }

// Reader reads events from a stream.
type Reader struct{ br *bufio.Reader }

// NewReader returns a Reader for a stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next complete event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ended within an event.
func (re *Reader) Next() (Event, error) {
	var ev Event
	for {
		line, err := re.br.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case err == bufio.ErrBufferFull: //nolint:errorlint // ReadSlice returns this error unwrapped
			if len(ev.raw) > maxEventBytes {
				return Event{}, bufio.ErrTooLong
			}
			continue
		case err == io.EOF && len(ev.raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err //nolint:wrapcheck // callers compare the reader's error
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsWithEmptyLine(ev.raw) {
			ev.ids = findIDs(ev.raw)
			return ev, nil
		}
		if len(ev.raw) > maxEventBytes {
			return Event{}, bufio.ErrTooLong
		}
	}
}

// endsWithEmptyLine reports whether an event ends with an empty line, and not with the last bytes
// of a line that is longer than the buffer.
func endsWithEmptyLine(raw []byte) bool {
	rest := bytes.TrimSuffix(bytes.TrimSuffix(raw, []byte("\n")), []byte("\r"))
	return len(rest) == 0 || rest[len(rest)-1] == '\n'
}

var idField = []byte("id:")

// findIDs returns the values of all id fields.
func findIDs(raw []byte) []string {
	var ids []string
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			ids = append(ids, string(bytes.TrimSpace(value)))
		}
	}
	return ids
}
