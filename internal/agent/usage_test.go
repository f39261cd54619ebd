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

// A stream may be split into chunks at any position. The caller gets every byte except for usage that
// it did not request.
func TestStreamIsForwardedCompletelyForAnyChunking(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hide := rapid.Bool().Draw(rt, "hide")
		stream := strings.Repeat(tokenEvent, rapid.IntRange(1, 5).Draw(rt, "tokens")) + usageEvent + doneEvent
		me := meter{streamed: true, hideUsage: hide}
		var got strings.Builder
		for input := stream; input != ""; {
			n := rapid.IntRange(1, len(input)).Draw(rt, "chunk")
			out, ok := me.process([]byte(input[:n]))
			require.True(rt, ok)
			got.Write(out)
			input = input[n:]
		}
		remaining, us, complete := me.finish()
		got.Write(remaining)
		want := stream
		if hide {
			want = strings.Replace(stream, usageEvent, "", 1)
		}
		require.Equal(rt, want, got.String())
		require.True(rt, complete)
		require.EqualValues(rt, 7, us.Prompt)
		require.EqualValues(rt, 9, us.Completion)
	})
}

func TestStreamWithoutDoneEventIsIncomplete(t *testing.T) {
	me := meter{streamed: true}
	_, ok := me.process([]byte(tokenEvent))
	require.True(t, ok)
	_, _, complete := me.finish()
	require.False(t, complete)
}

func TestResponseWithoutUsageIsBilledByItsLength(t *testing.T) {
	me := meter{}
	out, ok := me.process([]byte("0123456789abcdef"))
	require.True(t, ok)
	require.Equal(t, "0123456789abcdef", string(out))
	_, us, complete := me.finish()
	require.True(t, complete)
	require.EqualValues(t, 16/bytesPerToken, us.Completion)
}
