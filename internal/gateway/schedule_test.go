package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
)

// casStore stores one phase by compare-and-swap and records its history.
type casStore struct {
	stored  StoredPhase
	changes []Change
	history []rollout.Phase
}

func (ss *casStore) store(ph StoredPhase) bool {
	if ph.Revision != ss.stored.Revision {
		return false
	}
	ph.Revision = rev(uint64(len(ss.changes) + 1))
	ss.stored = ph
	ss.changes = append(ss.changes, Change{Phase: &ph})
	ss.history = append(ss.history, ph.Phase)
	return true
}

// rolloutFleet is several gateways, with the number of the store's changes that each has received.
type rolloutFleet struct {
	store    casStore
	gateways []*Gateway
	seen     []int
	order    Order
}

func newRolloutFleet(n int) *rolloutFleet {
	fl := &rolloutFleet{order: Order{Revision: rev(7), Plan: rollout.Plan{Service: "s", Version: "v2", Within: 20 * time.Second}}}
	fl.gateways, fl.seen = make([]*Gateway, n), make([]int, n)
	for i := range n {
		fl.start(i)
	}
	return fl
}

// start replaces a gateway with a new process, which reads the stored phase.
func (fl *rolloutFleet) start(i int) {
	ga := &Gateway{Log: zerolog.Nop(), Box: fmt.Sprint(i), Bounds: Bounds{CanaryShare: 0.15}}
	ga.prepare()
	fl.gateways[i], fl.seen[i] = ga, len(fl.store.changes)
	if !fl.store.stored.Revision.IsZero() {
		ga.applyStoredPhase(fl.store.stored)
	}
	ga.applyOrder(fl.order)
}

func (fl *rolloutFleet) rollout(i int) *rolloutState { return fl.gateways[i].rollouts["s"] }

func (fl *rolloutFleet) deliver(i, count int) {
	for ; count > 0 && fl.seen[i] < len(fl.store.changes); count-- {
		fl.gateways[i].applyChange(fl.store.changes[fl.seen[i]])
		fl.seen[i]++
	}
}

// decide makes a gateway store the phase that is due. The response may be lost, and the gateway may
// end between the decision and the write.
func (fl *rolloutFleet) decide(rt *rapid.T, i int, now time.Time) {
	fl.gateways[i].applyVerdict(fl.rollout(i), now)
	ph, due := fl.gateways[i].phaseToStore(fl.rollout(i), now)
	if !due {
		return
	}
	switch rapid.SampledFrom([]string{"stored", "stored", "response lost", "process ended"}).Draw(rt, "write") {
	case "process ended":
		fl.start(i)
	default:
		fl.store.store(ph)
	}
}

// For any order of restarts, lost responses, delayed changes and outcomes, stored phases only
// advance, a roll-out ends once, and all gateways reach its final phase.
func TestRolloutEndsOnceUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newRolloutFleet(rapid.IntRange(1, 4).Draw(rt, "gateways"))
		now := time.Now()
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(fl.gateways)-1).Draw(rt, "gateway")
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1:
				fl.decide(rt, i, now)
			case 2:
				fl.deliver(i, rapid.IntRange(1, 3).Draw(rt, "changes"))
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond)
			case 4:
				for n := range 8 {
					se := directory.Server{ID: fmt.Sprint(n % 3), Service: "s", Version: "v2"}
					fl.gateways[i].observeOutcome(se, "r", true)
				}
			case 5:
				fl.start(i)
			}
		}
		checkHistory(rt, fl.store.history)
		for i := range fl.gateways {
			fl.deliver(i, len(fl.store.changes))
		}
		if stored := fl.store.stored.Phase; stored == rollout.Complete || stored == rollout.Failed {
			for i := range fl.gateways {
				if fl.rollout(i).canary.Phase() != stored {
					rt.Fatalf("gateway %d is in phase %s, stored is %s", i, fl.rollout(i).canary.Phase(), stored)
				}
			}
		}
	})
}

var rank = map[rollout.Phase]int{
	rollout.Waiting: 0, rollout.Trying: 1, rollout.Shifting: 2, rollout.Failed: 3, rollout.Complete: 3,
}

func checkHistory(rt *rapid.T, history []rollout.Phase) {
	for i := 1; i < len(history); i++ {
		if rank[history[i]] < rank[history[i-1]] || rank[history[i-1]] == rank[rollout.Failed] {
			rt.Fatalf("stored phases went back or continued after the end: %v", history)
		}
	}
}

// phaseOperation is the input of one compare-and-swap.
type phaseOperation struct {
	compared uint64
	phase    rollout.Phase
}

// phaseModel is the register that the gateways share. A write succeeds if it compares with the newest
// revision.
var phaseModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, op, stored := state.(uint64), input.(phaseOperation), output.(bool)
		if op.compared != revision {
			return !stored, revision
		}
		return stored, revision + 1
	},
}

// The phase is a linearizable register for concurrent writers, so that no two gateways both
// conclude that they ended a roll-out.
func TestPhaseWritesAreLinearizable(t *testing.T) {
	fl := newRolloutFleet(4)
	now := time.Now()
	var history []porcupine.Operation
	for step := range int64(60) {
		i := int(step) % len(fl.gateways)
		now = now.Add(400 * time.Millisecond)
		ph, due := fl.gateways[i].phaseToStore(fl.rollout(i), now)
		if due {
			stored := fl.store.store(ph)
			history = append(history, porcupine.Operation{
				ClientId: i, Input: phaseOperation{ph.Revision.Number, ph.Phase}, Call: step, Output: stored, Return: step + 2,
			})
		}
		if step%3 == 0 {
			fl.deliver(i, 1)
		}
	}
	require.NotEmpty(t, history)
	require.True(t, porcupine.CheckOperations(phaseModel, history))
	require.Equal(t, rollout.Complete, fl.store.stored.Phase)
}

// A writer that stores its own phase regardless of the stored one reverts a finished roll-out. The
// test shows why a write must name the revision of the phase on which its decision is based.
func TestUnconditionalWriterUndoesAFinishedRollout(t *testing.T) {
	fl := newRolloutFleet(2)
	fl.store.store(StoredPhase{Service: "s", Order: rev(7), Phase: rollout.Complete})
	for n := range 20 {
		fl.gateways[1].observeOutcome(directory.Server{ID: fmt.Sprint(n), Service: "s", Version: "v2"}, "r", true)
	}
	awaitVerdict(fl.gateways[1], fl.rollout(1))
	unconditional := StoredPhase{Service: "s", Order: rev(7), Phase: fl.rollout(1).canary.Phase(), Revision: fl.store.stored.Revision}
	require.True(t, fl.store.store(unconditional))
	require.Equal(t, rollout.Failed, fl.store.stored.Phase, "the old servers have been stopped, and all requests are sent to them again")
}
