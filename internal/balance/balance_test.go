package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// newBalancer returns a balancer with a number of servers, every third in another data centre.
func newBalancer(servers int) *Balancer {
	doc := &config.Document{}
	for i := range servers {
		dc := "local"
		if i%3 == 2 {
			dc = "remote"
		}
		doc.Servers = append(doc.Servers, config.Server{Name: fmt.Sprintf("s%d", i), DataCentre: dc, Slots: 4, Versions: []string{"m@v1"}})
	}
	ba := &Balancer{DataCentre: "local"}
	for i := range doc.Servers {
		ba.LinkUp(doc.Servers[i].Name, doc.Servers[i].DataCentre)
	}
	ba.Reconfigure(config.Compile(1, doc))
	return ba
}

func TestOnlyUsableServersArePicked(t *testing.T) {
	ba := newBalancer(6)
	ba.LinkDown("s0")
	ba.SetLeaving("s1")
	ba.SetLoad("s3", wire.Load{Slots: 4, Leaving: true})
	for r := range uint64(1000) {
		server, ok := ba.Pick("m@v1", nil, r*0x9e3779b97f4a7c15)
		require.True(t, ok)
		require.Equal(t, "s4", server, "the only usable server in this data centre")
	}
	_, ok := ba.Pick("m@v2", nil, 1)
	require.False(t, ok)
	require.False(t, ba.Has("m@v2"))
}

// An agent accepts new attempts again once its server has restarted.
func TestServersAreUsedAgainAfterDraining(t *testing.T) {
	ba := newBalancer(1)
	ba.SetLoad("s0", wire.Load{Slots: 4, Leaving: true})
	require.False(t, ba.Has("m@v1"))
	ba.SetLoad("s0", wire.Load{Slots: 4})
	require.True(t, ba.Has("m@v1"))
	ba.SetLeaving("s0")
	ba.SetLoad("s0", wire.Load{Slots: 4})
	require.False(t, ba.Has("m@v1"), "marked as leaving in the list of boxes")
}

func TestTriedServersAreNotPicked(t *testing.T) {
	ba := newBalancer(6)
	var tried []string
	for range 6 {
		server, ok := ba.Pick("m@v1", tried, 12345)
		require.True(t, ok)
		require.NotContains(t, tried, server)
		tried = append(tried, server)
	}
	_, ok := ba.Pick("m@v1", tried, 12345)
	require.False(t, ok)
}

func TestFullDataCentreSpillsOver(t *testing.T) {
	ba := newBalancer(3)
	for _, na := range []string{"s0", "s1"} {
		ba.SetLoad(na, wire.Load{Running: 4, Queued: 20, Slots: 4})
	}
	server, ok := ba.Pick("m@v1", nil, 7)
	require.True(t, ok)
	require.Equal(t, "s2", server)
}

// Sends the same requests with the balancer and with round robin to servers of which one is slow
// and reports late, and compares the longest queues.
func TestQueuesAreShorterThanWithRoundRobin(t *testing.T) {
	longest := func(pick func(ba *Balancer, i int, random uint64) string) int {
		ba := newBalancer(12)
		ra := rand.New(rand.NewPCG(1, 2))
		queues := map[string]int{}
		most := 0
		for i := range 6000 {
			server := pick(ba, i, ra.Uint64())
			ba.AttemptSent(server)
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
					ba.SetLoad(na, wire.Load{Running: queues[na], Slots: 4})
				}
			}
		}
		return most
	}
	local := []string{"s0", "s1", "s3", "s4", "s6", "s7", "s9", "s10"}
	longestRoundRobin := longest(func(_ *Balancer, i int, _ uint64) string { return local[i%len(local)] })
	longestBalanced := longest(func(ba *Balancer, _ int, random uint64) string {
		server, _ := ba.Pick("m@v1", nil, random)
		return server
	})
	require.Less(t, longestBalanced*10, longestRoundRobin, "longest queue %d, with round robin %d", longestBalanced, longestRoundRobin)
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			ba := newBalancer(servers)
			ra := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				server, _ := ba.Pick("m@v1", nil, ra.Uint64())
				ba.AttemptSent(server)
			}
		})
	}
}

func BenchmarkRebuild(b *testing.B) {
	for _, servers := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			ba := newBalancer(servers)
			for b.Loop() {
				ba.rebuild()
			}
		})
	}
}

func TestEvacuatedDataCentreIsNotUsedUntilRestored(t *testing.T) {
	ba := newBalancer(6)
	doc := *ba.snapshot.Document()
	doc.Evacuations = []config.Evacuation{{DataCentre: "local"}}
	ba.Reconfigure(config.Compile(2, &doc))
	picked := func() map[string]bool {
		names := map[string]bool{}
		for r := range uint64(200) {
			if server, ok := ba.Pick("m@v1", nil, r*0x9e3779b97f4a7c15); ok {
				names[server] = true
			}
		}
		return names
	}
	require.Equal(t, map[string]bool{"s2": true, "s5": true}, picked())
	restored := doc
	restored.Evacuations = nil
	ba.Reconfigure(config.Compile(3, &restored))
	require.Len(t, picked(), 4)
}
