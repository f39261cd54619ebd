package gateway

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// happening is what happens at one moment of a history.
type eventKind string

const (
	serverDrains    eventKind = "server drains"
	serverStops     eventKind = "server ends"
	serverStarts    eventKind = "server starts"
	centreEvacuated eventKind = "data centre evacuated"
	centreRestored  eventKind = "data centre given back"
	configWritten   eventKind = "configuration"
	storeCopied     eventKind = "copy"
	storeRestored   eventKind = "restore"
	storeLost       eventKind = "store away"
	storeRegained   eventKind = "store back"
	gatewayReplaced eventKind = "gateway replaced"
)

// step is a happening after a pause; which names a server, a data centre or a gateway.
type historyStep struct {
	pause time.Duration
	what  eventKind
	index int
}

// history is what happens to a store that several gateways share.
type history struct {
	gateways int
	steps    []historyStep
	// rewriteAfter is how long after a restore operators and servers write again what was lost.
	rewriteAfter time.Duration
	// silent is set if the store does not say that it went back.
	silent bool
}

func drawHistory(rt *rapid.T) history {
	hi := history{
		gateways:     rapid.SampledFrom([]int{1, 2, 4, 7, 23, 60}).Draw(rt, "gateways"),
		rewriteAfter: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "rewrite ms")) * time.Millisecond,
	}
	for range rapid.IntRange(3, 14).Draw(rt, "steps") {
		hi.steps = append(hi.steps, historyStep{
			pause: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause ms")) * time.Millisecond,
			what: rapid.SampledFrom([]eventKind{
				serverDrains, serverStops, serverStarts, centreEvacuated, centreRestored, configWritten,
				storeCopied, storeCopied, storeRestored, storeRestored, storeLost, storeRegained, gatewayReplaced,
			}).Draw(rt, "what"),
			index: rapid.IntRange(0, serverCount-1).Draw(rt, "which"),
		})
	}
	return hi
}

// truth is what operators and servers have written, whether or not the store holds it.
type expectedState struct {
	draining, ended map[string]time.Time
	evacuated       map[string]bool
	version         uint64
	// stable is when gateways could last hear of what was written before, back when the store
	// came back after an outage.
	stable, regained time.Time
}

// play is a history while it is played.
type historyRun struct {
	*testCluster

	expected expectedState
	// copy is how many changes the store's newest copy holds.
	copy      int
	storeDown bool
	// rewriteAt is when what was lost is written again, zero if nothing was.
	rewriteAt time.Time
	// wrong says what was seen that must not be.
	violations []string
}

// run plays a history and returns what was seen that must not be.
func (hi history) run(t *testing.T) (wrong []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pl := &historyRun{testCluster: newTestCluster(t, hi.gateways), expected: expectedState{
			draining: map[string]time.Time{}, ended: map[string]time.Time{}, evacuated: map[string]bool{}, version: 1,
		}}
		pl.servers.store.hidesEra = hi.silent
		pl.copy = pl.servers.store.changeCount()
		for _, st := range hi.steps {
			pl.watch(st.pause)
			pl.do(st, hi.rewriteAfter)
		}
		pl.do(historyStep{what: storeRegained}, 0)
		pl.watch(hi.rewriteAfter + rewriteGrace + 2*restoredWithin)
		pl.checkEnd()
		wrong = pl.violations
	})
	return wrong
}

// watch lets time pass, writes again what was lost, and looks at what gateways do.
func (pl *historyRun) watch(lasts time.Duration) {
	const every = 100 * time.Millisecond
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(every) {
		if !pl.rewriteAt.IsZero() && !time.Now().Before(pl.rewriteAt) && !pl.storeDown {
			pl.rewrite()
		}
		pl.check()
	}
}

func (pl *historyRun) do(st historyStep, rewriteAfter time.Duration) {
	ke, now := pl.servers.store, time.Now()
	id, dataCentre := fmt.Sprint("s", st.index+1), fmt.Sprint("dc", st.index%3)
	_, ended := pl.expected.ended[id]
	switch {
	case st.what == storeRegained:
		pl.disconnectAll(false)
		if pl.storeDown {
			pl.expected.regained = now
		}
		pl.storeDown, pl.expected.stable = false, now
	case pl.storeDown && st.what != gatewayReplaced && st.what != storeRestored:
	case st.what == storeLost:
		pl.disconnectAll(true)
		pl.storeDown = true
	case st.what == storeCopied:
		pl.copy = ke.changeCount()
	case st.what == storeRestored:
		ke.restore(pl.copy)
		pl.rewriteAt = now.Add(rewriteAfter)
	case st.what == gatewayReplaced:
		pl.replaceGateway(st.index % len(pl.gateways))
		pl.expected.stable = now
	case st.what == configWritten:
		pl.expected.version++
		pl.writeDocument()
	case st.what == serverStarts:
		pl.servers.start()
	case st.what == centreEvacuated && len(pl.expected.evacuated) == 0:
		pl.expected.evacuated[dataCentre] = true
		ke.add(Change{Evacuated: dataCentre})
	case st.what == centreRestored && pl.expected.evacuated[dataCentre]:
		delete(pl.expected.evacuated, dataCentre)
		ke.add(Change{Restored: dataCentre})
	case st.what == serverDrains && !ended:
		pl.servers.drainServer(id)
		pl.expected.draining[id] = now
	case st.what == serverStops && !ended:
		ke.add(Change{Gone: id})
		pl.expected.ended[id] = now
		if after := pl.expected.regained.Add(propagationTime); after.After(now) {
			pl.expected.ended[id] = after // it may be a lapse
		}
	}
}

func (pl *historyRun) writeDocument() {
	doc := pl.servers.document()
	doc.Version = pl.expected.version
	pl.servers.store.add(Change{Document: &doc})
}

// document returns the newest configuration that was ever written.
func (cr *crashingBackend) document() routing.Document {
	cr.store.mu.Lock()
	defer cr.store.mu.Unlock()
	return *cr.store.changes[0].Document
}

// rewrite lets operators and servers write again what they had written.
func (pl *historyRun) rewrite() {
	ke := pl.servers.store
	pl.rewriteAt, pl.expected.stable = time.Time{}, time.Now()
	pl.writeDocument()
	for _, se := range pl.servers.all() {
		id := se.listed.ID
		if _, ended := pl.expected.ended[id]; ended {
			ke.add(Change{Gone: id})
			continue
		}
		if _, draining := pl.expected.draining[id]; draining {
			pl.servers.drainServer(id)
			continue
		}
		ke.add(Change{Server: &se.listed})
	}
	for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
		if pl.expected.evacuated[dataCentre] {
			ke.add(Change{Evacuated: dataCentre})
		} else {
			ke.add(Change{Restored: dataCentre})
		}
	}
}

// check looks for gateways that send to servers which left or ended long enough ago.
func (pl *historyRun) check() {
	if pl.storeDown || !pl.rewriteAt.IsZero() {
		return
	}
	bound := time.Now().Add(-propagationTime)
	if pl.expected.stable.After(bound) {
		return
	}
	for _, left := range []map[string]time.Time{pl.expected.draining, pl.expected.ended} {
		for id, at := range left {
			for i, ga := range pl.gateways {
				if at.Before(bound) && ga.sendsTo(id) {
					pl.violations = append(pl.violations, fmt.Sprintf("gateway %d sends to %s, which left %s ago", i, id, time.Since(at)))
				}
			}
		}
	}
}

// checkEnd compares what each gateway does in the end with what was written.
func (pl *historyRun) checkEnd() {
	for i, ga := range pl.gateways {
		if got := ga.Table().Version(); got != pl.expected.version {
			pl.violations = append(pl.violations, fmt.Sprintf("gateway %d has version %d in force, not %d", i, got, pl.expected.version))
		}
		for _, se := range pl.servers.all() {
			id := se.listed.ID
			_, draining := pl.expected.draining[id]
			_, ended := pl.expected.ended[id]
			want := !draining && !ended && !pl.expected.evacuated[se.listed.DataCentre]
			if got := ga.sendsTo(id); got != want {
				pl.violations = append(pl.violations, fmt.Sprintf("gateway %d sends to %s: %t", i, id, got))
			}
		}
	}
}

// fewHistories is how many histories are played unless LINNETRUDDER_ALL_PLAYS is set.
const defaultHistories = 15

// Whenever the store goes back, and whatever else happens: no gateway sends to a server that left,
// and in the end each works from what operators and servers have written.
func TestHistoriesWithRestoredStores(t *testing.T) {
	played, all := 0, os.Getenv("LINNETRUDDER_ALL_PLAYS") != ""
	rapid.Check(t, func(rt *rapid.T) {
		hi := drawHistory(rt)
		if played++; played > defaultHistories && !all {
			return
		}
		if wrong := hi.run(t); len(wrong) > 0 {
			rt.Fatalf("%+v:\n%s (%d in all)", hi, wrong[0], len(wrong))
		}
	})
}

// The naive gateway compares revisions by their number.
func TestANaiveGatewayMissesWhatIsWrittenAfterARestore(t *testing.T) {
	hi := history{gateways: 23, steps: []historyStep{{what: storeCopied}}}
	for range 3 * serverCount {
		hi.steps = append(hi.steps, historyStep{what: configWritten})
	}
	hi.steps = append(hi.steps, historyStep{pause: 2 * time.Second, what: storeRestored}, historyStep{what: serverDrains})
	require.Empty(t, hi.run(t))
	hi.silent = true
	require.NotEmpty(t, hi.run(t))
}

func TestServerThatEndsRightAfterARestoreIsDropped(t *testing.T) {
	hi := history{gateways: 7, rewriteAfter: 3 * time.Millisecond, steps: []historyStep{
		{pause: 3 * time.Millisecond, what: configWritten},
		{pause: 224 * time.Millisecond, what: storeCopied},
		{pause: 4 * time.Millisecond, what: storeRestored},
		{what: gatewayReplaced, index: 8},
		{pause: 23 * time.Millisecond, what: serverStops},
		{what: gatewayReplaced, index: 2},
		{what: gatewayReplaced, index: 9},
	}}
	for range 10 {
		require.Empty(t, hi.run(t))
	}
}
