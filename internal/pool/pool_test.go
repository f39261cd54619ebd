package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/load"
)

var now = time.Unix(1000, 0)

func pool(n int) *Pool {
	po := &Pool{Members: 4, DataCentre: "dc0", Directory: &directory.Directory{}, Loads: &load.Table{}}
	for i := range n {
		po.Directory.Put(directory.Server{ID: fmt.Sprint("s", i), Service: "svc", DataCentre: fmt.Sprint("dc", i%3), Version: fmt.Sprint("v", 1+i%2)})
	}
	return po
}

func TestAPromptKeepsItsServerWhileTheLoadAllows(t *testing.T) {
	po := pool(6)
	ask := Ask{Service: "svc", Affinity: "p", Held: 5000}
	home, ok := po.Pick(ask, 1, now)
	require.True(t, ok)
	for range 2 {
		again, _ := po.Pick(ask, 2, now)
		require.Equal(t, home.ID, again.ID)
		po.Started(home.ID, 2000, now)
	}
	other, _ := po.Pick(ask, 3, now)
	require.NotEqual(t, home.ID, other.ID, "waiting there is longer than reading it elsewhere")
	po.Read(home.ID, 4000)
	again, _ := po.Pick(ask, 4, now)
	require.Equal(t, home.ID, again.ID)
}

func TestTheLeastLoadedOfTheOwnDataCentreIsChosen(t *testing.T) {
	po := pool(6)
	for random := range uint64(20) {
		se, _ := po.Pick(Ask{Service: "svc"}, random, now)
		require.Equal(t, "dc0", se.DataCentre)
	}
	for range 5 {
		po.Started("s0", 0, now)
		po.Started("s3", 0, now)
	}
	se, _ := po.Pick(Ask{Service: "svc"}, 0, now)
	require.NotEqual(t, "dc0", se.DataCentre)
}

func TestVersionsCanBeAskedForOrLeftOut(t *testing.T) {
	po := pool(6)
	for random := range uint64(20) {
		se, _ := po.Pick(Ask{Service: "svc", Version: "v2", Only: true}, random, now)
		require.Equal(t, "v2", se.Version)
		se, _ = po.Pick(Ask{Service: "svc", Version: "v2", Except: true, Affinity: fmt.Sprint(random)}, random, now)
		require.Equal(t, "v1", se.Version)
	}
}

func TestEjectedServersAreTheLastResort(t *testing.T) {
	po := pool(2)
	for range 3 {
		po.Failed("s0", now)
	}
	for random := range uint64(10) {
		se, _ := po.Pick(Ask{Service: "svc"}, random, now)
		require.Equal(t, "s1", se.ID)
	}
	se, ok := po.Pick(Ask{Service: "svc", Tried: []string{"s1"}}, 0, now)
	require.True(t, ok)
	require.Equal(t, "s0", se.ID)
	_, ok = po.Pick(Ask{Service: "svc", Tried: []string{"s0", "s1"}}, 0, now)
	require.False(t, ok)
}

func TestTheWorkOfOthersCounts(t *testing.T) {
	po := pool(6)
	ask := Ask{Service: "svc", Affinity: "p", Held: 5000}
	home, _ := po.Pick(ask, 1, now)
	busy := load.Work{load.KeyOf(home.ID): 5000/attemptWork + 1}
	po.Loads.TakeGroup("b", busy, now)
	other, _ := po.Pick(ask, 1, now)
	require.NotEqual(t, home.ID, other.ID)
	po.Loads.TakeGroup("b", load.Work{load.KeyOf(home.ID): 5000/attemptWork - 1}, now)
	again, _ := po.Pick(ask, 1, now)
	require.Equal(t, home.ID, again.ID)
	po.Loads.TakeGroup("b", load.Work{load.KeyOf("s0"): 3, load.KeyOf("s3"): 2 + remoteCost}, now)
	se, _ := po.Pick(Ask{Service: "svc"}, 0, now)
	require.NotEqual(t, "dc0", se.DataCentre, "a plain service's attempts count as well")
}

func TestOwnWorkIsReportedInAttempts(t *testing.T) {
	po := pool(2)
	require.Empty(t, po.Work())
	po.Started("s0", 10*attemptWork, now)
	po.Started("s0", 0, now)
	require.Equal(t, load.Work{load.KeyOf("s0"): 12}, po.Work())
	po.Read("s0", 10*attemptWork)
	po.Ended("s0")
	require.Equal(t, load.Work{load.KeyOf("s0"): 1}, po.Work())
	po.Ended("s0")
	require.Empty(t, po.Work())
}

// A report is old when it comes. If every process sent to the server that it takes
// for the least busy of all, they would all send to the same one.
func TestNotAllPromptsGoToTheIdleServer(t *testing.T) {
	po := pool(60)
	wo := load.Work{}
	for i := 1; i < 60; i++ {
		wo[load.KeyOf(fmt.Sprint("s", i))] = 1000
	}
	po.Loads.TakeGroup("b", wo, now)
	idle := 0
	for i := range 300 {
		if se, _ := po.Pick(Ask{Service: "svc", Affinity: fmt.Sprint(i), Held: 100}, 0, now); se.ID == "s0" {
			idle++
		}
	}
	require.Greater(t, idle, 0)
	require.Less(t, idle, 300*2*candidates/60)
}

// prompts picks servers for prompts of a tier, each with its work in progress.
func prompts(po *Pool, tier Tier, n int, work float64) map[string]bool {
	used := map[string]bool{}
	for i := range n {
		se, _ := po.Pick(Ask{Service: "svc", Affinity: fmt.Sprint(tier, i), Held: 100, Tier: tier}, 0, now)
		po.Started(se.ID, work, now)
		used[se.ID] = true
	}
	return used
}

func TestTheSmallestModelHasServersOfItsOwn(t *testing.T) {
	po := pool(20)
	po.Loads.TakeGroup("b", nil, now)
	small, large := prompts(po, Small, 60, 10), prompts(po, Large, 60, 10)
	require.Len(t, small, 6)
	require.Len(t, large, 14)
	for id := range small {
		require.NotContains(t, large, id)
	}
	require.Len(t, prompts(po, AnyTier, 200, 0), 20, "where there is nothing to choose, all are used")
}

func TestATierUsesTheOthersServersRatherThanWait(t *testing.T) {
	for _, tier := range []Tier{Small, Large} {
		po := pool(20)
		po.Loads.TakeGroup("b", nil, now)
		own := prompts(po, tier, 60, 3*mixWork)
		require.Greater(t, len(own), 14, tier)
	}
	for n := 1; n < 4; n++ {
		for _, tier := range []Tier{Small, Large, AnyTier} {
			require.NotEmpty(t, prompts(pool(n), tier, 1, 0), "%d servers", n)
		}
	}
}
