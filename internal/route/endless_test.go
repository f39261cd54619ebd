package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// sendFirstAnswer passes data frames of a first answer on until the attempt ends, and returns how many bytes were taken.
func sendFirstAnswer(rec *recorder, re *Request, maxBytes int) int {
	rec.add(re.Begin(start))
	rec.add(re.Frame(1, head(), start))
	taken := 0
	for seq := uint32(2); taken < maxBytes && re.activeAttempt(1) != nil; seq++ {
		chunk := make([]byte, 16<<10)
		rec.add(re.Frame(1, &wire.Frame{Kind: wire.Data, Seq: seq, Body: chunk}, start))
		taken += len(chunk)
	}
	return taken
}

// Guards against an entry that keeps all of a first answer without end until it runs out of memory.
func TestFirstAnswerWithoutEndIsBroken(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		var rec recorder
		re := newRequest(repeatable, "small", "large")
		re.Memory = &buffer.Pool{Limit: 64 << 20}
		taken := sendFirstAnswer(&rec, re, 64<<20)
		require.LessOrEqual(t, taken, 2*maxFirstAnswerBytes)
		require.Nil(t, re.activeAttempt(1))
		require.Zero(t, re.Memory.Used())
		if repeatable {
			require.Len(t, rec.sent, 2, "sent to another server")
			continue
		}
		require.Equal(t, []result.Code{result.AnswerBroken}, rec.codes, "it may have run")
	}
}

// Guards against first answers that are kept without a common limit.
func TestFirstAnswersShareTheirMemory(t *testing.T) {
	po := &buffer.Pool{Limit: 256 << 10}
	var list []*Request
	for range 20 {
		var rec recorder
		re := newRequest(false, "small", "large")
		re.Memory = po
		sendFirstAnswer(&rec, re, maxFirstAnswerBytes/2)
		require.LessOrEqual(t, po.Used(), po.Limit)
		list = append(list, re)
	}
	for _, re := range list {
		re.Release()
		re.Release()
	}
	require.Zero(t, po.Used())
}
