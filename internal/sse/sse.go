// Package sse splits a stream of server-sent events into whole events, so that
// a stream that breaks inside an event can be continued after the last whole
// one.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// maxEventBytes bounds one event in bytes; a longer one is an error.
const maxEventBytes = 1 << 20

// bufferBytes is the first size of the read buffer; events are far smaller.
const bufferBytes = 2048

// Event is one whole event.
type Event struct {
	raw []byte
	id  string
}

// Raw returns the bytes of the event, its final blank line included. They are
// valid until the next event is read.
func (ev Event) Raw() []byte { return ev.raw }

// ID returns the event's id, "" if it has none.
func (ev Event) ID() string { return ev.id }

// Number returns the event's id as a number.
func (ev Event) Number() (int64, bool) { return Number(ev.id) }

// Number returns an event's id as a number, or false if it is none.
func Number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// Reader reads events.
type Reader struct{ br *bufio.Reader }

// NewReader returns a reader of a stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next whole event. At the end of the stream it returns
// io.EOF, and io.ErrUnexpectedEOF if the stream ended inside an event.
func (re *Reader) Next() (Event, error) {
	var ev Event
	for {
		line, err := re.br.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case err == bufio.ErrBufferFull: //nolint:errorlint // ReadSlice returns it as it is
			if len(ev.raw) > maxEventBytes {
				return Event{}, bufio.ErrTooLong
			}
			continue
		case err == io.EOF && len(ev.raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err //nolint:wrapcheck // the reader's own error is what the caller decides by
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsWithEmptyLine(ev.raw) {
			ev.id = findID(ev.raw)
			return ev, nil
		}
		if len(ev.raw) > maxEventBytes {
			return Event{}, bufio.ErrTooLong
		}
	}
}

// endsWithEmptyLine reports whether what ends the event is an empty line, and not the
// end of a line longer than the buffer.
func endsWithEmptyLine(raw []byte) bool {
	rest := bytes.TrimSuffix(bytes.TrimSuffix(raw, []byte("\n")), []byte("\r"))
	return len(rest) == 0 || rest[len(rest)-1] == '\n'
}

var idField = []byte("id:")

func findID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
