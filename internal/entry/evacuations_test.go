package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

func TestEvacuateAndRestoreDataCentre(t *testing.T) {
	doc := &config.Document{Servers: []config.Server{{Name: "a", DataCentre: "north"}, {Name: "b", DataCentre: "south"}}}
	doc, err := evacuate(doc, "north")
	require.NoError(t, err)
	doc, err = evacuate(doc, "north")
	require.NoError(t, err, "evacuating twice is allowed")
	doc, err = evacuate(doc, "south")
	require.NoError(t, err)
	require.Len(t, doc.Evacuations, 2)
	require.True(t, doc.Evacuated("north"))
	doc, err = restore(doc, "north")
	require.NoError(t, err)
	require.False(t, doc.Evacuated("north"))
	require.True(t, doc.Evacuated("south"))

	for _, change := range []func() (*config.Document, error){
		func() (*config.Document, error) { return evacuate(doc, "nowhere") },
		func() (*config.Document, error) { return restore(doc, "north") },
	} {
		_, err := change()
		require.Equal(t, result.BadReference, asResult(err).Code())
	}
	_, err = evacuate(nil, "north")
	require.Equal(t, result.NoConfiguration, asResult(err).Code())
}
