package gateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// coldDocument returns a configuration with a service whose servers have a low request limit while
// they are cold.
func coldDocument() *routing.Document {
	return &routing.Document{
		Version: 1,
		Services: []routing.Service{{
			Name: "s", ColdFor: 3 * time.Second, ColdPerSecond: 14,
		}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: routing.Safe, Split: []routing.Share{{Service: "s", Weight: 1}},
		}},
	}
}

func serverChange(id, dataCentre string) Change {
	return Change{Server: &directory.Server{ID: id, Service: "s", DataCentre: dataCentre, Address: "127.0.0.1:1"}}
}

// newServingGateway returns a gateway with the configuration and a server in each of three data
// centres, and its log.
func newServingGateway(changes ...Change) (*Gateway, *bytes.Buffer) {
	log := &bytes.Buffer{}
	ga := &Gateway{
		Log: zerolog.New(log), Box: "a", DataCentre: "dc0",
		Bounds: Bounds{RetryRatio: 1, RetryWindow: time.Second, ColdRatio: 1.5, ColdExtra: 5},
	}
	ga.prepare()
	ga.pool.MaxMembers = 1
	all := append([]Change{{Document: coldDocument()}, serverChange("x0", "dc0"), serverChange("x1", "dc1"), serverChange("x2", "dc2")}, changes...)
	if err := ga.applyReadState(State{Revision: rev(1), Changes: all}, time.Now()); err != nil {
		panic(err)
	}
	return ga, log
}

// newExchange returns a request on the only route.
func newExchange(ga *Gateway, session string) *exchange {
	ta := ga.Table()
	return &exchange{ga: ga, rq: &Request{}, table: ta, route: ta.Route("h", "/r/"), service: "s", session: session}
}

// pickedServers returns the servers that are picked for first attempts, retries and later parts of
// streams.
func pickedServers(ga *Gateway, now time.Time) map[string]bool {
	servers := map[string]bool{}
	for i := range 60 {
		ex := newExchange(ga, fmt.Sprint("session-", i))
		var tried []string
		for len(tried) < 3 {
			id, ok := ex.Pick("", tried, now)
			if !ok {
				break
			}
			servers[id] = true
			tried = append(tried, id)
		}
	}
	return servers
}

// firstPicks returns the servers that are picked for first attempts.
func firstPicks(ga *Gateway, now time.Time) map[string]bool {
	servers := map[string]bool{}
	for i := range 60 {
		if id, ok := newExchange(ga, fmt.Sprint("session-", i)).Pick("", nil, now); ok {
			servers[id] = true
		}
	}
	return servers
}

func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	now := time.Now()
	ga, log := newServingGateway()
	require.Len(t, pickedServers(ga, now), 3)
	ga.applyChange(Change{Evacuated: "dc1"})
	require.Equal(t, map[string]bool{"x0": true, "x2": true}, pickedServers(ga, now))
	ga.applyChange(Change{Evacuated: "dc0"})
	ga.applyChange(Change{Evacuated: "unknown data centre"})
	require.Equal(t, map[string]bool{"x2": true}, pickedServers(ga, now), "a gateway's own data centre is evacuated as well")
	ga.applyChange(Change{Evacuated: "dc2"})
	require.Empty(t, pickedServers(ga, now))
	ga.applyChange(Change{Restored: "dc2"})
	require.Equal(t, map[string]bool{"x2": true}, pickedServers(ga, now.Add(time.Minute)))
	require.Contains(t, log.String(), "data_centre_evacuated")
	require.Contains(t, log.String(), "data_centre_restored")
}

// A gateway that missed the start or the end of an evacuation learns of it from a complete state,
// which it reads itself or receives from a watcher.
func TestSnapshotContainsEvacuations(t *testing.T) {
	now := time.Now()
	wa, _ := newServingGateway(Change{Evacuated: "dc1"}, Change{Member: &relay.Member{Box: "a", DataCentre: "dc0", Address: "127.0.0.1:1"}})
	require.NotContains(t, pickedServers(wa, now), "x1", "a gateway that starts during the evacuation")
	ga, _ := newServingGateway(Change{Evacuated: "dc2"})
	up := wa.Updates(t.Context(), relay.Request{After: rev(0)})
	require.NotEmpty(t, up.Snapshot)
	_, err := ga.applySnapshot("a", up, now)
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"x0": true, "x2": true}, pickedServers(ga, now.Add(time.Minute)))
}

// Servers of a data centre whose evacuation has ended may be cold before they report it.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	now := time.Now()
	ga, _ := newServingGateway(Change{Evacuated: "dc0"})
	ga.endEvacuation("dc0", now)
	sent := 0
	for range 100 {
		ex := newExchange(ga, "")
		if id, ok := ex.Pick("", []string{"x1", "x2"}, now); ok {
			require.Equal(t, "x0", id)
			sent++
		}
	}
	require.Equal(t, 1, sent, "further requests exceed the cold limit")
	for i := range 100 {
		if _, ok := newExchange(ga, "").Pick("", []string{"x1", "x2"}, now.Add(time.Duration(i)*10*time.Millisecond)); ok {
			sent++
		}
	}
	require.InDelta(t, 14, sent, 2)
	_, ok := newExchange(ga, "").Pick("", []string{"x1", "x2"}, now.Add(3*time.Second))
	require.True(t, ok)
}

// A version whose servers are all cold still exists, and its sessions stay on it.
func TestColdVersionKeepsItsSessions(t *testing.T) {
	now := time.Now()
	ga, ro := newTrialGateway(t)
	putServers(ga, "v1", "v2")
	ro.canary.Enter("shifting")
	for _, se := range ga.servers.Listed() {
		if se.Version == "v2" {
			ga.pool.Warmup.MarkCold(se.Key(), time.Minute, now)
		}
	}
	ex := &exchange{ga: ga, rq: &Request{}, route: &routing.Route{Name: "r"}, service: "s", session: "any"}
	query := ex.poolQuery("", nil, now)
	require.True(t, query.OnlyVersion)
	require.Equal(t, "v2", query.Version)
}

func TestRestartedServerHasNoHistory(t *testing.T) {
	now := time.Now()
	ga, log := newServingGateway(Change{Gone: "x0"})
	entry := serverChange("y0", "dc0")
	entry.Server.Born = 1000
	ga.applyChange(entry)
	first := *ga.servers.Get("y0")
	for range 5 {
		ga.pool.Failed(first.Key(), now)
	}
	ga.pool.Started(first.Key(), time.Second, now)
	ga.pool.Responded(first.Key(), now)
	require.NotContains(t, firstPicks(ga, now), "y0", "the server is ejected")
	restarted := serverChange("y0", "dc0")
	restarted.Server.Born, restarted.Server.Address = 2000, "127.0.0.1:2"
	ga.applyChange(restarted)
	second := *ga.servers.Get("y0")
	require.Contains(t, firstPicks(ga, now), "y0")
	require.True(t, ga.pool.LastResponse(second.Key()).IsZero())
	ga.pool.Ended(first.Key())
	ga.pool.Failed(first.Key(), now)
	require.Contains(t, firstPicks(ga, now), "y0", "late responses of the previous process do not count")
	ga.applyChange(entry)
	require.Equal(t, "127.0.0.1:2", ga.servers.Get("y0").Address, "a late entry of the previous process is ignored")
	require.Equal(t, 1, strings.Count(log.String(), "server_restarted"))
}

func TestUnusableEntryTakesServerOutOfUse(t *testing.T) {
	now := time.Now()
	ga, log := newServingGateway()
	ga.storeOutage.HandleFailure(now.Add(-time.Minute), now)
	ga.applyChange(Change{Unusable: &UnusableServer{ID: "x1", Reason: "a field is missing"}})
	require.Equal(t, map[string]bool{"x0": true, "x2": true}, pickedServers(ga, now), "at once, even while the store is lost")
	for range 50 {
		ga.applyChange(Change{Unusable: &UnusableServer{ID: "x1", Reason: "a field is missing"}})
		ga.applyChange(Change{Unusable: &UnusableServer{ID: "forged", Reason: "a field is missing"}})
	}
	require.Equal(t, 2, strings.Count(log.String(), "server_unusable"), "each id is logged once")
	for i := range 2 * maxUnusableIDs {
		ga.applyChange(Change{Unusable: &UnusableServer{ID: fmt.Sprint("forged-", i), Reason: "a field is missing"}})
	}
	require.LessOrEqual(t, strings.Count(log.String(), "server_unusable"), maxUnusableIDs+1)
	ga.applyChange(serverChange("x1", "dc1"))
	require.Len(t, pickedServers(ga, now), 3, "the server has written its entry again")
}

// Gateways that receive changes through a watcher must learn of unusable entries as well.
func TestUnusableEntryIsPropagated(t *testing.T) {
	re := newRelayCluster(t)
	re.store.add(serverChange("x", "dc"))
	listed := func(box string) func() bool {
		return func() bool {
			ga := re.gateways[box]
			ga.mu.Lock()
			defer ga.mu.Unlock()
			return ga.servers.Get("x") != nil
		}
	}
	for _, box := range []string{"a", "b", "c"} {
		re.eventually(t, box+" lists it", listed(box))
	}
	re.store.add(Change{Unusable: &UnusableServer{ID: "x", Reason: "a field is missing"}})
	for _, box := range []string{"a", "b", "c"} {
		re.eventually(t, box+" does not use it", func() bool { return !listed(box)() })
	}
	re.store.add(Change{Evacuated: "dc"})
	for _, box := range []string{"a", "b", "c"} {
		re.eventually(t, box+" knows of the evacuation", func() bool {
			ga := re.gateways[box]
			ga.mu.Lock()
			defer ga.mu.Unlock()
			return ga.servers.IsEvacuated("dc")
		})
	}
}

// A cold pool under more load than its limits allow: 23 gateways send to 42 cold servers. More than
// nine tenths of what the limits allow is used, all other requests are refused at once, and no
// server exceeds its limit within any second.
func TestColdPoolIsUsedUpToItsLimit(t *testing.T) {
	const gateways, servers = 23, 42
	fleet := make([]*Gateway, gateways)
	began := time.Now()
	for i := range fleet {
		ga, _ := newServingGateway(Change{Gone: "x0"}, Change{Gone: "x1"}, Change{Gone: "x2"})
		ga.Log, ga.Box, ga.pool.Box, ga.pool.MaxMembers = zerolog.Nop(), fmt.Sprint("box-", i), fmt.Sprint("box-", i), gateways
		for s := range servers {
			se := serverChange(fmt.Sprint("y", s), fmt.Sprint("dc", s%3))
			se.Server.ColdFor = 3 * time.Second
			ga.putServer(*se.Server, began)
		}
		fleet[i] = ga
	}
	rn := rand.New(rand.NewPCG(1, 2))
	sent, refused := map[string][]time.Time{}, 0
	const requests = 3000
	for i := range requests {
		now := began.Add(time.Duration(i) * 2900 * time.Millisecond / requests)
		id, ok := newExchange(fleet[rn.IntN(gateways)], "").Pick("", nil, now)
		if !ok {
			refused++
			continue
		}
		sent[id] = append(sent[id], now)
	}
	all := 0
	for id, times := range sent {
		all += len(times)
		for i := range times {
			within := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) < time.Second {
					within++
				}
			}
			require.LessOrEqual(t, within, 26, id)
		}
	}
	require.Len(t, sent, servers)
	require.Equal(t, requests, all+refused)
	require.Greater(t, float64(all), 0.9*14*servers*2.9, "the allowance is used")
}
