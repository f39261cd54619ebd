package revision

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestLaterEraIsAfterAllRevisionsOfAnEarlierOne(t *testing.T) {
	require.True(t, Revision{Era: 2, Number: 75}.After(Revision{Era: 1, Number: 77}))
	require.False(t, Revision{Era: 1, Number: 77}.After(Revision{Era: 2, Number: 75}))
	require.True(t, Revision{Era: 1, Number: 77}.After(Revision{Era: 1, Number: 76}))
	require.False(t, Revision{Era: 1, Number: 77}.After(Revision{Era: 1, Number: 77}))
	require.True(t, Revision{}.IsZero())
	require.Equal(t, "2/75", Revision{Era: 2, Number: 75}.String())
}

func TestRevisionIsEncodedWithItsEra(t *testing.T) {
	data, err := cbor.Marshal(Revision{Era: 3, Number: 9})
	require.NoError(t, err)
	var re Revision
	require.NoError(t, cbor.Unmarshal(data, &re))
	require.Equal(t, Revision{Era: 3, Number: 9}, re)
}

func TestDelayedAnswersFromAnOlderEraAreRejected(t *testing.T) {
	var gu Guard
	now := time.Unix(1000, 0)
	require.True(t, gu.Accept(0, now), "a service without eras")
	require.True(t, gu.Accept(4, now))
	require.True(t, gu.Accept(9, now), "a gap between eras")
	require.False(t, gu.Accept(4, now))
	require.True(t, gu.Accept(9, now.Add(eraFallbackDelay)))
	require.False(t, gu.Accept(4, now.Add(eraFallbackDelay)), "after a response from the current era")
	require.False(t, gu.Accept(4, now.Add(2*eraFallbackDelay-1)))
	require.True(t, gu.Accept(4, now.Add(2*eraFallbackDelay)), "only responses from an older era since")
	require.Equal(t, uint64(4), gu.Era())
}
