package choice

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// fixedEstimates maps each version's full name to its quality, which is also its lower bound and
// pass rate.
type fixedEstimates map[string]float64

func (su fixedEstimates) Quality(_, _ string, ve *config.Version) (mean, lower float64) {
	return su[ve.ID()], su[ve.ID()]
}
func (su fixedEstimates) PassRate(_, _ string, ve *config.Version) float64 { return su[ve.ID()] }
func (fixedEstimates) Tokens(string) (prompt, completion float64)          { return 1, 1 }

// unavailable lists the versions without a backend server.
type unavailable []string

func (la unavailable) Has(version string) bool {
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

var known = fixedEstimates{"notes@v1": 0.8, "notes@v2": 0.8, "menu@v1": 0.95, "menu@v2": 0.95}

func TestChoose(t *testing.T) {
	withdrawn := func(doc *config.Document) { doc.Versions[2].State = config.Withdrawn }
	rollingOut := func(doc *config.Document) { doc.Versions[2].State = config.RollingOut }
	for _, tc := range []struct {
		name        string
		req         Request
		change      func(doc *config.Document)
		unavailable unavailable
		code        result.Code
		steps       []string
	}{
		{name: "requested model", req: Request{Team: "kitchen-a", Model: "menu", Draw: 0.5, Explore: 1}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "new version not granted to the team", req: Request{Team: "kitchen-a", Model: "menu", Explore: 1}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "new version gets its share", req: Request{Team: "cooperative", Model: "menu", Draw: 0.05, Explore: 1}, code: result.OK, steps: []string{"menu@v2"}},
		{name: "old version gets the rest", req: Request{Team: "cooperative", Model: "menu", Draw: 0.15, Explore: 1}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "cheaper version that meets the target", req: Request{Team: "kitchen-a", Model: "menu", Kind: "allergen", Draw: 0.5, Explore: 1}, code: result.OK, steps: []string{"notes@v1"}},
		{name: "unknown model", req: Request{Team: "kitchen-a", Model: "none"}, code: result.UnknownModel},
		{name: "unknown team", req: Request{Team: "nobody", Model: "menu"}, code: result.UnknownModel},
		{name: "withdrawn", req: Request{Team: "kitchen-a", Model: "menu"}, change: withdrawn, code: result.VersionWithdrawn},
		{name: "rolling out", req: Request{Team: "kitchen-a", Model: "menu"}, change: rollingOut, code: result.VersionNoNewWork},
		{name: "no server", req: Request{Team: "kitchen-a", Model: "menu"}, unavailable: unavailable{"menu@v1"}, code: result.NoServer},
		{name: "session is pinned to its version", req: Request{Team: "cooperative", Model: "menu", Pinned: "menu@v1", Draw: 0.05}, code: result.OK, steps: []string{"menu@v1"}},
		{name: "session is pinned to a version being rolled out", req: Request{Team: "kitchen-a", Model: "menu", Pinned: "menu@v1"}, change: rollingOut, code: result.OK, steps: []string{"menu@v1"}},
		{name: "session on a withdrawn version", req: Request{Team: "kitchen-a", Model: "menu", Pinned: "menu@v1"}, change: withdrawn, code: result.VersionWithdrawn},
		{name: "session whose version has no server", req: Request{Team: "kitchen-a", Model: "menu", Pinned: "menu@v1"}, unavailable: unavailable{"menu@v1"}, code: result.NoServer},
	} {
		pl := Choose(snapshot(t, tc.change), tc.req, known, tc.unavailable)
		require.Equal(t, tc.code, pl.Code(), tc.name)
		require.Equal(t, tc.steps, pl.Steps(), tc.name)
	}
}

func TestFirstTryMustLowerTheCost(t *testing.T) {
	req := Request{Team: "kitchen-a", Model: Auto, Kind: "draft", Draw: 0.5, Explore: 1}
	pl := Choose(snapshot(t, nil), req, known, unavailable(nil))
	require.Equal(t, []string{"menu@v1"}, pl.Steps(), "accepted first tries would pull the quality of drafts below the target")
	better := fixedEstimates{"notes@v1": 0.88, "notes@v2": 0.88, "menu@v1": 0.98}
	pl = Choose(snapshot(t, nil), req, better, unavailable(nil))
	require.Equal(t, []string{"notes@v1", "menu@v1"}, pl.Steps())
	expensive := snapshot(t, func(doc *config.Document) { doc.Versions[0].OutputPrice, doc.Versions[1].OutputPrice = 40, 40 })
	pl = Choose(expensive, req, better, unavailable(nil))
	require.Equal(t, []string{"menu@v1"}, pl.Steps(), "the first try costs more than it saves")
}

func TestCandidatesHaveCodesAndCosts(t *testing.T) {
	pl := Choose(snapshot(t, nil), Request{Team: "kitchen-a", Model: Auto, Kind: "draft", Explore: 1}, known, unavailable{"notes@v2"})
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
	req := Request{Team: "kitchen-a", Model: Auto, Kind: "draft", Draw: 0.5, Explore: 1}
	b.ReportAllocs()
	for b.Loop() {
		Choose(sn, req, known, unavailable(nil))
	}
}
