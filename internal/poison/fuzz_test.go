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
				bs.Add(bl, bl.Left(t0), true, t0)
				require.LessOrEqual(t, bs.Left(bl.Print, t0), Term)
			}
		}
		own := NewBlock(named("own"), Term, t0)
		merged, err := MergeBlocks(value, []Block{own}, none, t0)
		require.NoError(t, err)
		list, err = DecodeBlocks(merged)
		require.NoError(t, err)
		require.Contains(t, list, own)
	})
}

// Suspicions that another process sends, whatever is in them, keep the bounds.
func FuzzSuspicions(f *testing.F) {
	whole, err := cbor.Marshal([]Suspicion{{Print: named("a"), Server: "s", Ago: time.Second, Lasted: time.Minute}})
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []Suspicion
		if cbor.Unmarshal(data, &list) != nil {
			return
		}
		ca := Cases{Ends: FewestEnds}
		for _, su := range list {
			term := ca.Accuse(su, t0)
			require.Contains(t, []time.Duration{0, FirstTerm, Term}, term)
			if term > 0 {
				require.GreaterOrEqual(t, ca.Servers(su.Print), FewestEnds)
			}
		}
		ca.Expire(t0.Add(caseKept))
		require.Empty(t, ca.cases)
	})
}
