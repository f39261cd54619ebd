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

// eventKind is the kind of an event of a history.
type eventKind string

const (
	serverDrains    eventKind = "server drains"
	serverStops     eventKind = "server entry ended"
	serverStarts    eventKind = "server starts"
	centreEvacuated eventKind = "data centre evacuated"
	centreRestored  eventKind = "evacuation ended"
	configWritten   eventKind = "configuration written"
	storeCopied     eventKind = "store copied"
	storeRestored   eventKind = "store restored"
	storeLost       eventKind = "store unreachable"
	storeRegained   eventKind = "store reachable"
	gatewayReplaced eventKind = "gateway replaced"
)

// historyStep is an event after a pause. index selects a server, a data centre or a gateway.
type historyStep struct {
	pause time.Duration
	kind  eventKind
	index int
}

// history is a sequence of events at a key-value service that several gateways share.
type history struct {
	gateways int
	steps    []historyStep
	// rewriteAfter is how long after a restore operators and servers write lost entries again.
	rewriteAfter time.Duration
	// restoreHidden is set if the store's responses do not reveal that it was restored.
	restoreHidden bool
}

func drawHistory(rt *rapid.T) history {
	hi := history{
		gateways:     rapid.SampledFrom([]int{1, 2, 4, 7, 23, 60}).Draw(rt, "gateways"),
		rewriteAfter: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "rewrite ms")) * time.Millisecond,
	}
	for range rapid.IntRange(3, 14).Draw(rt, "steps") {
		hi.steps = append(hi.steps, historyStep{
			pause: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause ms")) * time.Millisecond,
			kind: rapid.SampledFrom([]eventKind{
				serverDrains, serverStops, serverStarts, centreEvacuated, centreRestored, configWritten,
				storeCopied, storeCopied, storeRestored, storeRestored, storeLost, storeRegained, gatewayReplaced,
			}).Draw(rt, "kind"),
			index: rapid.IntRange(0, serverCount-1).Draw(rt, "index"),
		})
	}
	return hi
}

// expectedState is what operators and servers have written, whether or not the store contains it.
type expectedState struct {
	draining, ended map[string]time.Time
	evacuated       map[string]bool
	version         uint64
	// stable is the end of the last outage, replacement of a gateway or rewrite. After it gateways need
	// time to learn of earlier writes. regained is when the store was last reachable again after an
	// outage.
	stable, regained time.Time
}

// historyRun is the state of a history that is being executed.
type historyRun struct {
	*testCluster

	expected expectedState
	// copied is the number of changes in the store's newest copy.
	copied    int
	storeDown bool
	// rewriteAt is when lost entries are written again, zero if none were lost.
	rewriteAt time.Time
	// violations describes the violations that were observed.
	violations []string
}

// run executes a history and returns the violations that were observed.
func (hi history) run(t *testing.T) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		hr := &historyRun{testCluster: newTestCluster(t, hi.gateways), expected: expectedState{
			draining: map[string]time.Time{}, ended: map[string]time.Time{}, evacuated: map[string]bool{}, version: 1,
		}}
		hr.servers.store.hidesEra = hi.restoreHidden
		hr.copied = hr.servers.store.changeCount()
		for _, st := range hi.steps {
			hr.advance(st.pause)
			hr.apply(st, hi.rewriteAfter)
		}
		hr.apply(historyStep{kind: storeRegained}, 0)
		hr.advance(hi.rewriteAfter + rewriteGrace + 2*restoredWithin)
		hr.checkEnd()
		violations = hr.violations
	})
	return violations
}

// advance lets time pass, writes lost entries again when that is due, and checks the gateways.
func (hr *historyRun) advance(lasts time.Duration) {
	const every = 100 * time.Millisecond
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(every) {
		if !hr.rewriteAt.IsZero() && !time.Now().Before(hr.rewriteAt) && !hr.storeDown {
			hr.rewriteLost()
		}
		hr.check()
	}
}

func (hr *historyRun) apply(st historyStep, rewriteAfter time.Duration) {
	ke, now := hr.servers.store, time.Now()
	id, dataCentre := fmt.Sprint("s", st.index+1), fmt.Sprint("dc", st.index%3)
	_, ended := hr.expected.ended[id]
	switch {
	case st.kind == storeRegained:
		hr.disconnectAll(false)
		if hr.storeDown {
			hr.expected.regained = now
		}
		hr.storeDown, hr.expected.stable = false, now
	case hr.storeDown && st.kind != gatewayReplaced && st.kind != storeRestored:
	case st.kind == storeLost:
		hr.disconnectAll(true)
		hr.storeDown = true
	case st.kind == storeCopied:
		hr.copied = ke.changeCount()
	case st.kind == storeRestored:
		ke.restore(hr.copied)
		hr.rewriteAt = now.Add(rewriteAfter)
	case st.kind == gatewayReplaced:
		hr.replaceGateway(st.index % len(hr.gateways))
		hr.expected.stable = now
	case st.kind == configWritten:
		hr.expected.version++
		hr.writeDocument()
	case st.kind == serverStarts:
		hr.servers.start()
	case st.kind == centreEvacuated && len(hr.expected.evacuated) == 0:
		hr.expected.evacuated[dataCentre] = true
		ke.add(Change{Evacuated: dataCentre})
	case st.kind == centreRestored && hr.expected.evacuated[dataCentre]:
		delete(hr.expected.evacuated, dataCentre)
		ke.add(Change{Restored: dataCentre})
	case st.kind == serverDrains && !ended:
		hr.servers.drainServer(id)
		hr.expected.draining[id] = now
	case st.kind == serverStops && !ended:
		ke.add(Change{Gone: id})
		hr.expected.ended[id] = now
		if after := hr.expected.regained.Add(propagationTime); after.After(now) {
			hr.expected.ended[id] = after // gateways may take the entry for one that was lost in the outage
		}
	}
}

func (hr *historyRun) writeDocument() {
	doc := hr.servers.document()
	doc.Version = hr.expected.version
	hr.servers.store.add(Change{Document: &doc})
}

// document returns the first configuration, of which the others differ in their version only.
func (cr *crashingBackend) document() routing.Document {
	cr.store.mu.Lock()
	defer cr.store.mu.Unlock()
	return *cr.store.changes[0].Document
}

// rewriteLost makes operators and servers write again what they had written.
func (hr *historyRun) rewriteLost() {
	ke := hr.servers.store
	hr.rewriteAt, hr.expected.stable = time.Time{}, time.Now()
	hr.writeDocument()
	for _, se := range hr.servers.all() {
		id := se.listed.ID
		if _, ended := hr.expected.ended[id]; ended {
			ke.add(Change{Gone: id})
			continue
		}
		if _, draining := hr.expected.draining[id]; draining {
			hr.servers.drainServer(id)
			continue
		}
		ke.add(Change{Server: &se.listed})
	}
	for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
		if hr.expected.evacuated[dataCentre] {
			ke.add(Change{Evacuated: dataCentre})
		} else {
			ke.add(Change{Restored: dataCentre})
		}
	}
}

// check records a violation for each gateway that still sends to a server that began to drain or
// ended more than propagationTime ago.
func (hr *historyRun) check() {
	if hr.storeDown || !hr.rewriteAt.IsZero() {
		return
	}
	bound := time.Now().Add(-propagationTime)
	if hr.expected.stable.After(bound) {
		return
	}
	for _, left := range []map[string]time.Time{hr.expected.draining, hr.expected.ended} {
		for id, at := range left {
			for i, ga := range hr.gateways {
				if at.Before(bound) && ga.sendsTo(id) {
					hr.violations = append(hr.violations, fmt.Sprintf("gateway %d sends to %s, which left %s ago", i, id, time.Since(at)))
				}
			}
		}
	}
}

// checkEnd compares the final behaviour of each gateway with what was written.
func (hr *historyRun) checkEnd() {
	for i, ga := range hr.gateways {
		if got := ga.Table().Version(); got != hr.expected.version {
			hr.violations = append(hr.violations, fmt.Sprintf("gateway %d has version %d in force, not %d", i, got, hr.expected.version))
		}
		for _, se := range hr.servers.all() {
			id := se.listed.ID
			_, draining := hr.expected.draining[id]
			_, ended := hr.expected.ended[id]
			want := !draining && !ended && !hr.expected.evacuated[se.listed.DataCentre]
			if got := ga.sendsTo(id); got != want {
				hr.violations = append(hr.violations, fmt.Sprintf("gateway %d sends to %s: %t", i, id, got))
			}
		}
	}
}

// defaultHistories is how many histories are executed unless LINNETRUDDER_ALL_PLAYS is set.
const defaultHistories = 15

// For any history of events before and after restores of the store, no gateway sends to a server
// that has left, and in the end each gateway's state is what operators and servers have written.
func TestHistoriesWithRestoredStores(t *testing.T) {
	executed, all := 0, os.Getenv("LINNETRUDDER_ALL_PLAYS") != ""
	rapid.Check(t, func(rt *rapid.T) {
		hi := drawHistory(rt)
		if executed++; executed > defaultHistories && !all {
			return
		}
		if violations := hi.run(t); len(violations) > 0 {
			rt.Fatalf("%+v:\n%s (%d in total)", hi, violations[0], len(violations))
		}
	})
}

// Gateways that cannot detect a restore, and so compare revisions by number only, must violate the
// checks. This shows that the checks detect missed changes.
func TestChangesAfterUndetectedRestoreAreMissed(t *testing.T) {
	hi := history{gateways: 23, steps: []historyStep{{kind: storeCopied}}}
	for range 3 * serverCount {
		hi.steps = append(hi.steps, historyStep{kind: configWritten})
	}
	hi.steps = append(hi.steps, historyStep{pause: 2 * time.Second, kind: storeRestored}, historyStep{kind: serverDrains})
	require.Empty(t, hi.run(t))
	hi.restoreHidden = true
	require.NotEmpty(t, hi.run(t))
}

func TestServerRemovedRightAfterRestoreIsDropped(t *testing.T) {
	hi := history{gateways: 7, rewriteAfter: 3 * time.Millisecond, steps: []historyStep{
		{pause: 3 * time.Millisecond, kind: configWritten},
		{pause: 224 * time.Millisecond, kind: storeCopied},
		{pause: 4 * time.Millisecond, kind: storeRestored},
		{kind: gatewayReplaced, index: 8},
		{pause: 23 * time.Millisecond, kind: serverStops},
		{kind: gatewayReplaced, index: 2},
		{kind: gatewayReplaced, index: 9},
	}}
	for range 10 {
		require.Empty(t, hi.run(t))
	}
}
