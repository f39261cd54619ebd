package timeline

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

func TestWriteSVGDrawsEachEventInItsLane(t *testing.T) {
	entries := []Entry{
		{Box: "entry", DataCentre: "a", Event: event.RequestRouted, Name: "request_routed", Request: "r"},
		{Box: "agent", DataCentre: "a", Event: event.AttemptAdmitted, Name: "attempt_admitted", Request: "r", Detail: `<&"`},
		{Box: "entry", DataCentre: "a", Event: event.ConfigInForce, Name: "config_in_force"},
	}
	var out bytes.Buffer
	require.NoError(t, WriteSVG(&out, entries))
	dec := xml.NewDecoder(bytes.NewReader(out.Bytes()))
	circles := 0
	for {
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err, "the SVG is well-formed")
		if el, ok := tok.(xml.StartElement); ok && el.Name.Local == "circle" {
			circles++
		}
	}
	require.Equal(t, len(entries), circles)
	require.Equal(t, 1, strings.Count(out.String(), `stroke="#aaaaaa"`), "one line connects the two events of the request")
	require.Equal(t, 1, strings.Count(out.String(), ">a agent<"))
	require.Equal(t, 1, strings.Count(out.String(), ">a entry<"))
}
