package chatbody

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/poison"
)

func TestOtherFieldsAreKept(t *testing.T) {
	bo, err := Parse([]byte(` { "x" : [1, {"model":"inner"}, "a\\\"}"], "model":"m" ,"messages":[{"role":"user"} , "}]" ],
		"priority": 3,"stream":true,"stream_options":{"include_usage":false},"n":-1.5e3,"empty":{},"mod\u0065l":"again"}`))
	require.NoError(t, err)
	require.Equal(t, "again", bo.Model())
	require.True(t, bo.HidesUsage())
	require.JSONEq(t, `{"model":"m@v","x":[1,{"model":"inner"},"a\\\"}"],"messages":[{"role":"user"},"}]"],
		"priority":3,"stream":true,"stream_options":{"include_usage":true},"n":-1500,"empty":{}}`, string(bo.With("m@v", 0)))
	require.JSONEq(t, `{"model":"m@v","x":[1,{"model":"inner"},"a\\\"}"],"messages":[{"role":"user"},"}]"],
		"priority":7,"stream":true,"stream_options":{"include_usage":true},"n":-1500,"empty":{}}`, string(bo.With("m@v", 7)))
}

func TestInvalidBodiesAreRefused(t *testing.T) {
	for body, want := range map[string]string{
		"": "unexpected end", "{": "unexpected end", "null": "model: missing", "[]": "chatForm", `{"model":"m"}`: "must not be empty",
		`{"model":"m","messages":[]}`: "must not be empty", `{"model":"m","messages":null}`: "must not be empty",
		`{"model":"m","messages":"x"}`: "must be a list", `{"model":1}`: "model", `{"model":"m","messages":[{}]} x`: "after top-level value",
	} {
		_, err := Parse([]byte(body))
		require.ErrorContains(t, err, want, body)
	}
}

// Guards against a body whose memory is a multiple of its size.
func TestManyElementsNeedLittleMemory(t *testing.T) {
	const count = 100_000
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, `,"%d":1`, i)
	}
	for name, body := range map[string]string{
		"messages": `{"model":"m","messages":[{}` + strings.Repeat(",{}", count) + `]}`,
		"fields":   `{"model":"m","messages":[{}]` + fields.String() + `}`,
	} {
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				bo, err := Parse([]byte(body))
				if err != nil {
					b.Fatal(err)
				}
				_ = bo.With("m@v", 1)
			}
		})
		t.Logf("%s: %d bytes, %d allocated", name, len(body), result.AllocedBytesPerOp())
		require.Less(t, result.AllocedBytesPerOp(), int64(4*len(body)), name)
	}
}

func TestMessagesBeforeTheLastAreTheParts(t *testing.T) {
	parts := func(messages string) []string {
		bo, err := Parse([]byte(`{"model":"m","messages":[` + messages + `]}`))
		require.NoError(t, err)
		return bo.Parts()
	}
	ids := parts(`{"content":"a"},{"content":"b"},{"content":"own"}`)
	require.Equal(t, []string{poison.PartID([]byte(`{"content":"a"}`)), poison.PartID([]byte(`{"content":"b"}`))}, ids)
	require.Empty(t, parts(`{"content":"own"}`))
}

func TestPartsAreThoseOfAllMessages(t *testing.T) {
	for _, count := range []int{1, 2, 17, 33, 34, 200} {
		var messages, ids []string
		for i := range count {
			message := fmt.Sprintf(`{"content":"%d"}`, i)
			messages = append(messages, message)
			ids = append(ids, poison.PartID([]byte(message)))
		}
		bo, err := Parse([]byte(`{"model":"m","messages":[` + strings.Join(messages, ", ") + `]}`))
		require.NoError(t, err)
		require.Equal(t, poison.SharedParts(ids), bo.Parts(), "%d messages", count)
	}
}

// Guards against bodies that are changed in other fields, and against reads beyond the end.
func FuzzWith(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{}],"a":"\\\""}`))
	f.Add([]byte(` {"messages":[[],{}],"model":"m","stream":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		bo, err := Parse(data)
		if err != nil {
			return
		}
		var before, after map[string]any
		require.NoError(t, json.Unmarshal(data, &before))
		require.NoError(t, json.Unmarshal(bo.With("v", 2), &after))
		require.Equal(t, "v", after["model"])
		require.EqualValues(t, 2, after["priority"])
		for _, name := range []string{"model", "priority", "stream_options"} {
			delete(before, name)
			delete(after, name)
		}
		require.Equal(t, before, after)
	})
}
