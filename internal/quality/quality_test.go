package quality

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

var version = &config.Version{Model: "menu", Name: "v1", Quality: 0.9}

func cell(team string) Cell { return Cell{Team: team, Kind: "draft", Version: "menu@v1"} }

// addRatings adds ratings of 1 with a probability and of 0 otherwise.
func addRatings(ta *Table, team string, n int, probability float64, ra *rand.Rand) {
	for range n {
		score := 0.0
		if ra.Float64() < probability {
			score = 1
		}
		ta.Add(cell(team), score)
	}
}

func TestLowerBoundIsZeroWithoutRatings(t *testing.T) {
	var ta Table
	mean, lower := ta.Quality("t", "draft", version)
	require.InDelta(t, 0.9, mean, 1e-9)
	require.Zero(t, lower)
}

func TestNewTeamUsesRatingsOfOtherTeams(t *testing.T) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 1))
	for _, team := range []string{"a", "b", "c", "d"} {
		addRatings(&ta, team, 300, 0.92, ra)
	}
	mean, lower := ta.Quality("new", "draft", version)
	require.InDelta(t, 0.92, mean, 0.03)
	require.Greater(t, lower, 0.87)
}

func TestOwnRatingsOutweighThoseOfOtherTeams(t *testing.T) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 2))
	for _, team := range []string{"a", "b", "c", "d"} {
		addRatings(&ta, team, 1000, 0.92, ra)
	}
	addRatings(&ta, "different", 40, 0.5, ra)
	_, lower := ta.Quality("different", "draft", version)
	require.Less(t, lower, 0.7, "4,000 good ratings of other teams must not outweigh 40 of its own")
	mean, _ := ta.Quality("a", "draft", version)
	require.InDelta(t, 0.92, mean, 0.02)
}

func TestMergingIsCommutative(t *testing.T) {
	var one, two Table
	ra := rand.New(rand.NewPCG(1, 3))
	var entries []Entry
	for _, team := range []string{"a", "b", "c"} {
		var ta Table
		addRatings(&ta, team, 50, 0.8, ra)
		entries = append(entries, ta.Entries()...)
	}
	one.MergeEntries(entries)
	entries[0], entries[2] = entries[2], entries[0]
	two.MergeEntries(entries)
	require.Equal(t, one.cells, two.cells)
	value, err := one.Encode()
	require.NoError(t, err)
	decoded, err := Decode(value)
	require.NoError(t, err)
	require.Equal(t, one.cells, decoded.cells)
}

func TestOldRatingsLoseWeight(t *testing.T) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 4))
	addRatings(&ta, "a", 20_000, 0.95, ra)
	addRatings(&ta, "a", 6000, 0.5, ra)
	mean, _ := ta.Quality("a", "draft", version)
	require.Less(t, mean, 0.7)
}

func FuzzDecode(f *testing.F) {
	var ta Table
	ta.Add(cell("a"), 1)
	encoded, err := ta.Encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, value []byte) {
		ta, err := Decode(value)
		if err != nil {
			return
		}
		ta.Quality("a", "draft", version)
		_, err = ta.Encode()
		require.NoError(t, err)
	})
}

func BenchmarkQuality(b *testing.B) {
	var ta Table
	ra := rand.New(rand.NewPCG(1, 5))
	for i := range 200 {
		addRatings(&ta, string(rune('a'+i)), 10, 0.9, ra)
	}
	b.ReportAllocs()
	for b.Loop() {
		ta.Quality("c", "draft", version)
	}
}
