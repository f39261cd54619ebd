package boxes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one odd element that makes a process lose sight of all boxes.
func TestOddBoxCostsNoOther(t *testing.T) {
	const sound = `{"box":"b-1","role":"agent","data_centre":"dc","address":"1.2.3.4:5","admin":"1.2.3.4:6","state":"live"}`
	for name, odd := range map[string]string{
		"a number": "7", "null": "null", "a list": "[]", "text": `"b"`, "no address": `{"box":"b-2"}`, "a name of another type": `{"box":7,"address":"1.2.3.4:5"}`,
		"a role of another type": `{"box":"b-2","role":{},"address":"1.2.3.4:5"}`, "port 0": `{"box":"b-2","address":"1.2.3.4:0"}`,
		"port out of range": `{"box":"b-2","address":"1.2.3.4:65536"}`, "a large number": `{"box":1e999,"address":"1.2.3.4:5"}`,
		"no name": `{"address":"1.2.3.4:5"}`, "nested": `{"box":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	} {
		list, err := Decode([]byte("[" + sound + "," + odd + "," + strings.Replace(sound, "b-1", "b-3", 1) + "]"))
		require.NoError(t, err, name)
		require.Len(t, list, 2, name)
		require.Equal(t, "b-1", list[0].Name)
		require.Equal(t, "b-3", list[1].Name)
	}
}

func TestWhatIsNoListIsAFailedRead(t *testing.T) {
	_, err := Decode([]byte(`[{"box":`))
	require.Error(t, err)
}
