package gateway

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// newGatewayWithState returns a gateway with one server and a configuration.
func newGatewayWithState() *Gateway {
	ga := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc", Bounds: Bounds{MaxConfigAge: 5 * time.Second, RetryWindow: time.Second}}
	ga.prepare()
	good := directory.Server{ID: "good", Service: "svc", Address: "1.2.3.4:5", DataCentre: "dc", Version: "v1"}
	if err := ga.applyReadState(State{Revision: rev(5), Changes: []Change{
		{Document: &routing.Document{Version: 3, Services: []routing.Service{{Name: "svc"}}}}, {Server: &good},
	}}, clock.Now()); err != nil {
		panic(err)
	}
	return ga
}

// encodedChanges returns one change of each kind, encoded as a watcher sends them.
func encodedChanges(f *testing.F) []byte {
	f.Helper()
	fp := poison.FingerprintOf(poison.Request{Target: "x"})
	bl := poison.NewBlock(fp, time.Minute, clock.WallTime())
	data, err := cbor.Marshal([]Change{
		{Document: &routing.Document{Version: 4}},
		{Server: &directory.Server{ID: "s", Service: "svc", Address: "1.2.3.4:6", DataCentre: "dc", Version: "v2"}},
		{Gone: "s"},
		{Unusable: &UnusableServer{ID: "u", Reason: "r"}},
		{Leaving: "u"},
		{Evacuated: "dc2"},
		{Restored: "dc2"},
		{Order: &Order{Plan: rollout.Plan{Service: "svc", Version: "v2", Within: time.Second}, Revision: rev(6)}},
		{Phase: &StoredPhase{Service: "svc", Order: rev(6), Phase: rollout.Trying, Revision: rev(7)}},
		{Tallies: []Tally{{Service: "svc", Order: rev(6), Box: "b", Life: 1}}},
		{Blocked: &bl},
		{Unblocked: &fp},
		{Member: &relay.Member{Box: "b", Address: "1.2.3.4:7"}},
		{MemberGone: "b"},
	})
	require.NoError(f, err)
	return data
}

// checkInvariants checks what must be true regardless of what another process sends.
func checkInvariants(t *testing.T, ga *Gateway) {
	t.Helper()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	require.GreaterOrEqual(t, ga.table.Load().Version(), uint64(3), "the version of the configuration must not decrease")
	require.LessOrEqual(t, len(ga.blocks.Stored())+len(ga.blocks.Unstored()), 1024)
	require.NotNil(t, ga.servers.Get("good"), "a server that no change concerns must stay")
}

// FuzzBatches applies batches of a watcher that are malformed, repeated or out of order.
func FuzzBatches(f *testing.F) {
	f.Add(encodedChanges(f), encodedChanges(f))
	f.Add([]byte{0x80}, []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		ga := newGatewayWithState()
		for _, order := range [][][]byte{{first, second}, {second, first}, {first, first}} {
			for i, data := range order {
				ba := relay.Batch{To: rev(uint64(6 + i)), Data: data}
				batches, err := decodeBatches([]relay.Batch{ba})
				if err != nil || concernServer(batches[0], "good") {
					continue
				}
				ga.mu.Lock()
				ga.applyBatch(batches[0], ba)
				ga.mu.Unlock()
			}
		}
		checkInvariants(t, ga)
	})
}

// concernServer reports whether any of the changes concerns a server.
func concernServer(changes []Change, server string) bool {
	for _, ch := range changes {
		if ch.Gone == server || ch.Server != nil && ch.Server.ID == server || ch.Unusable != nil && ch.Unusable.ID == server {
			return true
		}
	}
	return false
}

// FuzzSnapshot applies encoded states. A state that cannot be decoded must change nothing.
func FuzzSnapshot(f *testing.F) {
	f.Add(encodedChanges(f))
	f.Add([]byte("truncated"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ga := newGatewayWithState()
		_, err := ga.applySnapshot("a", relay.Update{Revision: rev(9), Snapshot: data}, clock.Now())
		if err != nil {
			checkInvariants(t, ga)
		}
		require.GreaterOrEqual(t, ga.Table().Version(), uint64(3))
	})
}

// FuzzReports applies reports of other gateways with arbitrary content.
func FuzzReports(f *testing.F) {
	fp := poison.FingerprintOf(poison.Request{Target: "x"})
	data, err := cbor.Marshal(relay.Report{
		Box: "b", Work: load.Work{1: 2}, Ready: true, Gateways: 3, Tallies: encodedChanges(f),
		Suspicions: []poison.Suspicion{{Fingerprint: fp, Server: "s", SinceCrash: time.Second}},
		Blocks:     []poison.Block{poison.NewBlock(fp, time.Hour, clock.WallTime())}, Doubts: []poison.Fingerprint{fp},
	})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var re relay.Report
		if cbor.Unmarshal(data, &re) != nil {
			return
		}
		ga := newGatewayWithState()
		reply := ga.Reported(re)
		require.Equal(t, "a", reply.Box)
		ga.applyReportReply(loadPeer{}, re, clock.Now(), clock.Now())
		ga.expireLoads(clock.Now().Add(time.Hour))
		checkInvariants(t, ga)
	})
}
