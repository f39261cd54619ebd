package quality

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

var menu = &config.Version{Model: "menu", Name: "v1", Quality: 0.9}

func cell(team string) Cell { return Cell{Team: team, Kind: "draft", Version: "menu@v1"} }

// rate adds ratings that are good with a chance.
func rate(ta *Table, team string, n int, good float64, ra *rand.Rand) {
	for range n {
		score := 0.0
		if ra.Float64() < good {
			score = 1
		}
		ta.Add(cell(team), score)
	}
}

func TestNothingLearntIsNotTrusted(t *testing.T) {
	var ta Table
	mean, lower := ta.Quality("t", "draft", menu)
	require.InDelta(t, 0.9, mean, 1e-9)
	require.Zero(t, lower)
}

func TestASmallTeamGainsFromTheOthers(t *testing.T) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 1))
	for _, team := range []string{"a", "b", "c", "d"} {
		rate(&ta, team, 300, 0.92, ra)
	}
	mean, lower := ta.Quality("new", "draft", menu)
	require.InDelta(t, 0.92, mean, 0.03)
	require.Greater(t, lower, 0.87)
}

func TestATeamsFailuresAreNotHidden(t *testing.T) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 2))
	for _, team := range []string{"a", "b", "c", "d"} {
		rate(&ta, team, 1000, 0.92, ra)
	}
	rate(&ta, "odd", 40, 0.5, ra)
	_, lower := ta.Quality("odd", "draft", menu)
	require.Less(t, lower, 0.7, "4,000 good ratings of others do not cover 40 of its own")
	mean, _ := ta.Quality("a", "draft", menu)
	require.InDelta(t, 0.92, mean, 0.02)
}

func TestTheOrderOfMergingDoesNotMatter(t *testing.T) {
	var one, two Table
	ra := rand.New(rand.NewPCG(1, 3))
	var parts []Entry
	for _, team := range []string{"a", "b", "c"} {
		var ta Table
		rate(&ta, team, 50, 0.8, ra)
		parts = append(parts, ta.Entries()...)
	}
	one.MergeEntries(parts)
	parts[0], parts[2] = parts[2], parts[0]
	two.MergeEntries(parts)
	require.Equal(t, one.cells, two.cells)
	value, err := one.Encode()
	require.NoError(t, err)
	back, err := Decode(value)
	require.NoError(t, err)
	require.Equal(t, one.cells, back.cells)
}

func TestOldRatingsFade(t *testing.T) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 4))
	rate(&ta, "a", 20_000, 0.95, ra)
	rate(&ta, "a", 6000, 0.5, ra)
	mean, _ := ta.Quality("a", "draft", menu)
	require.Less(t, mean, 0.7)
}

func FuzzDecode(f *testing.F) {
	var ta Table
	ta.Add(cell("a"), 1)
	good, err := ta.Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Fuzz(func(t *testing.T, value []byte) {
		ta, err := Decode(value)
		if err != nil {
			return
		}
		ta.Quality("a", "draft", menu)
		_, err = ta.Encode()
		require.NoError(t, err)
	})
}

func BenchmarkQuality(b *testing.B) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 5))
	for i := range 200 {
		rate(&ta, string(rune('a'+i)), 10, 0.9, ra)
	}
	b.ReportAllocs()
	for b.Loop() {
		ta.Quality("c", "draft", menu)
	}
}
