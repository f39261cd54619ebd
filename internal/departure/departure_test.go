package departure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

func rev(number uint64) revision.Revision { return revision.Revision{Number: number} }

func inEra(era, number uint64) revision.Revision { return revision.Revision{Era: era, Number: number} }

func TestDeparturesReachAGatewayThatIsBehind(t *testing.T) {
	var ahead, behind Log
	ahead.Reset(rev(10), nil)
	behind.Reset(rev(10), nil)
	ahead.Append(rev(12), []string{"a"})
	ahead.Append(rev(15), []string{"b"})
	sent := time.Unix(1000, 0)
	me := ahead.Message(behind.Known(), 200*time.Millisecond)
	require.Equal(t, []Departure{{"a", rev(12)}, {"b", rev(15)}}, behind.Receive(*me, "x", sent))
	require.Equal(t, rev(15), behind.Known())
	at, source := behind.Confirmed()
	require.Equal(t, sent.Add(-200*time.Millisecond), at)
	require.Equal(t, "x", source)
	require.Empty(t, behind.Receive(*me, "x", sent), "known")
	require.Empty(t, ahead.Message(behind.Known(), 0).Departures)
}

func TestRequestConfirmsNoTime(t *testing.T) {
	var ahead, behind Log
	ahead.Reset(rev(10), nil)
	behind.Reset(rev(10), nil)
	ahead.Append(rev(12), []string{"a"})
	require.Len(t, behind.Receive(*ahead.Message(behind.Known(), 0), "x", time.Time{}), 1)
	at, _ := behind.Confirmed()
	require.Zero(t, at)
}

func TestIncompleteMessageAdvancesNothing(t *testing.T) {
	var ahead, behind Log
	behind.Reset(rev(5), nil)
	ahead.Reset(rev(10), []string{"a"})
	me := ahead.Message(behind.Known(), 0)
	require.Zero(t, me.After, "departures between 5 and 10 may be missing")
	require.Len(t, behind.Receive(*me, "x", time.Unix(1000, 0)), 1)
	require.Equal(t, rev(5), behind.Known())
	at, _ := behind.Confirmed()
	require.Zero(t, at)
}

func TestMessageForAnEarlierProcessAdvancesNothing(t *testing.T) {
	var ahead, restarted Log
	ahead.Reset(rev(10), nil)
	ahead.Append(rev(20), []string{"a"})
	ahead.Append(rev(30), []string{"b"})
	restarted.Reset(rev(15), nil)
	require.Len(t, restarted.Receive(*ahead.Message(rev(25), 0), "x", time.Unix(1000, 0)), 1)
	require.Equal(t, rev(15), restarted.Known())
}

func TestServerThatReturnsIsNotReported(t *testing.T) {
	var ahead Log
	ahead.Reset(rev(10), nil)
	ahead.Append(rev(12), []string{"a"})
	ahead.Return("a")
	require.Empty(t, ahead.Message(rev(10), 0).Departures)
}

func TestErasAreNotCompared(t *testing.T) {
	var newer, older Log
	older.Reset(inEra(1, 50), nil)
	newer.Reset(inEra(1, 50), nil)
	newer.Append(inEra(2, 7), []string{"a"})
	me := newer.Message(older.Known(), 0)
	require.Zero(t, me.After)
	require.Len(t, older.Receive(*me, "x", time.Unix(1000, 0)), 1)
	require.Equal(t, inEra(1, 50), older.Known())
}

func TestUnreadStateNeitherSendsNorReceives(t *testing.T) {
	var ahead, empty Log
	ahead.Reset(rev(10), []string{"a"})
	require.Nil(t, empty.Message(rev(0), 0))
	require.Empty(t, empty.Receive(*ahead.Message(rev(0), 0), "x", time.Unix(1000, 0)))
}

func TestDroppedDeparturesMakeMessagesIncomplete(t *testing.T) {
	var ahead Log
	ahead.Reset(rev(1), nil)
	for i := range uint64(maxDepartures + 1) {
		ahead.Append(rev(i+2), []string{fmt.Sprint(i)})
	}
	require.Zero(t, ahead.Message(rev(1), 0).After)
	require.Equal(t, rev(2), ahead.Message(rev(2), 0).After)
	require.Len(t, ahead.Message(rev(2), 0).Departures, maxDepartures)
}

// process is a gateway with its own position in the history.
type process struct {
	log Log
	// applied is the position, excluded the servers that other processes reported.
	applied  uint64
	excluded map[string]bool
	// known is what the process knows that each other one knows.
	known map[int]revision.Revision
}

// For any order of changes, complete reads, restarts and messages, which may be lost or late, a process
// knows all departures up to the revision that it claims.
func TestClaimedDeparturesAreKnownUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const count = 3
		departures := map[string]uint64{}
		var end uint64 = 1
		processes := make([]*process, count)
		restart := func(i int, at uint64) {
			processes[i] = &process{excluded: map[string]bool{}, known: map[int]revision.Revision{}, applied: at}
			processes[i].log.Reset(rev(at), nil)
		}
		for i := range count {
			restart(i, end)
		}
		type delivery struct {
			to, from int
			message  Message
		}
		var inFlight []delivery
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			i := rapid.IntRange(0, count-1).Draw(rt, "process")
			pr := processes[i]
			switch rapid.IntRange(0, 6).Draw(rt, "action") {
			case 0:
				end++
				if rapid.Bool().Draw(rt, "departure") {
					departures[fmt.Sprint("s", end)] = end
				}
			case 1, 2:
				to := min(end, pr.applied+uint64(rapid.IntRange(1, 5).Draw(rt, "changes")))
				var servers []string
				for server, at := range departures {
					if at > pr.applied && at <= to {
						servers = append(servers, server)
					}
				}
				pr.applied = to
				pr.log.Append(rev(to), servers)
			case 3:
				pr.applied = end
				pr.log.Reset(rev(end), nil)
			case 4:
				if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
					restart(i, max(1, end-min(end, uint64(rapid.IntRange(0, 20).Draw(rt, "behind")))))
				}
			case 5:
				to := rapid.IntRange(0, count-1).Draw(rt, "to")
				inFlight = append(inFlight, delivery{to, i, *pr.log.Message(pr.known[to], 0)})
			case 6:
				if len(inFlight) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "delivery")
				de := inFlight[n]
				inFlight = append(inFlight[:n], inFlight[n+1:]...)
				receiver := processes[de.to]
				for _, dep := range receiver.log.Receive(de.message, "", time.Time{}) {
					receiver.excluded[dep.Server] = true
				}
				receiver.known[de.from] = de.message.Known
			}
			for n, pr := range processes {
				for server, at := range departures {
					if at <= pr.log.Known().Number && at > pr.applied && !pr.excluded[server] {
						rt.Fatalf("process %d claims to know all departures up to %s, but not %s at %d", n, pr.log.Known(), server, at)
					}
				}
			}
		}
	})
}
