package poison

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Any value in the key-value service is decoded or rejected with an error, and the document that
// results from a merge with it can be decoded.
func FuzzBlocks(f *testing.F) {
	f.Add([]byte(`[{"print":"00112233445566778899aabbccddeeff","until_ms":1000}]`))
	f.Add([]byte(`[{"print":"","until_ms":-1}]`))
	f.Add([]byte(`{}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, value []byte) {
		list, err := DecodeBlocks(value)
		if err == nil {
			var bs Blocks
			for _, bl := range list {
				bs.Add(bl, bl.Remaining(t0), true, t0)
				require.LessOrEqual(t, bs.Remaining(bl.Fingerprint, t0), RepeatBlockDuration)
			}
		}
		own := NewBlock(fingerprint("own"), RepeatBlockDuration, t0)
		merged, err := MergeBlocks(value, []Block{own}, noneLifted, t0)
		require.NoError(t, err)
		list, err = DecodeBlocks(merged)
		require.NoError(t, err)
		require.Contains(t, list, own)
	})
}

// Suspicions with any content from another process give valid block durations, only after
// MinCrashes servers, and are all dropped once they expire.
func FuzzSuspicions(f *testing.F) {
	valid, err := cbor.Marshal([]Suspicion{{Fingerprint: fingerprint("a"), Server: "s", SinceCrash: time.Second, RequestAge: time.Minute}})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []Suspicion
		if cbor.Unmarshal(data, &list) != nil {
			return
		}
		de := Detector{MinCrashes: MinCrashes}
		for _, su := range list {
			duration := de.Record(su, t0)
			require.Contains(t, []time.Duration{0, FirstBlockDuration, RepeatBlockDuration}, duration)
			if duration > 0 {
				require.GreaterOrEqual(t, de.CrashedServers(su.Fingerprint), MinCrashes)
			}
		}
		de.Expire(t0.Add(suspectRetention))
		require.Empty(t, de.suspects)
	})
}
