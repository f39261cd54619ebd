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
type happening string

const (
	serverDrains   happening = "server drains"
	serverGoes     happening = "server ends"
	serverStarts   happening = "server starts"
	centreEmptied  happening = "data centre evacuated"
	centreReturned happening = "data centre given back"
	configured     happening = "configuration"
	copied         happening = "copy"
	restored       happening = "restore"
	storeAway      happening = "store away"
	storeBack      happening = "store back"
	gatewayLost    happening = "gateway replaced"
)

// step is a happening after a pause; which names a server, a data centre or a gateway.
type step struct {
	pause time.Duration
	what  happening
	which int
}

// history is what happens to a store that several gateways share.
type history struct {
	gateways int
	steps    []step
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
		hi.steps = append(hi.steps, step{
			pause: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause ms")) * time.Millisecond,
			what: rapid.SampledFrom([]happening{
				serverDrains, serverGoes, serverStarts, centreEmptied, centreReturned, configured,
				copied, copied, restored, restored, storeAway, storeBack, gatewayLost,
			}).Draw(rt, "what"),
			which: rapid.IntRange(0, serverCount-1).Draw(rt, "which"),
		})
	}
	return hi
}

// truth is what operators and servers have written, whether or not the store holds it.
type truth struct {
	draining, ended map[string]time.Time
	evacuated       map[string]bool
	version         uint64
	// stable is when gateways could last hear of what was written before, back when the store
	// came back after an outage.
	stable, back time.Time
}

// play is a history while it is played.
type play struct {
	*testCluster

	truth truth
	// copy is how many changes the store's newest copy holds.
	copy int
	away bool
	// rewriteAt is when what was lost is written again, zero if nothing was.
	rewriteAt time.Time
	// wrong says what was seen that must not be.
	wrong []string
}

// run plays a history and returns what was seen that must not be.
func (hi history) run(t *testing.T) (wrong []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pl := &play{testCluster: newTestCluster(t, hi.gateways), truth: truth{
			draining: map[string]time.Time{}, ended: map[string]time.Time{}, evacuated: map[string]bool{}, version: 1,
		}}
		pl.servers.store.hidesEra = hi.silent
		pl.copy = pl.servers.store.position()
		for _, st := range hi.steps {
			pl.watch(st.pause)
			pl.do(st, hi.rewriteAfter)
		}
		pl.do(step{what: storeBack}, 0)
		pl.watch(hi.rewriteAfter + rewriteGrace + 2*restoredWithin)
		pl.checkEnd()
		wrong = pl.wrong
	})
	return wrong
}

// watch lets time pass, writes again what was lost, and looks at what gateways do.
func (pl *play) watch(lasts time.Duration) {
	const every = 100 * time.Millisecond
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(every) {
		if !pl.rewriteAt.IsZero() && !time.Now().Before(pl.rewriteAt) && !pl.away {
			pl.rewrite()
		}
		pl.check()
	}
}

func (pl *play) do(st step, rewriteAfter time.Duration) {
	ke, now := pl.servers.store, time.Now()
	id, dataCentre := fmt.Sprint("s", st.which+1), fmt.Sprint("dc", st.which%3)
	_, ended := pl.truth.ended[id]
	switch {
	case st.what == storeBack:
		pl.disconnectAll(false)
		if pl.away {
			pl.truth.back = now
		}
		pl.away, pl.truth.stable = false, now
	case pl.away && st.what != gatewayLost && st.what != restored:
	case st.what == storeAway:
		pl.disconnectAll(true)
		pl.away = true
	case st.what == copied:
		pl.copy = ke.position()
	case st.what == restored:
		ke.restore(pl.copy)
		pl.rewriteAt = now.Add(rewriteAfter)
	case st.what == gatewayLost:
		pl.replaceGateway(st.which % len(pl.gateways))
		pl.truth.stable = now
	case st.what == configured:
		pl.truth.version++
		pl.writeDocument()
	case st.what == serverStarts:
		pl.servers.start()
	case st.what == centreEmptied && len(pl.truth.evacuated) == 0:
		pl.truth.evacuated[dataCentre] = true
		ke.add(Change{Evacuated: dataCentre})
	case st.what == centreReturned && pl.truth.evacuated[dataCentre]:
		delete(pl.truth.evacuated, dataCentre)
		ke.add(Change{Restored: dataCentre})
	case st.what == serverDrains && !ended:
		pl.servers.drain(id)
		pl.truth.draining[id] = now
	case st.what == serverGoes && !ended:
		ke.add(Change{Gone: id})
		pl.truth.ended[id] = now
		if after := pl.truth.back.Add(propagationTime); after.After(now) {
			pl.truth.ended[id] = after // it may be a lapse
		}
	}
}

func (pl *play) writeDocument() {
	doc := pl.servers.document()
	doc.Version = pl.truth.version
	pl.servers.store.add(Change{Document: &doc})
}

// document returns the newest configuration that was ever written.
func (cr *crashingBackend) document() routing.Document {
	cr.store.mu.Lock()
	defer cr.store.mu.Unlock()
	return *cr.store.changes[0].Document
}

// rewrite lets operators and servers write again what they had written.
func (pl *play) rewrite() {
	ke := pl.servers.store
	pl.rewriteAt, pl.truth.stable = time.Time{}, time.Now()
	pl.writeDocument()
	for _, se := range pl.servers.all() {
		id := se.listed.ID
		if _, ended := pl.truth.ended[id]; ended {
			ke.add(Change{Gone: id})
			continue
		}
		if _, draining := pl.truth.draining[id]; draining {
			pl.servers.drain(id)
			continue
		}
		ke.add(Change{Server: &se.listed})
	}
	for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
		if pl.truth.evacuated[dataCentre] {
			ke.add(Change{Evacuated: dataCentre})
		} else {
			ke.add(Change{Restored: dataCentre})
		}
	}
}

// check looks for gateways that send to servers which left or ended long enough ago.
func (pl *play) check() {
	if pl.away || !pl.rewriteAt.IsZero() {
		return
	}
	bound := time.Now().Add(-propagationTime)
	if pl.truth.stable.After(bound) {
		return
	}
	for _, left := range []map[string]time.Time{pl.truth.draining, pl.truth.ended} {
		for id, at := range left {
			for i, ga := range pl.gateways {
				if at.Before(bound) && ga.sends(id) {
					pl.wrong = append(pl.wrong, fmt.Sprintf("gateway %d sends to %s, which left %s ago", i, id, time.Since(at)))
				}
			}
		}
	}
}

// checkEnd compares what each gateway does in the end with what was written.
func (pl *play) checkEnd() {
	for i, ga := range pl.gateways {
		if got := ga.Table().Version(); got != pl.truth.version {
			pl.wrong = append(pl.wrong, fmt.Sprintf("gateway %d has version %d in force, not %d", i, got, pl.truth.version))
		}
		for _, se := range pl.servers.all() {
			id := se.listed.ID
			_, draining := pl.truth.draining[id]
			_, ended := pl.truth.ended[id]
			want := !draining && !ended && !pl.truth.evacuated[se.listed.DataCentre]
			if got := ga.sends(id); got != want {
				pl.wrong = append(pl.wrong, fmt.Sprintf("gateway %d sends to %s: %t", i, id, got))
			}
		}
	}
}

// fewHistories is how many histories are played unless LINNETRUDDER_ALL_PLAYS is set.
const fewHistories = 15

// Whenever the store goes back, and whatever else happens: no gateway sends to a server that left,
// and in the end each works from what operators and servers have written.
func TestHistoriesWithRestoredStores(t *testing.T) {
	played, all := 0, os.Getenv("LINNETRUDDER_ALL_PLAYS") != ""
	rapid.Check(t, func(rt *rapid.T) {
		hi := drawHistory(rt)
		if played++; played > fewHistories && !all {
			return
		}
		if wrong := hi.run(t); len(wrong) > 0 {
			rt.Fatalf("%+v:\n%s (%d in all)", hi, wrong[0], len(wrong))
		}
	})
}

// The naive gateway compares revisions by their number.
func TestANaiveGatewayMissesWhatIsWrittenAfterARestore(t *testing.T) {
	hi := history{gateways: 23, steps: []step{{what: copied}}}
	for range 3 * serverCount {
		hi.steps = append(hi.steps, step{what: configured})
	}
	hi.steps = append(hi.steps, step{pause: 2 * time.Second, what: restored}, step{what: serverDrains})
	require.Empty(t, hi.run(t))
	hi.silent = true
	require.NotEmpty(t, hi.run(t))
}

func TestServerThatEndsRightAfterARestoreIsDropped(t *testing.T) {
	hi := history{gateways: 7, rewriteAfter: 3 * time.Millisecond, steps: []step{
		{pause: 3 * time.Millisecond, what: configured},
		{pause: 224 * time.Millisecond, what: copied},
		{pause: 4 * time.Millisecond, what: restored},
		{what: gatewayLost, which: 8},
		{pause: 23 * time.Millisecond, what: serverGoes},
		{what: gatewayLost, which: 2},
		{what: gatewayLost, which: 9},
	}}
	for range 10 {
		require.Empty(t, hi.run(t))
	}
}
