package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

const benchReport = `day  worth
worth 0.654 = whole day 0.888 (weight 0.6), worst windows 0.733 (weight 0.25), worst class 0.797 (weight 0.15) less prices
rules broken: CONFIG 3
`

func TestParseWorth(t *testing.T) {
	var dr dayResult
	require.NoError(t, parseWorth(benchReport, &dr))
	require.Equal(t, dayResult{Worth: 0.654, WholeDay: 0.888, Windows: 0.733, WorstClass: 0.797}, dr)
	require.Equal(t, "CONFIG 3", brokenPattern.FindStringSubmatch(benchReport)[1])
	require.Error(t, parseWorth("the day was aborted", &dr))
}

func TestPairResultsUsesCommonSeedsOnly(t *testing.T) {
	result := func(seed int, worth float64) dayResult {
		return dayResult{Site: "s", Day: "d", Seed: seed, Worth: worth}
	}
	rows := pairResults([]dayResult{result(1, 0.5), result(2, 0.7), result(3, 0.1)}, []dayResult{result(1, 0.6), result(2, 0.6), result(4, 0.9)})
	require.Len(t, rows, 1)
	require.InDelta(t, 0.6, rows[0].before, 1e-9)
	mean, stdDev := meanAndStdDev(rows[0].differences)
	require.InDelta(t, 0, mean, 1e-9)
	require.InDelta(t, 0.141, stdDev, 1e-3)
	require.NoError(t, plotDifferences(rows, filepath.Join(t.TempDir(), "p.svg")))
}

func TestParseIntervals(t *testing.T) {
	report := `from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
0                      197     193      1       0      2        1  0.979     98.8   1937.9
2                      211     208      1       0      2        0  0.960    100.8   1413.7

how tries ended: 200: 4450
4                      9     9      1
`
	require.Equal(t, []interval{{0, 197, 193}, {2, 211, 208}}, parseIntervals(report))
}

// generateDay returns a day generated from a seed and the given kinds of disruption.
func generateDay(seed uint64, variant string, kinds []disruption) string {
	names := func(name string) []namedItem { return []namedItem{{Name: name}} }
	de := deployment{Length: 34, Services: names("llm"), Classes: names("chat"), Zones: names("a")}
	dg := dayGenerator{random: rand.New(rand.NewPCG(seed, 0)), deployment: de, kinds: kinds}
	return dg.generate("drawn", seed, variant)
}

func TestGenerateIsDeterministic(t *testing.T) {
	require.Equal(t, generateDay(7, "", disruptionKinds()), generateDay(7, "", disruptionKinds()))
	require.NotEqual(t, generateDay(7, "", disruptionKinds()), generateDay(8, "", disruptionKinds()))
}

func TestGenerateCoversEveryKind(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		var day struct {
			Seed   uint64
			Plan   []struct{ Kind string }
			Faults []struct {
				Kind string
				At   float64
			}
		}
		text := generateDay(seed, "", disruptionKinds())
		_, err := toml.Decode(text, &day)
		require.NoError(t, err, text)
		require.Equal(t, seed, day.Seed)
		for _, en := range day.Plan {
			seen[en.Kind] = true
		}
		for _, en := range day.Faults {
			seen[en.Kind] = true
			require.Less(t, en.At, 34.0)
		}
	}
	for _, di := range disruptionKinds() {
		require.True(t, seen[di.kind], di.kind)
	}
}

func TestGenerateIncludesRequestedRollout(t *testing.T) {
	for seed := range uint64(20) {
		require.Contains(t, generateDay(seed, "one_class", disruptionKinds()), `kind = "rollout_bad", how = "one_class"`)
	}
}

func TestGenerateUsesSupportedKindsOnly(t *testing.T) {
	kinds := supportedKinds("head\nrollout_good: a version\nrollout_bad: one\nhup: share\n", disruptionKinds())
	require.Len(t, kinds, 3)
	for seed := range uint64(20) {
		require.NotContains(t, generateDay(seed, "", kinds), "burst")
	}
}

// Guards against a panic for a deployment that supports no roll-outs.
func TestGenerateWithoutRollouts(t *testing.T) {
	kinds := supportedKinds("hup: share\n", disruptionKinds())
	require.Contains(t, generateDay(1, "", kinds), `kind = "hup"`)
}

const gatewayLog = `   3.2000 front-a-1 {"event":204,"route":"r","data_centre":"a","code":100,"place":0,"confidence":49,"head_ms":50,"target_ms":1000,"prompt":100,"status":200}
   4.1000 front-a-1 {"event":204,"route":"r","data_centre":"a","code":100,"place":2,"confidence":100,"head_ms":1500,"target_ms":1000,"prompt":100,"status":200}
   4.2000 front-b-1 {"event":205,"route":"plain","data_centre":"b","code":402,"sends":0}
   4.3000 front-b-1 {"event":206,"route":"plain","data_centre":"b","code":101,"detail":"the caller went away"}
   4.4000 front-b-1 {"event":203,"route":"r"}
day                  own/srv  score  worth
`

func TestTallyLosses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.txt")
	require.NoError(t, os.WriteFile(path, []byte(gatewayLog), 0o600))
	ends, err := readRequestEnds(path)
	require.NoError(t, err)
	require.Len(t, ends, 3, "requests whose callers disconnected are not counted")
	byRoute := tallyLosses(ends, "route")
	require.Len(t, byRoute, 3)
	require.Equal(t, lossTally{requests: 1, credit: 1, refused: 1}, *byRoute["plain"])
	ta := byRoute["r"]
	require.Equal(t, []int{2, 1, 0, 1}, []int{ta.requests, ta.smallest, ta.middle, ta.largest})
	require.InDelta(t, 0.95/2, ta.poor, 1e-9, "an answer with confidence 49 is poor with a probability of one half")
	require.InDelta(t, 0.7, ta.late, 1e-9)
	require.InDelta(t, 3, byRoute["all"].credit, 1e-9)
	require.Len(t, tallyLosses(ends, "second"), 3)
	require.Len(t, tallyLosses(ends, "data_centre"), 3)
}
