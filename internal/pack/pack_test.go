package pack

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLargeDataIsPackedAndUnpacked(t *testing.T) {
	data, err := cbor.Marshal(bytes.Repeat([]byte("/route/"), 10_000))
	require.NoError(t, err)
	data = append([]byte{0x81}, data...)
	packed, err := Pack(data)
	require.NoError(t, err)
	require.Less(t, len(packed), len(data)/20)
	unpacked, err := Unpack(packed)
	require.NoError(t, err)
	require.Equal(t, data, unpacked)
}

func TestPackedArraysAreUnpacked(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		data, err := cbor.Marshal(rapid.SliceOfN(rapid.String(), 0, 2000).Draw(rt, "array"))
		require.NoError(rt, err)
		packed, err := Pack(data)
		require.NoError(rt, err)
		unpacked, err := Unpack(packed)
		require.NoError(rt, err)
		require.Equal(rt, data, unpacked)
	})
}

func TestDataOfEarlierVersionsIsReturnedAsItIs(t *testing.T) {
	for _, data := range [][]byte{nil, {0x80}, bytes.Repeat([]byte{0x81}, 5000)} {
		unpacked, err := Unpack(data)
		require.NoError(t, err)
		require.Equal(t, data, unpacked)
	}
}

func TestMalformedDataIsRefused(t *testing.T) {
	_, err := Unpack([]byte{marker, 0xff, 0xff})
	require.Error(t, err)
	packed, err := Pack(bytes.Repeat([]byte{0x81}, 5000))
	require.NoError(t, err)
	_, err = Unpack(packed[:len(packed)/2])
	require.Error(t, err)
}

func TestUnpackedSizeIsBounded(t *testing.T) {
	var buf bytes.Buffer
	buf.WriteByte(marker)
	wr, err := flate.NewWriter(&buf, flate.BestSpeed)
	require.NoError(t, err)
	part := make([]byte, 1<<20)
	for range maxBytes>>20 + 1 {
		_, err = wr.Write(part)
		require.NoError(t, err)
	}
	require.NoError(t, wr.Close())
	_, err = Unpack(buf.Bytes())
	require.ErrorIs(t, err, ErrTooLarge)
}
