package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newRunner(process uint64) *Runner {
	return &Runner{Process: process, LeaseTTL: 3 * time.Second, Length: length, Delay: delay}
}

// report makes one process report to another and returns the cursor to continue with.
func report(cu Cursor, from, to *Runner, fromNeeds, toNeeds bool) Cursor {
	sent := from.Outgoing(cu, toNeeds)
	return from.Replied(cu, sent, to.Receive(sent, true, fromNeeds), true)
}

func (ru *Runner) total() int {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	n := 0
	for _, el := range ru.ledger.cells {
		n += int(el.Value.(*cell).entry.Count)
	}
	return n
}

// A collector that restarts has lost what gateways had reported to its predecessor on the same box.
func TestCountsAreSentAgainToARestartedCollector(t *testing.T) {
	member, collector := newRunner(2), newRunner(4)
	member.Count("a")
	cu := report(Cursor{}, member, collector, false, true)
	cu = report(cu, member, collector, false, true)
	require.Equal(t, 1, collector.total())
	require.Empty(t, member.Outgoing(cu, true).Entries)
	restarted := newRunner(6)
	member.Count("a")
	cu = report(cu, member, restarted, false, true)
	report(cu, member, restarted, false, true)
	require.Equal(t, 2, restarted.total())
}

// The holder's counts of gateways that have ended since are needed by a later holder. They reach it
// through the process that would have succeeded the earlier one.
func TestCountsOfEndedGatewaysReachALaterHolder(t *testing.T) {
	holder, successor, later := newRunner(2), newRunner(4), newRunner(6)
	holder.Receive(&Message{Process: 8, WallMicros: time.Now().UnixMicro(), Entries: []Entry{{Process: 8, Window: 5, Team: "a", Count: 3}}}, true, false)
	cu := report(Cursor{}, successor, holder, false, true)
	require.Zero(t, successor.total())
	cu = report(cu, successor, holder, true, false)
	require.Equal(t, 3, successor.total())
	require.Empty(t, holder.Receive(successor.Outgoing(cu, false), false, true).Entries, "only once")
	require.Empty(t, successor.Outgoing(cu, true).Entries, "what came from a process is not sent back to it")
	report(Cursor{}, later, successor, true, false)
	require.Equal(t, 3, later.total())
}
