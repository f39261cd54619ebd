package jsonlist

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMalformedElementsAreSkipped(t *testing.T) {
	var got []int
	malformed, err := Decode([]byte(`[1, "2", 3, {"a":1e999}, null, `+strings.Repeat("[", 900)+strings.Repeat("]", 900)+`, 5]`), func(raw json.RawMessage) error {
		var n int
		err := json.Unmarshal(raw, &n)
		if err == nil {
			got = append(got, n)
		}
		return err
	})
	require.NoError(t, err)
	require.Equal(t, 3, malformed)
	require.Equal(t, []int{1, 3, 0, 5}, got)
}

func TestWhatIsNoListIsRefused(t *testing.T) {
	for _, data := range []string{"", "{}", "7", "[1", "[1]]"} {
		_, err := Decode([]byte(data), func(json.RawMessage) error { return nil })
		require.Error(t, err, data)
	}
}
