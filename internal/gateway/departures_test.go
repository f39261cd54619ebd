package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/choicelog"
	"github.com/linnetrudder/linnetrudder/internal/departure"
)

// departurePlay is a cluster in which faults occur while a server departs.
type departurePlay struct {
	*testCluster
	network *linkedNetwork
	// roots are the boxes that call the service, watchers those that others ask.
	roots, watchers []string
	frozen          []string
	turnedAway      []string
}

// freeze cuts boxes off from everything.
func (dp *departurePlay) freeze(boxes ...string) {
	dp.frozen = append(dp.frozen, boxes...)
	cu := dp.network.cuts
	cu.set(&cu.fromGateways, dp.frozen...)
	cu.set(&cu.fromService, append(slices.Clone(dp.frozen), dp.turnedAway...)...)
}

// otherWatcher returns the watcher beside the first root in its data centre.
func (dp *departurePlay) otherWatcher() string {
	for _, ga := range dp.gateways {
		if ga.DataCentre == dp.gateway(dp.roots[0]).DataCentre && ga.Box != dp.roots[0] && slices.Contains(dp.watchers, ga.Box) {
			return ga.Box
		}
	}
	return dp.watchers[len(dp.watchers)-1]
}

func (dp *departurePlay) gateway(box string) *Gateway {
	i := slices.IndexFunc(dp.gateways, func(ga *Gateway) bool { return ga.Box == box })
	return dp.gateways[i]
}

// departureFault is a fault at the time of a departure.
type departureFault struct {
	name  string
	occur func(dp *departurePlay)
}

func departureFaults() []departureFault {
	return []departureFault{
		{"root frozen", func(dp *departurePlay) { dp.freeze(dp.roots[0]) }},
		{"another root frozen", func(dp *departurePlay) { dp.freeze(dp.roots[1]) }},
		{"watcher frozen", func(dp *departurePlay) { dp.freeze(dp.otherWatcher()) }},
		{"roots but one turned away", func(dp *departurePlay) {
			running := slices.DeleteFunc(slices.Clone(dp.roots), func(box string) bool { return slices.Contains(dp.frozen, box) })
			dp.turnedAway = running[:len(running)-1]
			dp.freeze()
		}},
		{"service slow", func(dp *departurePlay) { dp.network.delayStore(450 * time.Millisecond) }},
		{"large configuration", func(dp *departurePlay) { dp.addRoutes(4200, 60) }},
		{"history lost", func(dp *departurePlay) { dp.loseHistory() }},
		{"little processor time", func(dp *departurePlay) {
			for _, ga := range dp.gateways {
				if ga.LinkMbps == smallBoxLinkMbps {
					dp.network.delayReads(100*time.Millisecond, ga.Box)
				}
			}
		}},
	}
}

// loseHistory makes the service forget its history, once with the next change.
func (dp *departurePlay) loseHistory() {
	ke := dp.servers.store
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.compacted = len(ke.changes) + 1
}

// playDeparture returns how long a server that departs some time after faults occurred is used by the
// gateways that are not frozen.
func playDeparture(t *testing.T, gateways int, bound, after time.Duration, faults ...departureFault) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc, ln := newLinkedCluster(t, gateways, bound)
		dp := &departurePlay{testCluster: sc, network: ln}
		dp.roots, dp.watchers = watcherBoxes(sc)
		if len(dp.roots) == 0 {
			dp.roots = dp.watchers
		}
		for _, fa := range faults {
			fa.occur(dp)
		}
		time.Sleep(after)
		sc.drain("s1")
		took = sc.awaitUnused("s1", 20*time.Second, dp.frozen...)
		ln.delayStore(0)
		dp.frozen, dp.turnedAway = nil, nil
		dp.freeze()
	})
	return took
}

// The bounds are those of deployments of each size. Two thirds of them leave a third to the request.
func TestDeparturesAreKnownWithinTwoThirdsOfTheBound(t *testing.T) {
	faults := departureFaults()
	for _, size := range []struct {
		gateways int
		bound    time.Duration
		// apart is the number of pairs of faults from one that is played to the next, delays the times from
		// the faults to the departure.
		apart  int
		delays []time.Duration
	}{
		{4, 2 * time.Second, 1, []time.Duration{0, 350 * time.Millisecond}},
		{27, 3 * time.Second, 1, []time.Duration{0, 350 * time.Millisecond}},
		{largeCluster, 4 * time.Second, 4, []time.Duration{0}},
	} {
		pair := 0
		for i, first := range faults {
			for _, second := range faults[i+1:] {
				if pair++; pair%(playEach*size.apart) != 0 {
					continue
				}
				t.Run(fmt.Sprint(size.gateways, " gateways, ", first.name, ", ", second.name), func(t *testing.T) {
					t.Parallel()
					for _, after := range size.delays {
						took := playDeparture(t, size.gateways, size.bound, after, first, second)
						t.Logf("%s after %s: %s", t.Name(), after, took)
						require.LessOrEqual(t, took, size.bound*2/3)
					}
				})
			}
		}
	}
}

func TestOutdatedDeparturesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga, log := newServingGateway()
		ga.Bounds.MaxDrain = 3 * time.Second
		time.Sleep(2 * time.Second)
		ga.checkDepartures(time.Now())
		require.NotContains(t, log.String(), `"event":537`)
		time.Sleep(time.Millisecond)
		ga.checkDepartures(time.Now())
		ga.checkDepartures(time.Now())
		require.Equal(t, 1, strings.Count(log.String(), `"event":537,"source":"service","age_ms":2001`))
		ga.receiveDepartures("b7", &departure.Message{Known: rev(1), After: rev(1), Age: 300 * time.Millisecond}, time.Now(), time.Now())
		ga.checkDepartures(time.Now())
		require.Contains(t, log.String(), `"event":538,"source":"b7","age_ms":300`)
	})
}

func TestReportedDepartureIsExplainedInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga, log := newServingGateway()
		time.Sleep(time.Second)
		ga.choices.Record("x1", choicelog.Choice{Request: "r7", At: time.Now(), StateAge: time.Second, Source: "b4"})
		ga.receiveDepartures("b7", &departure.Message{Known: rev(5), After: rev(1), Departures: []departure.Departure{{Server: "x1", Revision: rev(4)}}},
			time.Now(), time.Now())
		require.Contains(t, log.String(), `"event":536,"server":"x1","detail":"revision 0/4","source":"b7","behind_ms":1000,"request":"r7"`)
		require.NotContains(t, pickedServers(ga, time.Now()), "x1")
		ga.applyWatch(State{Revision: rev(6)}, time.Now(), time.Second, time.Now())
		require.Contains(t, pickedServers(ga, time.Now()), "x1", "the entry decides")
	})
}

func TestGatewaysAreNotCountedTwiceWhenTheyChangeTheirCollector(t *testing.T) {
	const gateways = 27
	synctest.Test(t, func(t *testing.T) {
		sc, ln := newLinkedCluster(t, gateways, 3*time.Second)
		dp := &departurePlay{testCluster: sc, network: ln}
		dp.roots, dp.watchers = watcherBoxes(sc)
		highest := func(lasts time.Duration) int {
			most := 0
			for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, ga := range sc.gateways {
					ga.mu.Lock()
					most = max(most, ga.fleet.Estimate(time.Now()))
					ga.mu.Unlock()
				}
			}
			return most
		}
		// Those of one data centre that change their collector may be counted in two reports until the
		// earlier one expires.
		const most = gateways + gateways/3
		require.Equal(t, gateways, highest(time.Second), "at the start")
		dp.freeze(dp.roots[0], dp.otherWatcher())
		require.LessOrEqual(t, highest(3*time.Second), most)
		dp.frozen = nil
		dp.freeze()
		require.LessOrEqual(t, highest(10*time.Second), most)
	})
}
