package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/relay"
)

// reportedWork returns the number of other gateways' attempts at the server s that a gateway knows
// of, or false if it receives no reports.
func (re *relayCluster) reportedWork(box string) (uint32, bool) {
	ga := re.gateways[box]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.loads.OnServer("s"), ga.loads.HasReports()
}

// startAttempts starts attempts of a gateway at the server s.
func (re *relayCluster) startAttempts(box string, attempts int) {
	ga := re.gateways[box]
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for range attempts {
		ga.pool.Started("s", 0, time.Now())
	}
}

func TestEachGatewayReceivesOtherGatewaysLoad(t *testing.T) {
	re := newRelayCluster(t)
	re.startAttempts("a", 1)
	re.startAttempts("b", 2)
	re.startAttempts("c", 4)
	for box, others := range map[string]uint32{"a": 6, "b": 5, "c": 3} {
		re.eventually(t, box, func() bool {
			known, _ := re.reportedWork(box)
			return known == others
		})
	}
}

// A gateway that no longer receives reports estimates the other gateways' load again instead of
// using old reports.
func TestOldLoadReportsExpire(t *testing.T) {
	re := newRelayCluster(t)
	re.startAttempts("a", 1)
	re.eventually(t, "c receives the report", func() bool {
		known, _ := re.reportedWork("c")
		return known == 1
	})
	for _, box := range []string{"a", "b"} {
		re.disableRelay(box)
	}
	began := time.Now()
	re.eventually(t, "c drops the report", func() bool {
		_, ok := re.reportedWork("c")
		return !ok
	})
	require.Less(t, time.Since(began), 3*time.Second)
}

// A report is bounded in size, however many servers there are, so that it can be sent often.
func TestLoadReportsListBusiestServers(t *testing.T) {
	ga := &Gateway{Box: "a"}
	ga.prepare()
	for i := range 1500 {
		for range 1 + i%300 {
			ga.pool.Started(fmt.Sprint(i), 0, time.Now())
		}
	}
	for _, re := range []relay.Report{ga.report(false), ga.report(true), ga.Reported(relay.Report{Box: "b"})} {
		require.Len(t, re.Work, maxLoadServers)
		data, err := cbor.Marshal(re)
		require.NoError(t, err)
		require.Less(t, len(data), 1000)
		for _, n := range re.Work {
			require.Greater(t, n, uint32(280))
		}
	}
}

// A gateway that becomes a collector reports as one from then on, also to the gateway that it
// reported to before.
func TestNewCollectorReportsAsCollector(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop(), Box: "a", DataCentre: "dc"}
	ga.prepare()
	member := func(box string, link int) relay.Member {
		return relay.Member{Box: box, DataCentre: "dc", Address: "127.0.0.1:1", LinkMbps: link}
	}
	for box, link := range map[string]int{"a": 1, "b": 2, "c": 2} {
		ga.memberJoined(member(box, link))
	}
	before := ga.loadPeers(time.Now())
	require.Len(t, before, 1)
	require.False(t, before[0].asCollector)
	ga.memberLeft("b")
	require.Equal(t, []loadPeer{{member("c", 2), true}}, ga.loadPeers(time.Now()))
}
