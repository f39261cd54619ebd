package choice

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// sure is what is known of every version, by full name; nothing else is sure.
type sure map[string]float64

func (su sure) Quality(_, _ string, ve *config.Version) (mean, lower float64) {
	return su[ve.ID()], su[ve.ID()]
}
func (su sure) PassRate(_, _ string, ve *config.Version) float64 { return su[ve.ID()] }
func (sure) Tokens(string) (prompt, completion float64)          { return 1, 1 }

// lacking has a server for all versions but these.
type lacking []string

func (la lacking) Has(version string) bool {
	for _, na := range la {
		if na == version {
			return false
		}
	}
	return true
}

func snapshot(t *testing.T, change func(doc *config.Document)) *config.Snapshot {
	data, err := os.ReadFile("../../examples/fleet.jsonc")
	require.NoError(t, err)
	doc, err := config.Decode(data)
	require.NoError(t, err)
	if change != nil {
		change(doc)
	}
	return config.Compile(1, doc)
}

var known = sure{"notes@v1": 0.8, "notes@v2": 0.8, "menu@v1": 0.95, "menu@v2": 0.95}

func TestChoose(t *testing.T) {
	withdrawn := func(doc *config.Document) { doc.Versions[2].State = config.Withdrawn }
	leaving := func(doc *config.Document) { doc.Versions[2].State = config.RollingOut }
	for _, tc := range []struct {
		name   string
		ask    Request
		change func(doc *config.Document)
		lacks  lacking
		code   result.Code
		steps  []string
	}{
		{name: "the model asked for", ask: Request{Team: "kitchen-a", Model: "menu", Draw: 0.5, Explore: 1}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "not the new version that no grant opens", ask: Request{Team: "kitchen-a", Model: "menu", Explore: 1}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "its share to the new one", ask: Request{Team: "cooperative", Model: "menu", Draw: 0.05, Explore: 1}, code: result.OK, steps: []string{"menu@v2"}},
		{name: "the rest to the old one", ask: Request{Team: "cooperative", Model: "menu", Draw: 0.15, Explore: 1}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "a cheaper one that meets the target", ask: Request{Team: "kitchen-a", Model: "menu", Kind: "allergen", Draw: 0.5, Explore: 1}, code: result.OK, steps: []string{"notes@v1"}},
		{name: "no model of that name", ask: Request{Team: "kitchen-a", Model: "none"}, code: result.UnknownModel},
		{name: "a team that does not exist", ask: Request{Team: "nobody", Model: "menu"}, code: result.UnknownModel},
		{name: "withdrawn", ask: Request{Team: "kitchen-a", Model: "menu"}, change: withdrawn, code: result.VersionWithdrawn},
		{name: "rolling out", ask: Request{Team: "kitchen-a", Model: "menu"}, change: leaving, code: result.VersionNoNewWork},
		{name: "no server", ask: Request{Team: "kitchen-a", Model: "menu"}, lacks: lacking{"menu@v1"}, code: result.NoServer},
		{name: "a session keeps its version", ask: Request{Team: "cooperative", Model: "menu", Pinned: "menu@v1", Draw: 0.05}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "a session keeps one that rolls out", ask: Request{Team: "kitchen-a", Model: "menu", Pinned: "menu@v1"}, change: leaving, code: result.OK, steps: []string{"menu@v1"}},
		{name: "a session on a withdrawn one", ask: Request{Team: "kitchen-a", Model: "menu", Pinned: "menu@v1"}, change: withdrawn, code: result.VersionWithdrawn},
		{name: "a session that has no server now", ask: Request{Team: "kitchen-a", Model: "menu", Pinned: "menu@v1"}, lacks: lacking{"menu@v1"}, code: result.NoServer},
	} {
		pl := Choose(snapshot(t, tc.change), tc.ask, known, tc.lacks)
		require.Equal(t, tc.code, pl.Code(), tc.name)
		require.Equal(t, tc.steps, pl.Steps(), tc.name)
	}
}

func TestACascadeMustBeWorthIt(t *testing.T) {
	ask := Request{Team: "kitchen-a", Model: Auto, Kind: "draft", Draw: 0.5, Explore: 1}
	pl := Choose(snapshot(t, nil), ask, known, lacking(nil))
	require.Equal(t, []string{"menu@v1"}, pl.Steps(), "what is kept of the first try would pull drafts below their target")
	better := sure{"notes@v1": 0.88, "notes@v2": 0.88, "menu@v1": 0.98}
	pl = Choose(snapshot(t, nil), ask, better, lacking(nil))
	require.Equal(t, []string{"notes@v1", "menu@v1"}, pl.Steps())
	dear := snapshot(t, func(doc *config.Document) { doc.Versions[0].OutputPrice, doc.Versions[1].OutputPrice = 40, 40 })
	pl = Choose(dear, ask, better, lacking(nil))
	require.Equal(t, []string{"menu@v1"}, pl.Steps(), "a try that costs more than it saves")
}

func TestCandidatesExplainThemselves(t *testing.T) {
	pl := Choose(snapshot(t, nil), Request{Team: "kitchen-a", Model: Auto, Kind: "draft", Explore: 1}, known, lacking{"notes@v2"})
	codes := map[string]result.Code{}
	for _, ca := range pl.Candidates() {
		codes[ca.Version()] = ca.Code()
		require.Positive(t, ca.Cost())
	}
	require.Equal(t, map[string]result.Code{
		"notes@v1": result.OK, "notes@v2": result.NoServer, "menu@v1": result.OK, "menu@v2": result.VersionNotAllowed,
	}, codes)
	require.NotEmpty(t, pl.Reason())
}

func BenchmarkChoose(b *testing.B) {
	data, err := os.ReadFile("../../examples/fleet.jsonc")
	require.NoError(b, err)
	doc, err := config.Decode(data)
	require.NoError(b, err)
	sn := config.Compile(1, doc)
	ask := Request{Team: "kitchen-a", Model: Auto, Kind: "draft", Draw: 0.5, Explore: 1}
	b.ReportAllocs()
	for b.Loop() {
		Choose(sn, ask, known, lacking(nil))
	}
}
