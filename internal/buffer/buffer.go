// Package buffer reads bodies into memory and limits what all of them hold together.
package buffer

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// minBytes is the size of the buffer that a body begins with in bytes. Most responses are smaller.
const minBytes = 1 << 10

var limitReached = metrics.NewCounter("linnetrudder_buffer_limit_reached_total")

// Pool is the memory that buffered bodies share. Its exported field is set before its use. It is safe for
// concurrent use. A nil pool has no limit.
type Pool struct {
	// Limit is the maximum memory of all bodies in bytes.
	Limit int64

	used atomic.Int64
}

// Used returns the memory of all bodies that have not been released, in bytes.
func (po *Pool) Used() int64 { return po.used.Load() }

func (po *Pool) reserve(bytes int) bool {
	if po == nil {
		return true
	}
	for {
		used := po.used.Load()
		if used+int64(bytes) > po.Limit {
			limitReached.Inc()
			return false
		}
		if po.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

// Body is the beginning of a body, or all of it. The zero value is empty.
type Body struct {
	pool     *Pool
	data     []byte
	complete bool
	released atomic.Bool
}

// Bytes returns what was read. It is valid until Release.
func (bo *Body) Bytes() []byte { return bo.data }

// Complete reports whether the body was read to its end.
func (bo *Body) Complete() bool { return bo.complete }

// Release returns the memory to the pool. It may be called more than once.
func (bo *Body) Release() {
	if bo.pool != nil && bo.released.CompareAndSwap(false, true) {
		bo.pool.used.Add(-int64(cap(bo.data)))
	}
}

// New returns an empty body, to which Append adds. It must be released.
func (po *Pool) New() *Body { return &Body{pool: po} }

// Append adds a part to a body of at most maxBytes. It adds nothing and returns false if the body would be longer, or
// if the pool has no memory left.
func (bo *Body) Append(part []byte, maxBytes int) bool {
	if len(bo.data)+len(part) > maxBytes {
		return false
	}
	for len(bo.data)+len(part) > cap(bo.data) {
		if !bo.grow(maxBytes) {
			return false
		}
	}
	bo.data = append(bo.data, part...)
	return true
}

// Read reads a body to its end, or until it has maxBytes or the pool has no memory left. In the latter cases the
// body is not complete, and the rest can still be read. The result is never nil and must be released.
func (po *Pool) Read(from io.Reader, maxBytes int) (*Body, error) {
	bo := &Body{pool: po}
	for len(bo.data) < maxBytes {
		if len(bo.data) == cap(bo.data) && !bo.grow(maxBytes) {
			return bo, nil
		}
		n, err := from.Read(bo.data[len(bo.data):cap(bo.data)])
		bo.data = bo.data[:len(bo.data)+n]
		if errors.Is(err, io.EOF) {
			bo.complete = true
			return bo, nil
		}
		if err != nil {
			return bo, err //nolint:wrapcheck // as returned by the body
		}
	}
	return bo, nil
}

// grow doubles the buffer and reports whether the pool allowed that.
func (bo *Body) grow(maxBytes int) bool {
	size := min(max(minBytes, 2*cap(bo.data)), maxBytes)
	if !bo.pool.reserve(size - cap(bo.data)) {
		return false
	}
	data := make([]byte, len(bo.data), size)
	copy(data, bo.data)
	bo.data = data
	return true
}
