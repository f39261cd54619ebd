package buffer

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// contiguousBytes is the size up to which a body is kept in one piece in bytes, segmentBytes the size of each
	// further segment.
	contiguousBytes = 16 << 10
	segmentBytes    = 64 << 10
	// growthFactor is the factor by which the first segment grows.
	growthFactor = 4
)

// ErrTooLarge is the error of a body that is longer than its limit.
var ErrTooLarge = errors.New("the body is too large")

// Segments is a body in memory whose bytes aren't copied while it grows. A nil pointer is an empty body. It is
// immutable and safe for concurrent use once it was read.
type Segments struct {
	list [][]byte
	size int
	// references is the number of users of the memory, of which the creator is one. The last one calls release.
	references atomic.Int64
	release    func()
}

// SegmentsOf returns a body with the given content.
func SegmentsOf(data []byte) *Segments {
	se := newSegments(nil)
	se.list, se.size = [][]byte{data}, len(data)
	return se
}

func newSegments(release func()) *Segments {
	se := &Segments{release: release}
	se.references.Store(1)
	return se
}

// Len returns the size of the body in bytes.
func (se *Segments) Len() int {
	if se == nil {
		return 0
	}
	return se.size
}

// WriteTo writes the body. It implements io.WriterTo.
func (se *Segments) WriteTo(w io.Writer) (int64, error) {
	if se == nil {
		return 0, nil
	}
	written := int64(0)
	for _, segment := range se.list {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err //nolint:wrapcheck // as returned by the writer
		}
	}
	return written, nil
}

// Bytes returns the body in one piece, which is a copy if it has several segments.
func (se *Segments) Bytes() []byte {
	switch {
	case se == nil || len(se.list) == 0:
		return nil
	case len(se.list) == 1:
		return se.list[0]
	}
	data := make([]byte, 0, se.size)
	for _, segment := range se.list {
		data = append(data, segment...)
	}
	return data
}

// Contiguous returns the body if it is in one piece.
func (se *Segments) Contiguous() (data []byte, ok bool) {
	if se != nil && len(se.list) > 1 {
		return nil, false
	}
	return se.Bytes(), true
}

// Open returns a reader of the body, which uses the memory until it is closed.
func (se *Segments) Open() io.ReadCloser {
	se.references.Add(1)
	return &segmentReader{body: se, rest: se.list}
}

// Release ends the creator's use of the memory.
func (se *Segments) Release() {
	if se != nil && se.references.Add(-1) == 0 && se.release != nil {
		se.release()
	}
}

// segmentReader reads a body once.
type segmentReader struct {
	body   *Segments
	rest   [][]byte
	offset int
	closed atomic.Bool
}

// Read returns the next bytes.
func (sr *segmentReader) Read(buf []byte) (int, error) {
	for len(sr.rest) > 0 && sr.offset == len(sr.rest[0]) {
		sr.rest, sr.offset = sr.rest[1:], 0
	}
	if len(sr.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, sr.rest[0][sr.offset:])
	sr.offset += n
	return n, nil
}

// Close ends the use of the body. It may be called more than once.
func (sr *segmentReader) Close() error {
	if sr.closed.CompareAndSwap(false, true) {
		sr.body.Release()
	}
	return nil
}

// Memory is where the memory of a body is charged.
type Memory interface {
	// Charge charges bytes. Its error ends the body.
	Charge(bytes int) error
	// Release returns bytes that were charged.
	Release(bytes int)
}

// ReadSegments reads a body of at most maxBytes to its end. Memory is charged as bytes arrive, whatever the announced
// length is; that is negative if there is none. After an error nothing is charged.
func ReadSegments(from io.Reader, length, maxBytes int64, me Memory) (*Segments, error) {
	rd := segmentsBuilder{memory: me, length: length}
	rd.body = newSegments(func() { me.Release(rd.charged) })
	if err := rd.read(from, maxBytes); err != nil {
		rd.body.Release()
		return nil, err
	}
	return rd.body, nil
}

// segmentsBuilder is a body that is being read.
type segmentsBuilder struct {
	body    *Segments
	memory  Memory
	length  int64
	charged int
}

func (sb *segmentsBuilder) read(from io.Reader, maxBytes int64) error {
	for {
		end := sb.atEnd(maxBytes)
		free, err := sb.free(maxBytes)
		if err != nil {
			return err
		}
		n, err := from.Read(free)
		if n > 0 && end {
			return ErrTooLarge //nolint:wrapcheck // the package's own error
		}
		if n > 0 {
			last := &sb.body.list[len(sb.body.list)-1]
			*last = (*last)[:len(*last)+n]
			sb.body.size += n
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err //nolint:wrapcheck // as returned by the body
		}
	}
}

// atEnd reports whether the body must not have more bytes.
func (sb *segmentsBuilder) atEnd(maxBytes int64) bool {
	return int64(sb.body.size) == maxBytes || int64(sb.body.size) == sb.length
}

// free returns memory for the next bytes. At the end of the body it is a single byte that shows whether there are more.
func (sb *segmentsBuilder) free(maxBytes int64) ([]byte, error) {
	list := sb.body.list
	size := int64(sb.body.size)
	if sb.atEnd(maxBytes) {
		return make([]byte, 1), nil
	}
	if len(list) > 0 {
		if last := list[len(list)-1]; len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
	}
	left := maxBytes - size
	if sb.length >= 0 {
		left = min(left, sb.length-size)
	}
	if size >= contiguousBytes {
		return sb.add(int(min(segmentBytes, left)))
	}
	return sb.enlarge(int(min(size+left, max(minBytes, growthFactor*size), contiguousBytes)))
}

// add adds a segment.
func (sb *segmentsBuilder) add(size int) ([]byte, error) {
	if err := sb.memory.Charge(size); err != nil {
		return nil, err
	}
	sb.charged += size
	segment := make([]byte, 0, size)
	sb.body.list = append(sb.body.list, segment)
	return segment[:size], nil
}

// enlarge replaces the first segment by a larger one with the same content.
func (sb *segmentsBuilder) enlarge(size int) ([]byte, error) {
	old := sb.body.list
	sb.body.list = nil
	free, err := sb.add(size)
	if err != nil || len(old) == 0 {
		return free, err
	}
	n := copy(free, old[0])
	sb.body.list[0] = free[:n]
	sb.memory.Release(cap(old[0]))
	sb.charged -= cap(old[0])
	return free[n:], nil
}
