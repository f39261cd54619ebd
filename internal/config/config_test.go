package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/seeded"
	"github.com/linnetrudder/linnetrudder/internal/selector"
)

func TestMain(m *testing.M) { seeded.Main(m) }

func exampleDocument(t require.TestingT) *Document {
	data, err := os.ReadFile("../../examples/fleet.jsonc")
	require.NoError(t, err)
	doc, err := Decode(data)
	require.NoError(t, err)
	return doc
}

func TestDecodeErrorNamesField(t *testing.T) {
	for _, tc := range []struct {
		name, data string
		code       result.Code
		field      string
	}{
		{"not json", `{"models": [}`, result.BadConfiguration, "hujson"},
		{"unknown field", `{"modells": []}`, result.UnknownField, "modells"},
		{"unknown selector field", `{"grants": [{"teams": {"equals": {}}}]}`, result.UnknownField, "equals"},
		{"missing name", `{"models": [{"name": ""}]}`, result.BadConfiguration, "models[0].name"},
		{"bad state", `{"models": [{"name": "m"}], "versions": [{"model": "m", "name": "v", "state": "on"}]}`, result.BadConfiguration, "versions[0].state"},
		{"bad share", `{"models": [{"name": "m"}], "versions": [{"model": "m", "name": "v", "state": "serving", "share": 2}]}`, result.BadConfiguration, "versions[0].share"},
		{"no such model", `{"versions": [{"model": "m", "name": "v", "state": "serving"}]}`, result.BadReference, `versions[0].model: "m"`},
		{"no such version", `{"servers": [{"name": "s", "data_centre": "d", "slots": 1, "versions": ["m@v"]}]}`, result.BadReference, `servers[0].versions: "m@v"`},
		{"no such service", `{"servers": [{"name": "s", "data_centre": "d", "slots": 1, "services": ["x"]}]}`, result.BadReference, `servers[0].services: "x"`},
		{"no slots", `{"servers": [{"name": "s", "data_centre": "d", "slots": 0}]}`, result.BadConfiguration, "servers[0].slots"},
		{"duplicate name", `{"models": [{"name": "m"}, {"name": "m"}]}`, result.BadConfiguration, "m stands twice"},
		{"bad digest", `{"teams": [{"name": "t", "key_digests": ["abc"]}]}`, result.BadConfiguration, "teams[0].key_digests[0]"},
		{"empty value list", `{"grants": [{"teams": {"in": {"a": []}}}]}`, result.BadConfiguration, "grants[0].teams.in.a"},
		{"too large", fmt.Sprintf("%*s", MaxBytes+1, ""), result.ConfigTooLarge, "bytes"},
		{"decreasing steps", `{"models": [{"name": "m"}], "versions": [{"model": "m", "name": "v", "state": "serving"}],
			"rollouts": [{"model": "m", "to": "v", "steps": [0.5, 0.1], "hold_seconds": 1, "max_failure_rate": 0.1}]}`, result.BadConfiguration, "rollouts[0].steps[1]"},
	} {
		_, err := Decode([]byte(tc.data))
		var er *result.Error
		require.True(t, errors.As(err, &er), tc.name)
		require.Equal(t, tc.code, er.Code(), "%s: %v", tc.name, err)
		require.Contains(t, err.Error(), tc.field, tc.name)
	}
}

func TestGrants(t *testing.T) {
	sn := Compile(1, exampleDocument(t))
	kitchen := sn.TeamByKey("kitchen-key")
	require.Equal(t, "kitchen-a", kitchen.Name())
	require.True(t, kitchen.MayUse("menu@v1"))
	require.False(t, kitchen.MayUse("menu@v2"), "its selector excludes new versions")
	require.False(t, kitchen.MayCall("tracking"))
	require.True(t, sn.TeamByKey("cooperative-key").MayCall("tracking"))
	require.Nil(t, sn.TeamByKey("Kitchen-key"))
	require.Nil(t, sn.TeamByKey(""))
}

func TestSubstitutes(t *testing.T) {
	sn := Compile(1, exampleDocument(t))
	var ids []string
	for _, ve := range sn.Substitutes(sn.Kind("allergen")) {
		ids = append(ids, ve.ID())
	}
	require.Equal(t, []string{"notes@v1", "notes@v2"}, ids)
}

// TestPatch checks that a diff turns any document into any other, except for the order of the
// lists, and into an identical one if objects are changed or added at the end.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from, to := randomDocument(rt, "from"), randomDocument(rt, "to")
		got, err := Patch(from, Diff(from, to))
		require.NoError(rt, err)
		require.Empty(rt, Diff(got, to))
		require.Empty(rt, Diff(to, got))
		after := *from
		after.Versions = append(append([]Version{}, from.Versions...), Version{Model: "m", Name: "new", State: RollingIn})
		got, err = Patch(from, Diff(from, &after))
		require.NoError(rt, err)
		require.Equal(rt, Compile(1, &after).Digest(), Compile(1, got).Digest())
	})
}

func randomDocument(rt *rapid.T, label string) *Document {
	doc := &Document{Models: []Model{{Name: "m"}}}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 0, 6, rapid.ID[int]).Draw(rt, label) {
		ve := Version{Model: "m", Name: fmt.Sprintf("v%d", n), State: Serving, InputPrice: int64(rapid.IntRange(0, 2).Draw(rt, "price"))}
		doc.Versions = append(doc.Versions, ve)
		doc.Servers = append(doc.Servers, Server{
			Name: fmt.Sprintf("s%d", n), Slots: n + 1, Versions: []string{ve.ID()},
			Labels: selector.Labels{"b": "2", "a": "1"},
		})
		doc.Grants = append(doc.Grants, Grant{Versions: &selector.Selector{}})
	}
	return doc
}

func TestMayStart(t *testing.T) {
	sn := Compile(1, exampleDocument(t))
	require.Equal(t, result.OK, sn.MayStart("kitchen-a", "menu@v1", false))
	require.Equal(t, result.VersionNotAllowed, sn.MayStart("kitchen-a", "menu@v2", false))
	require.Equal(t, result.VersionNotAllowed, sn.MayStart("nobody", "menu@v1", false))
	require.Equal(t, result.VersionNotAllowed, sn.MayStart("kitchen-a", "menu@v9", true))
}

func FuzzDecode(f *testing.F) {
	data, err := os.ReadFile("../../examples/fleet.jsonc")
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"models": [{"name": "m"}], // c
}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err != nil {
			var er *result.Error
			require.ErrorAs(t, err, &er)
			return
		}
		body, err := json.Marshal(doc)
		require.NoError(t, err)
		again, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, Compile(1, doc).Digest(), Compile(1, again).Digest())
	})
}

// documentWithServers returns a document of the size that the system is designed for: 5 versions,
// 200 teams and the given number of servers.
func documentWithServers(servers int) *Document {
	doc := &Document{Models: []Model{{Name: "m"}}, Grants: []Grant{{Versions: &selector.Selector{}}}}
	for i := range 5 {
		doc.Versions = append(doc.Versions, Version{Model: "m", Name: fmt.Sprint("v", i), State: Serving})
	}
	for i := range servers {
		doc.Servers = append(doc.Servers, Server{
			Name: fmt.Sprintf("region-1-dc-2-server-%d", i), DataCentre: "region-1-dc-2", Slots: 64,
			Labels:   selector.Labels{"rack": fmt.Sprint("rack-", i%40), "accelerator": "eight", "region": "region-1"},
			Versions: []string{"m@v0", "m@v1", "m@v2", "m@v3"},
		})
	}
	for i := range 200 {
		doc.Teams = append(doc.Teams, Team{Name: fmt.Sprint("team-", i), KeyDigests: []string{KeyDigest(fmt.Sprint(i))}})
	}
	return doc
}

func BenchmarkDecodeAndCompile(b *testing.B) {
	for _, servers := range []int{150, 1500, 4000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			body, err := json.Marshal(documentWithServers(servers))
			require.NoError(b, err)
			for b.Loop() {
				doc, err := Decode(body)
				require.NoError(b, err)
				Compile(1, doc)
			}
			b.ReportMetric(float64(len(body)), "B/document")
		})
	}
}

func BenchmarkDiffAndPatch(b *testing.B) {
	for _, servers := range []int{150, 1500, 4000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			from, to := documentWithServers(servers), documentWithServers(servers)
			to.Versions[1].State = Withdrawn
			size := 0
			for b.Loop() {
				diff := Diff(from, to)
				body, err := json.Marshal(diff)
				require.NoError(b, err)
				size = len(body)
				doc, err := Patch(from, diff)
				require.NoError(b, err)
				require.NoError(b, doc.Check())
				Compile(1, doc).Digest()
			}
			b.ReportMetric(float64(size), "B/step")
		})
	}
}
