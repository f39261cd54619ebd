package crowd_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/standin/crowd"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// holdTime is how long a crowd stays after each of its clients has sent what it sends.
const holdTime = 2 * time.Second

// crowdCase is a crowd before a process.
type crowdCase struct {
	kind crowd.Kind
	size int
}

// gatewayCrowds are the crowds before a gateway, entryCrowds those before an entry.
var (
	gatewayCrowds = []crowdCase{
		{crowd.LargeChunksShort, 60},
		{crowd.OneChunkShort, 60},
		{crowd.LengthShort, 60},
		{crowd.ByteChunksShort, 60},
		{crowd.DeadlineShort, 60},
		{crowd.SmallShort, 900},
		{crowd.WholeBodies, 60},
		{crowd.EndlessChunks, 100},
		{crowd.Announced, 900},
		{crowd.Silent, 900},
		{crowd.LongHeads, 900},
		{crowd.TooLarge, 60},
		{crowd.EndlessExtension, 60},
		{crowd.EndlessTrailer, 60},
		{crowd.NeverRead, 150},
		{crowd.Pipelined, 100},
		{crowd.BytesBehind, 300},
	}
	entryCrowds = []crowdCase{
		{crowd.LargeChunksShort, 100},
		{crowd.LengthShort, 100},
		{crowd.ByteChunksShort, 100},
		{crowd.SmallShort, 900},
		{crowd.WholeBodies, 100},
		{crowd.EndlessChunks, 100},
		{crowd.Announced, 900},
		{crowd.Silent, 900},
		{crowd.LongHeads, 300},
		{crowd.TooLarge, 60},
		{crowd.EndlessExtension, 60},
		{crowd.EndlessTrailer, 60},
		{crowd.Pipelined, 100},
		{crowd.BytesBehind, 300},
		{crowd.ManyFields, 100},
		{crowd.ManyMessages, 100},
		{crowd.DeepField, 100},
	}
)

func TestGatewaySurvivesCrowd(t *testing.T) {
	for _, cc := range gatewayCrowds {
		t.Run(string(cc.kind), func(t *testing.T) { testCrowd(startGateway(t), cc) })
	}
}

func TestEntrySurvivesCrowd(t *testing.T) {
	for _, cc := range entryCrowds {
		t.Run(string(cc.kind), func(t *testing.T) { testCrowd(startEntry(t), cc) })
	}
}

// Guards against heads whose memory grows when they are parsed. The processes have as many connections as their
// memory allows.
func TestProcessSurvivesManyHeaders(t *testing.T) {
	for name, start := range map[string]func(*testing.T, int) *process{"gateway": startGatewayWith, "entry": startEntryWith} {
		t.Run(name, func(t *testing.T) { testCrowd(start(t, manyFiles), crowdCase{crowd.ManyHeaders, 900}) })
	}
}

// testCrowd gathers a crowd before a process. Beside it and after it ordinary requests are answered.
func testCrowd(ps *process, cc crowdCase) {
	ps.t.Helper()
	leave := ps.gather(cc)
	ps.awaitService("beside the crowd")
	leave()
	ps.awaitService("after the crowd")
	ps.requireAlive()
}

// gather lets a crowd gather and hold what it can. The returned function makes it leave.
func (ps *process) gather(cc crowdCase) (leave func()) {
	ps.t.Helper()
	ta := ps.target
	if cc.kind == crowd.NeverRead || cc.kind == crowd.Pipelined {
		ta.Head = strings.Replace(ta.Head, "/safe/x", largePath, 1)
	}
	ctx, cancel := context.WithCancel(ps.t.Context())
	var wg sync.WaitGroup
	settled := make(chan struct{})
	cr := &crowd.Crowd{Kind: cc.kind, Size: cc.size, Target: ta}
	wg.Go(func() { cr.Run(ctx, func() { close(settled) }) })
	wg.Go(func() { ps.usage.Run(ctx) })
	select {
	case <-settled:
	case <-time.After(waitTimeout):
		ps.t.Log("part of the crowd still sends")
	}
	fleet.SleepRunning(holdTime)
	return func() {
		cancel()
		wg.Wait()
	}
}

// Guards against bodies that are read after the deadline of their request.
func TestUnfinishedBodyEndsWithItsDeadline(t *testing.T) {
	const clients = 5
	ps := startGateway(t)
	ctx, cancel := context.WithCancel(t.Context())
	cr := &crowd.Crowd{Kind: crowd.DeadlineShort, Size: clients, Target: ps.target}
	var wg sync.WaitGroup
	wg.Go(func() { cr.Run(ctx, func() {}) })
	err := fleet.WaitUntil(waitTimeout, "connections to be ended", func() bool { return cr.Ended() >= clients })
	cancel()
	wg.Wait()
	require.NoError(t, err)
}
