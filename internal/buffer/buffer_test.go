package buffer

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBodiesAreReadWholeOrInPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 10000).Draw(t, "text")
		maxBytes := rapid.IntRange(1, 12000).Draw(t, "max")
		po := &Pool{Limit: rapid.Int64Range(0, 20000).Draw(t, "limit")}
		from := io.Reader(bytes.NewReader(text))
		if rapid.Bool().Draw(t, "slow") {
			from = iotest.OneByteReader(from)
		}
		bo, err := po.Read(from, maxBytes)
		require.NoError(t, err)
		require.LessOrEqual(t, po.Used(), po.Limit)
		require.LessOrEqual(t, len(bo.Bytes()), maxBytes)
		rest, err := io.ReadAll(from)
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, append(bytes.Clone(bo.Bytes()), rest...)), "nothing is lost")
		if bo.Complete() {
			require.Empty(t, rest)
		}
		if len(text) < maxBytes && po.Limit >= 2*int64(max(len(text)+1, minBytes)) {
			require.True(t, bo.Complete())
		}
		bo.Release()
		bo.Release()
		require.Zero(t, po.Used())
	})
}

func TestBodiesShareTheLimit(t *testing.T) {
	po := &Pool{Limit: 64 << 10}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			bo, err := po.Read(bytes.NewReader(make([]byte, 20<<10)), 1<<20)
			if err != nil || po.Used() > po.Limit {
				t.Error("limit exceeded", err, po.Used())
			}
			bo.Release()
		})
	}
	wg.Wait()
	require.Zero(t, po.Used())
}

func TestErrorOfABodyIsReturned(t *testing.T) {
	po := &Pool{Limit: 64 << 10}
	failure := errors.New("reset")
	bo, err := po.Read(io.MultiReader(bytes.NewReader([]byte("part")), iotest.ErrReader(failure)), 1<<20)
	require.ErrorIs(t, err, failure)
	require.Equal(t, "part", string(bo.Bytes()))
	require.False(t, bo.Complete())
	bo.Release()
	require.Zero(t, po.Used())
}
