package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/directory"
)

var now = time.Unix(1000, 0)

func pool(n int) *Pool {
	po := &Pool{Members: 4, DataCentre: "dc0", Directory: &directory.Directory{}}
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
