package buffer

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// countedMemory is memory with a limit.
type countedMemory struct{ used, limit, peak int }

var errNoMemory = errors.New("no memory")

func (cm *countedMemory) Charge(n int) error {
	if cm.used+n > cm.limit {
		return errNoMemory
	}
	cm.used += n
	cm.peak = max(cm.peak, cm.used)
	return nil
}

func (cm *countedMemory) Release(n int) { cm.used -= n }

func TestSegmentsHoldWhatWasRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(0, 300_000).Draw(rt, "size")
		data := bytes.Repeat([]byte("0123456789abc"), size/13+1)[:size]
		length := int64(-1)
		if rapid.Bool().Draw(rt, "with length") {
			length = int64(size)
		}
		limit := int64(size + rapid.IntRange(0, 2).Draw(rt, "room"))
		var from io.Reader = bytes.NewReader(data)
		if rapid.Bool().Draw(rt, "in halves") {
			from = iotest.HalfReader(from)
		}
		me := &countedMemory{limit: 1 << 20}
		body, err := ReadSegments(from, length, limit, me)
		require.NoError(rt, err)
		require.Equal(rt, size, body.Len())
		require.LessOrEqual(rt, me.used, size+segmentBytes)
		require.LessOrEqual(rt, me.peak, size+segmentBytes+contiguousBytes)
		rd := body.Open()
		read, err := io.ReadAll(rd)
		require.NoError(rt, err)
		require.True(rt, bytes.Equal(data, read))
		var written bytes.Buffer
		_, err = body.WriteTo(&written)
		require.NoError(rt, err)
		require.True(rt, bytes.Equal(data, written.Bytes()))
		require.True(rt, bytes.Equal(data, body.Bytes()))
		body.Release()
		require.True(rt, size == 0 || me.used > 0, "the reader still uses it")
		require.NoError(rt, rd.Close())
		require.NoError(rt, rd.Close())
		require.Zero(rt, me.used)
	})
}

func TestSegmentsAreChargedAsTheyArrive(t *testing.T) {
	pr, pw := io.Pipe()
	me := &countedMemory{limit: 1 << 30}
	go func() {
		_, _ = pw.Write(make([]byte, 100))
		_ = pw.CloseWithError(io.ErrUnexpectedEOF)
	}()
	_, err := ReadSegments(pr, 100<<20, 100<<20, me)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.LessOrEqual(t, me.peak, minBytes)
	require.Zero(t, me.used)
}

func TestSegmentsBeyondLimits(t *testing.T) {
	me := &countedMemory{limit: 100 << 10}
	_, err := ReadSegments(bytes.NewReader(make([]byte, 50_001)), -1, 50_000, me)
	require.ErrorIs(t, err, ErrTooLarge)
	require.Zero(t, me.used)
	_, err = ReadSegments(bytes.NewReader(make([]byte, 200<<10)), -1, 1<<20, me)
	require.ErrorIs(t, err, errNoMemory)
	require.Zero(t, me.used)
}

func TestNilSegmentsAreEmpty(t *testing.T) {
	var body *Segments
	require.Zero(t, body.Len())
	require.Empty(t, body.Bytes())
	n, err := body.WriteTo(io.Discard)
	require.NoError(t, err)
	require.Zero(t, n)
	data, ok := body.Contiguous()
	require.True(t, ok)
	require.Empty(t, data)
	body.Release()
}
