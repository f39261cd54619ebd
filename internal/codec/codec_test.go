package codec

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a message that can't be read because of one text that a caller or a backend server chose.
func TestTextWithAnyBytesIsDecoded(t *testing.T) {
	for _, text := range []string{"", "text", "\xff\xfe", "a\x80b", "\xed\xa0\x80", "\x00", "\xf4\x90\x80\x80"} {
		data, err := Marshal(map[string][]string{text: {text, "sound"}})
		require.NoError(t, err)
		var got map[string][]string
		require.NoError(t, Unmarshal(data, &got))
		require.Equal(t, map[string][]string{text: {text, "sound"}}, got)
	}
}

func TestMalformedDataIsRefused(t *testing.T) {
	for _, data := range [][]byte{nil, {0xff}, {0x9f}, {0x61}, {0x80, 0x80}} {
		var got []string
		require.Error(t, Unmarshal(data, &got))
	}
}
