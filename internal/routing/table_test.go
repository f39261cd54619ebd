package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

func document() Document {
	one := []Share{{Service: "a", Weight: 1}}
	return Document{
		Version: 3,
		Routes: []Route{
			{Name: "root", Host: "h", Prefix: "/", Kind: Safe, Split: one},
			{Name: "short", Host: "h", Prefix: "/x/", Kind: Unsafe, Split: one},
			{Name: "long", Host: "h", Prefix: "/x/y/", Kind: Streaming, Split: []Share{{"a", 90}, {"b", 10}}},
			{Name: "other", Host: "g", Prefix: "/x/", Kind: Safe, Split: one},
		},
		Teams: []Team{{Name: "t", Keys: []string{"k1", "k2"}}},
	}
}

func TestRouteWithLongestPrefixMatches(t *testing.T) {
	ta, err := Compile(document())
	require.NoError(t, err)
	for path, name := range map[string]string{"/x/y/z": "long", "/x/z": "short", "/q": "root", "/x": "root"} {
		require.Equal(t, name, ta.Route("h", path).Name, path)
	}
	require.Nil(t, ta.Route("g", "/y/"))
	require.Nil(t, ta.Route("unknown", "/x/"))
}

func TestTeamByKey(t *testing.T) {
	ta, err := Compile(document())
	require.NoError(t, err)
	require.Equal(t, "t", ta.TeamByKey("k2").Name)
	require.Nil(t, ta.TeamByKey(""))
	require.True(t, ta.RequiresKeys())
}

func TestSplitFollowsWeights(t *testing.T) {
	ta, err := Compile(document())
	require.NoError(t, err)
	ro := ta.Route("h", "/x/y/")
	require.Equal(t, "a", ro.PickService(0))
	require.Equal(t, "a", ro.PickService(0.89))
	require.Equal(t, "b", ro.PickService(0.91))
	require.Equal(t, "b", ro.PickService(0.999999))
}

func TestInvalidRouteIsNamedInTheError(t *testing.T) {
	for name, change := range map[string]func(ro *Route){
		"prefix": func(ro *Route) { ro.Prefix = "/x" },
		"kind":   func(ro *Route) { ro.Kind = "other" },
		"split":  func(ro *Route) { ro.Split = nil },
		"weight": func(ro *Route) { ro.Split = []Share{{"a", 0}} },
	} {
		doc := document()
		change(&doc.Routes[1])
		_, err := Compile(doc)
		var er *result.Error
		require.ErrorAs(t, err, &er, name)
		require.Equal(t, result.BadConfiguration, er.Code())
		require.Contains(t, err.Error(), "short")
	}
}
