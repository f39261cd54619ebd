package sse

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func readAll(r io.Reader) (raws, ids []string, err error) {
	re := NewReader(r)
	for {
		ev, err := re.Next()
		if err != nil {
			return raws, ids, err
		}
		raws = append(raws, string(ev.Raw()))
		ids = append(ids, strings.Join(ev.ids, " "))
	}
}

func TestEventsAreReadUnchanged(t *testing.T) {
	text := "id: 1\ndata: a\n\ndata: none\n\nid:3\r\ndata: " + strings.Repeat("x", 5000) + "\r\n\r\n"
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		raws, ids, err := readAll(r)
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, []string{"1", "", "3"}, ids)
		require.Equal(t, text, strings.Join(raws, ""))
	}
}

func TestStreamEndingWithinAnEvent(t *testing.T) {
	raws, _, err := readAll(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata:"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Len(t, raws, 1)
	_, _, err = readAll(strings.NewReader("id: 1\ndata: a\n"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		raws, _, _ := readAll(strings.NewReader(text))
		require.True(t, strings.HasPrefix(text, strings.Join(raws, "")))
	})
}
