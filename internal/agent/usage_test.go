package agent

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const (
	tokenEvent = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	usageEvent = `data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":9}}` + "\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// TestAStreamPassesWholeHoweverItIsCut cuts a stream at any places. The caller
// gets every byte but the usage that it did not ask for.
func TestAStreamPassesWholeHoweverItIsCut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hide := rapid.Bool().Draw(rt, "hide")
		stream := strings.Repeat(tokenEvent, rapid.IntRange(1, 5).Draw(rt, "tokens")) + usageEvent + doneEvent
		me := meter{stream: true, hideUsage: hide}
		var got strings.Builder
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "part")
			got.Write(me.pass([]byte(rest[:n])))
			rest = rest[n:]
		}
		left, us, whole := me.finish()
		got.Write(left)
		want := stream
		if hide {
			want = strings.Replace(stream, usageEvent, "", 1)
		}
		require.Equal(rt, want, got.String())
		require.True(rt, whole)
		require.EqualValues(rt, 7, us.Prompt)
		require.EqualValues(rt, 9, us.Completion)
	})
}

func TestAStreamWithoutItsEndIsNotWhole(t *testing.T) {
	me := meter{stream: true}
	me.pass([]byte(tokenEvent))
	_, _, whole := me.finish()
	require.False(t, whole)
}

func TestAnAnswerWithoutUsageIsBilledByItsBytes(t *testing.T) {
	me := meter{}
	require.Equal(t, "0123456789abcdef", string(me.pass([]byte("0123456789abcdef"))))
	_, us, whole := me.finish()
	require.True(t, whole)
	require.EqualValues(t, 16/bytesPerToken, us.Completion)
}
