package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// board has a number of servers, every third in another data centre.
func board(servers int) *Balancer {
	doc := &config.Document{}
	for i := range servers {
		dc := "here"
		if i%3 == 2 {
			dc = "there"
		}
		doc.Servers = append(doc.Servers, config.Server{Name: fmt.Sprintf("s%d", i), DataCentre: dc, Slots: 4, Versions: []string{"m@v1"}})
	}
	bo := &Balancer{DataCentre: "here"}
	for i := range doc.Servers {
		bo.LinkUp(doc.Servers[i].Name, doc.Servers[i].DataCentre)
	}
	bo.Reconfigure(config.Compile(1, doc))
	return bo
}

func TestOnlyUsableServersArePicked(t *testing.T) {
	bo := board(6)
	bo.LinkDown("s0")
	bo.SetLeaving("s1")
	bo.SetLoad("s3", wire.Load{Slots: 4, Leaving: true})
	for r := range uint64(1000) {
		server, ok := bo.Pick("m@v1", nil, r*0x9e3779b97f4a7c15)
		require.True(t, ok)
		require.Equal(t, "s4", server, "the only one here; the others are down, leaving or elsewhere")
	}
	_, ok := bo.Pick("m@v2", nil, 1)
	require.False(t, ok)
	require.False(t, bo.Has("m@v2"))
}

// An agent may take new work again once its server's next life has begun.
func TestServersAreUsedAgainAfterDraining(t *testing.T) {
	bo := board(1)
	bo.SetLoad("s0", wire.Load{Slots: 4, Leaving: true})
	require.False(t, bo.Has("m@v1"))
	bo.SetLoad("s0", wire.Load{Slots: 4})
	require.True(t, bo.Has("m@v1"))
	bo.SetLeaving("s0")
	bo.SetLoad("s0", wire.Load{Slots: 4})
	require.False(t, bo.Has("m@v1"), "the list of boxes says that it leaves")
}

func TestWhatWasTriedIsNotPickedAgain(t *testing.T) {
	bo := board(6)
	var tried []string
	for range 6 {
		server, ok := bo.Pick("m@v1", tried, 12345)
		require.True(t, ok)
		require.NotContains(t, tried, server)
		tried = append(tried, server)
	}
	_, ok := bo.Pick("m@v1", tried, 12345)
	require.False(t, ok)
}

func TestAFullDataCentreHandsOn(t *testing.T) {
	bo := board(3)
	for _, na := range []string{"s0", "s1"} {
		bo.SetLoad(na, wire.Load{Running: 4, Queued: 20, Slots: 4})
	}
	server, ok := bo.Pick("m@v1", nil, 7)
	require.True(t, ok)
	require.Equal(t, "s2", server)
}

// TestAgainstRoundRobin sends the same requests by the board and in turn to
// servers of which one is slow and reports late. The longest queue shows the
// difference.
func TestAgainstRoundRobin(t *testing.T) {
	longest := func(pick func(bo *Balancer, i int, random uint64) string) int {
		bo := board(12)
		ra := rand.New(rand.NewPCG(1, 2))
		queues := map[string]int{}
		most := 0
		for i := range 6000 {
			server := pick(bo, i, ra.Uint64())
			bo.AttemptSent(server)
			queues[server]++
			most = max(most, queues[server])
			for na := range queues {
				every := 4
				if na == "s0" {
					every = 32
				}
				if i%every == 0 {
					queues[na] = max(0, queues[na]-1)
				}
				if i%16 == 0 {
					bo.SetLoad(na, wire.Load{Running: queues[na], Slots: 4})
				}
			}
		}
		return most
	}
	local := []string{"s0", "s1", "s3", "s4", "s6", "s7", "s9", "s10"}
	naive := longest(func(_ *Balancer, i int, _ uint64) string { return local[i%len(local)] })
	ours := longest(func(bo *Balancer, _ int, random uint64) string {
		server, _ := bo.Pick("m@v1", nil, random)
		return server
	})
	require.Less(t, ours*10, naive, "ours %d, round robin %d", ours, naive)
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			bo := board(servers)
			ra := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				server, _ := bo.Pick("m@v1", nil, ra.Uint64())
				bo.AttemptSent(server)
			}
		})
	}
}

func BenchmarkRebuild(b *testing.B) {
	for _, servers := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			bo := board(servers)
			for b.Loop() {
				bo.rebuild()
			}
		})
	}
}

func TestAnEvacuatedDataCentreIsLeftAndComesBack(t *testing.T) {
	bo := board(6)
	doc := *bo.snapshot.Document()
	doc.Evacuations = []config.Evacuation{{DataCentre: "here"}}
	bo.Reconfigure(config.Compile(2, &doc))
	picked := func() map[string]bool {
		names := map[string]bool{}
		for r := range uint64(200) {
			if server, ok := bo.Pick("m@v1", nil, r*0x9e3779b97f4a7c15); ok {
				names[server] = true
			}
		}
		return names
	}
	require.Equal(t, map[string]bool{"s2": true, "s5": true}, picked())
	back := doc
	back.Evacuations = nil
	bo.Reconfigure(config.Compile(3, &back))
	require.Len(t, picked(), 4)
}
