package poison

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// What another process wrote to the key-value service is read or refused, and what is merged
// into it can be read again.
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
		own := NewBlock(named("own"), RepeatBlockDuration, t0)
		merged, err := MergeBlocks(value, []Block{own}, none, t0)
		require.NoError(t, err)
		list, err = DecodeBlocks(merged)
		require.NoError(t, err)
		require.Contains(t, list, own)
	})
}

// Suspicions that another process sends, whatever is in them, keep the bounds.
func FuzzSuspicions(f *testing.F) {
	whole, err := cbor.Marshal([]Suspicion{{Fingerprint: named("a"), Server: "s", SinceCrash: time.Second, RequestAge: time.Minute}})
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []Suspicion
		if cbor.Unmarshal(data, &list) != nil {
			return
		}
		ca := Detector{MinCrashes: MinCrashes}
		for _, su := range list {
			term := ca.Record(su, t0)
			require.Contains(t, []time.Duration{0, FirstBlockDuration, RepeatBlockDuration}, term)
			if term > 0 {
				require.GreaterOrEqual(t, ca.CrashedServers(su.Fingerprint), MinCrashes)
			}
		}
		ca.Expire(t0.Add(caseKept))
		require.Empty(t, ca.cases)
	})
}
