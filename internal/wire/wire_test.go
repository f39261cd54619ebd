package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

func sampleFrames() []*Frame {
	return []*Frame{
		{Kind: Heartbeat, Revision: 7, Load: &Load{Running: 3, Slots: 8, Versions: []Outcome{{Version: "m@v1", Started: 9, Failed: 1}}}},
		{Kind: Open, Stream: 1, Open: &Attempt{Request: "dc.1", Number: 1, Team: "t", Version: "m@v1", WaitMS: 5, Method: "POST", Path: "/", Body: []byte("{}")}},
		{Kind: Admission, Stream: 1, Code: result.Overloaded, RetryAfterMS: 100},
		{Kind: Head, Stream: 1, Seq: 1, Head: &ResponseHead{Status: 200, Type: "text/event-stream"}},
		{Kind: Data, Stream: 1, Seq: 2, Body: []byte("data: x\n\n")},
		{Kind: End, Stream: 1, Seq: 3, Code: result.OK, Usage: &Usage{Prompt: 1, Completion: 2}, Bills: []BillLine{{Request: "dc.1"}}},
		{Kind: Cancel, Stream: 1},
		{Kind: Offer, Revision: 8, Nonce: 3},
		{Kind: Config, Config: &ConfigUpdate{Revision: 8, Base: 7, Document: []byte("[]"), Digest: 1}},
		{Kind: CrashSuspects, Suspicions: []poison.Suspicion{{Fingerprint: poison.Fingerprint{1, 2}, Server: "s@1", SinceCrash: 1}}},
		{Kind: Claim, Claims: []ClaimLine{{Key: "k", Value: "v", Durable: true}}},
	}
}

func encode(t require.TestingT, frames ...*Frame) []byte {
	var buf bytes.Buffer
	for _, fr := range frames {
		require.NoError(t, Append(&buf, fr))
	}
	return buf.Bytes()
}

func TestDecodeReturnsFramesInOrder(t *testing.T) {
	want := sampleFrames()
	got, err := Decode(encode(t, want...))
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func TestFrameWithoutRequiredFieldIsRejected(t *testing.T) {
	for _, fr := range []*Frame{
		{Kind: Open, Stream: 1},
		{Kind: Open, Open: &Attempt{}},
		{Kind: Head, Stream: 1, Seq: 1},
		{Kind: Data, Stream: 1},
		{Kind: End, Seq: 1},
		{Kind: Admission},
		{Kind: Cancel},
		{Kind: Config},
		{Kind: "other"},
		{},
	} {
		_, err := Decode(encode(t, fr))
		require.ErrorIs(t, err, ErrMalformedFrame, "%+v", fr)
	}
}

func TestFramesBeforeAMalformedOneAreReturned(t *testing.T) {
	msg := append(encode(t, sampleFrames()[0]), 0xff, 0x01)
	got, err := Decode(msg)
	require.ErrorIs(t, err, ErrMalformedFrame)
	require.Len(t, got, 1)
}

func FuzzDecode(f *testing.F) {
	for _, fr := range sampleFrames() {
		f.Add(encode(f, fr))
	}
	f.Add(encode(f, sampleFrames()...))
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, msg []byte) {
		frames, err := Decode(msg)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformedFrame)
		}
		again, err := Decode(encode(t, frames...))
		require.NoError(t, err)
		require.Len(t, again, len(frames))
	})
}

func BenchmarkToken(b *testing.B) {
	fr := &Frame{Kind: Data, Stream: 123456, Seq: 77, Body: bytes.Repeat([]byte("x"), 180)}
	var buf bytes.Buffer
	b.ReportAllocs()
	for b.Loop() {
		buf.Reset()
		if err := Append(&buf, fr); err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(buf.Bytes()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(buf.Len()-len(fr.Body)), "overhead-B")
}
