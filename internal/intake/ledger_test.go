package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testLimits leave 48 KiB to large requests and 16 KiB to small ones.
var testLimits = Limits{Memory: 64 << 10, SmallMemory: 16 << 10, Connections: 100, Unread: 1 << 20}

type testLedger struct {
	*testing.T
	Ledger
	now time.Time
}

func newTestLedger(t *testing.T) *testLedger {
	return &testLedger{T: t, Ledger: Ledger{Limits: testLimits}, now: time.Unix(1000, 0)}
}

// open opens a connection that reads a body.
func (tl *testLedger) open() *Conn {
	co, victim, ok := tl.Open(tl.now)
	require.True(tl, ok)
	require.Nil(tl, victim)
	tl.Move(co, Reading, tl.now)
	return co
}

// receive receives and charges bytes.
func (tl *testLedger) receive(co *Conn, bytes int) (Verdict, *Request) {
	tl.Received(co, bytes, tl.now)
	return tl.Charge(co.Request(), int64(bytes), tl.now)
}

func (tl *testLedger) requireGranted(co *Conn, bytes int) {
	tl.Helper()
	ve, victim := tl.receive(co, bytes)
	require.Equal(tl, Granted, ve)
	require.Nil(tl, victim)
}

func TestStalledRequestGivesWay(t *testing.T) {
	tl := newTestLedger(t)
	stalled, active := tl.open(), tl.open()
	tl.requireGranted(stalled, 24<<10)
	tl.requireGranted(active, 20<<10)
	for range 3 {
		tl.now = tl.now.Add(minAge)
		tl.requireGranted(active, 100)
	}
	newcomer := tl.open()
	ve, victim := tl.receive(newcomer, 24<<10)
	require.Equal(t, Wait, ve)
	require.Same(t, stalled.Request(), victim)
	require.True(t, stalled.Request().Evicted())
	ve, victim = tl.Charge(newcomer.Request(), 24<<10, tl.now)
	require.Equal(t, Wait, ve)
	require.Nil(t, victim, "no second request is ended while the first one has not released its memory")
	tl.Release(stalled.Request(), stalled.Request().Held())
	tl.requireGranted(newcomer, 24<<10)
}

// Guards against a caller that sends a few bytes now and then to keep much memory.
func TestProgressCountsInProportionToMemory(t *testing.T) {
	tl := newTestLedger(t)
	trickling, small := tl.open(), tl.open()
	tl.requireGranted(trickling, 47<<10)
	tl.requireGranted(small, 100)
	for range 5 {
		tl.now = tl.now.Add(minAge)
		tl.Received(trickling, 500, tl.now)
		tl.Received(small, 100, tl.now)
	}
	tl.requireGranted(tl.open(), 16<<10)
	_, victim := tl.receive(tl.open(), 2<<10)
	require.Same(t, trickling.Request(), victim)
}

func TestYoungAndCompleteRequestsAreKept(t *testing.T) {
	tl := newTestLedger(t)
	complete := tl.open()
	tl.requireGranted(complete, 24<<10)
	tl.Move(complete, Serving, tl.now)
	tl.now = tl.now.Add(time.Minute)
	young := tl.open()
	tl.requireGranted(young, 24<<10)
	tl.now = tl.now.Add(minAge / 2)
	ve, victim := tl.receive(tl.open(), 17<<10)
	require.Equal(t, Refused, ve)
	require.Nil(t, victim)
}

func TestSmallRequestsHaveMemoryOfTheirOwn(t *testing.T) {
	tl := newTestLedger(t)
	for range 2 {
		tl.requireGranted(tl.open(), 24<<10)
	}
	ve, _ := tl.receive(tl.open(), 17<<10)
	require.Equal(t, Refused, ve)
	for range 16 {
		tl.requireGranted(tl.open(), 1<<10)
	}
	growing := tl.open()
	ve, _ = tl.receive(growing, 1<<10)
	require.Equal(t, Refused, ve)
}

func TestConnectionsAreReplacedInOrder(t *testing.T) {
	tl := newTestLedger(t)
	tl.Limits.Connections = 7
	open := func(states ...State) *Conn {
		co, _, ok := tl.Open(tl.now)
		require.True(t, ok)
		for _, st := range states {
			tl.now = tl.now.Add(time.Millisecond)
			tl.Move(co, st, tl.now)
		}
		return co
	}
	serving := open(Serving)
	unread := open(Serving, Writing)
	idleLong := open(Serving, Idle)
	idleShort := open(Serving, Idle)
	again := open(Serving, Idle, Reading)
	unfinished := open(Reading)
	silent := open()
	tl.now = tl.now.Add(minStall)
	for _, want := range []*Conn{unfinished, silent, idleLong, idleShort, again, unread} {
		co, victim, ok := tl.Open(tl.now)
		require.True(t, ok)
		require.Same(t, want, victim)
		require.True(t, want.Closed())
		tl.Move(co, Serving, tl.now)
	}
	_, victim, ok := tl.Open(tl.now)
	require.False(t, ok, "all connections are served")
	require.Nil(t, victim)
	require.False(t, serving.Closed())
}

// Guards against bodies that keep their connections while newer callers lose theirs.
func TestUnfinishedBodiesGoBeforeNewerConnections(t *testing.T) {
	tl := newTestLedger(t)
	tl.Limits.Connections = 2
	reading := tl.open()
	silent, _, ok := tl.Open(tl.now.Add(time.Millisecond))
	require.True(t, ok)
	_, victim, _ := tl.Open(tl.now.Add(2 * time.Millisecond))
	require.Same(t, reading, victim)
	_, victim, _ = tl.Open(tl.now.Add(3 * time.Millisecond))
	require.Same(t, silent, victim)
}

func TestReceiveBuffersStayWithinTheirMemory(t *testing.T) {
	le := Ledger{Limits: NewLimits(160<<20, 4100)}
	sum, first := int64(0), 0
	for i := range le.Limits.Connections {
		co, _, ok := le.Open(time.Unix(int64(i), 0))
		require.True(t, ok)
		require.GreaterOrEqual(t, co.ReceiveBuffer(), MinReceiveBuffer)
		sum += int64(co.ReceiveBuffer())
		if i == 0 {
			first = co.ReceiveBuffer()
		}
	}
	require.Equal(t, maxReceiveBuffer, first)
	require.LessOrEqual(t, sum, le.Limits.Unread+int64(le.Limits.Connections)*MinReceiveBuffer)
}

// Guards against limits that do not fit the machines together.
func TestLimitsFitTheMemory(t *testing.T) {
	// ownMemory is what a process needs without callers, responseMemoryPart the part for buffered responses, aheadBytes
	// what is read ahead of a request that is being served.
	const ownMemory, responseMemoryPart, aheadBytes = 48 << 20, 8, 16 << 10
	for _, machine := range []struct {
		memoryMB int64
		files    int
	}{{160, 4096}, {160, 4100}, {184, 4100}, {216, 4096}, {256, 4096}, {284, 4100}, {536, 8192}} {
		memory := machine.memoryMB << 20
		li := NewLimits(memory, machine.files)
		heap := li.Memory + memory/responseMemoryPart + int64(li.Connections)*(connectionBytes+aheadBytes) + ownMemory
		unread := li.Unread + int64(li.Connections)*MinReceiveBuffer
		require.LessOrEqual(t, heap+unread, memory, "%d MB", machine.memoryMB)
		require.LessOrEqual(t, reservedFiles+ownFiles+2*li.Connections, machine.files)
		require.GreaterOrEqual(t, li.Memory-li.SmallMemory, int64(4<<20), "a body of the maximum size")
	}
}

// Guards against sums that differ from what is held, and against memory beyond the limits.
func TestSumsHoldInAllOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		le, now := Ledger{Limits: testLimits}, time.Unix(0, 0)
		le.Limits.Connections = 8
		var conns []*Conn
		released := map[*Request]bool{}
		var requests []*Request
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			pick := func() *Conn { return conns[rapid.IntRange(0, len(conns)-1).Draw(rt, "conn")] }
			switch op := rapid.IntRange(0, 5).Draw(rt, "op"); {
			case op == 0 || len(conns) == 0:
				if co, _, ok := le.Open(now); ok {
					conns = append(conns, co)
					requests = append(requests, co.Request())
				}
			case op == 1:
				le.Move(pick(), rapid.SampledFrom([]State{Reading, Serving, Writing, Idle}).Draw(rt, "state"), now)
			case op == 2:
				co := pick()
				le.Received(co, 1000, now)
				le.Charge(co.Request(), int64(rapid.IntRange(1, 30<<10).Draw(rt, "bytes")), now)
				requests = append(requests, co.Request())
			case op == 3:
				re := pick().Request()
				le.Release(re, re.Held())
			case op == 4:
				le.Close(pick())
			}
			sum, large := int64(0), int64(0)
			clear(released)
			for _, re := range requests {
				if released[re] {
					continue
				}
				released[re] = true
				sum += re.Held()
				if re.Held() > SmallBytes {
					large += re.Held()
				}
			}
			require.Equal(rt, sum, le.Used())
			require.Equal(rt, large, le.large)
			require.LessOrEqual(rt, sum, testLimits.Memory)
			require.LessOrEqual(rt, large, testLimits.Memory-testLimits.SmallMemory)
			require.LessOrEqual(rt, le.Connections(), 8)
		}
	})
}
