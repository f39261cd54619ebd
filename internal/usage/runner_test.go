package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/duty"
	"github.com/linnetrudder/linnetrudder/internal/lease"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

var errNoAnswer = errors.New("no answer")

// simulatedPlatform simulates the key-value service and the service that accepts reports. Both lose
// answers and execute calls late.
type simulatedPlatform struct {
	mu     sync.Mutex
	random *rand.Rand
	// faulty is set while answers are lost. down is set while the key-value service does not answer.
	faulty, down bool

	holder   duty.Holder
	leaseID  lease.ID
	expires  time.Time
	record   Record
	revision uint64
	// accepted holds the accepted report of each window, arrivals the calls in the order in which they
	// arrived.
	accepted map[Window]map[string]int
	arrivals []arrival
	// highestFence is the highest fencing number that arrived. Calls with a lower one are rejected.
	highestFence uint64
	// history holds the calls of holders as they saw them.
	history []porcupine.Operation
}

// reportCall is a holder's call with a report, reportResult its result as the holder saw it.
type reportCall struct {
	fence  uint64
	report Report
}

type reportResult string

const (
	resultAccepted reportResult = "accepted"
	resultRejected reportResult = "rejected"
	resultUnknown  reportResult = "unknown"
)

// reportState is the state of a platform that accepts reports in the order of their fencing numbers,
// and each window with one set of counts.
type reportState struct {
	highest uint64
	counts  map[Window]string
}

// reportModel accepts the histories of calls that such a platform can have executed one at a time.
var reportModel = porcupine.Model{
	Init: func() any { return reportState{counts: map[Window]string{}} },
	Step: func(state, input, output any) (bool, any) {
		st, call, result := state.(reportState), input.(reportCall), output.(reportResult)
		if call.fence < st.highest {
			return result != resultAccepted, st
		}
		next := reportState{highest: call.fence, counts: maps.Clone(st.counts)}
		counts := fmt.Sprint(call.report.Counts)
		if before, ok := next.counts[call.report.Window]; ok && before != counts {
			return false, st
		}
		next.counts[call.report.Window] = counts
		return result != resultRejected, next
	},
	Equal: func(a, b any) bool {
		one, other := a.(reportState), b.(reportState)
		return one.highest == other.highest && maps.Equal(one.counts, other.counts)
	},
}

// arrival is a report that arrived at the platform.
type arrival struct {
	process, fence uint64
	report         Report
	after          time.Duration
}

// callResult is what happens to a call.
type callResult string

const (
	done       callResult = "done"
	lostBefore callResult = "lost before it was executed"
	lostAfter  callResult = "answer lost"
)

func (sp *simulatedPlatform) draw() callResult {
	if !sp.faulty {
		return done
	}
	return []callResult{done, done, done, lostBefore, lostAfter}[sp.random.IntN(5)]
}

// call executes a call after its transit time.
func (sp *simulatedPlatform) call(execute func() error) error {
	time.Sleep(4 * time.Millisecond)
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if !sp.holder.IsZero() && !time.Now().Before(sp.expires) {
		sp.holder = duty.Holder{}
	}
	if sp.down {
		return errNoAnswer
	}
	switch sp.draw() {
	case lostBefore:
		return errNoAnswer
	case lostAfter:
		_ = execute()
		return errNoAnswer
	}
	return execute()
}

func (sp *simulatedPlatform) AcquireDuty(_ context.Context, ho duty.Holder, ttl time.Duration) (duty.Holder, lease.ID, error) {
	var id lease.ID
	granted := time.Now()
	err := sp.call(func() error {
		sp.revision++
		id = lease.ID(sp.revision)
		return nil
	})
	if err != nil {
		return ho, 0, err
	}
	err = sp.call(func() error {
		if !sp.holder.IsZero() {
			return ErrDutyLost
		}
		sp.revision++
		ho.Acquired = revision.Revision{Number: sp.revision}
		sp.holder, sp.leaseID, sp.expires = ho, id, granted.Add(ttl)
		return nil
	})
	return ho, id, err
}

func (sp *simulatedPlatform) RenewLease(_ context.Context, id lease.ID) error {
	return sp.call(func() error {
		if sp.holder.IsZero() || sp.leaseID != id {
			return lease.ErrExpired
		}
		sp.expires = time.Now().Add(ttl)
		return nil
	})
}

func (sp *simulatedPlatform) ReadUsage(context.Context) (re Record, err error) {
	err = sp.call(func() error {
		re = sp.record
		return nil
	})
	return re, err
}

func (sp *simulatedPlatform) StoreUsage(_ context.Context, ho duty.Holder, re Record) (Record, error) {
	err := sp.call(func() error {
		if sp.holder != ho || sp.record.Revision != re.Revision {
			return ErrDutyLost
		}
		sp.revision++
		re.Revision = revision.Revision{Number: sp.revision}
		sp.record = re
		return nil
	})
	return re, err
}

func (sp *simulatedPlatform) ReportUsage(_ context.Context, ho duty.Holder, re Report) error {
	sent := time.Now()
	time.Sleep(4 * time.Millisecond)
	sp.mu.Lock()
	defer sp.mu.Unlock()
	fence := ho.FencingNumber()
	sp.arrivals = append(sp.arrivals, arrival{ho.Process, fence, re, time.Since(re.Window.End(length))})
	result, err := resultAccepted, error(nil)
	switch lost := sp.draw(); {
	case lost == lostBefore:
		result, err = resultUnknown, errNoAnswer
	case fence < sp.highestFence:
		result, err = resultRejected, ErrFenced
	default:
		sp.highestFence = fence
		sp.accept(re)
		if lost == lostAfter {
			result, err = resultUnknown, errNoAnswer
		}
	}
	op := porcupine.Operation{
		ClientId: int(ho.Process), Input: reportCall{fence, re}, Call: sent.UnixNano(), Output: result, Return: time.Now().UnixNano(),
	}
	if result == resultUnknown {
		op.Return = math.MaxInt64 // it may be executed at any time
	}
	sp.history = append(sp.history, op)
	return err
}

func (sp *simulatedPlatform) accept(re Report) {
	if sp.accepted[re.Window] == nil {
		sp.accepted[re.Window] = maps.Clone(re.Counts)
	}
}

func (sp *simulatedPlatform) set(change func()) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	change()
}

// publish tells a process who holds the duty, as the key-value service's watches do.
func (sp *simulatedPlatform) publish(ru *Runner) {
	sp.mu.Lock()
	if !sp.holder.IsZero() && !time.Now().Before(sp.expires) {
		sp.holder = duty.Holder{}
	}
	ho, down := sp.holder, sp.down
	sp.mu.Unlock()
	if !down {
		ru.SetHolder(ho)
	}
}

const ttl = 3 * time.Second

// simulatedGateway is a process with a Runner.
type simulatedGateway struct {
	runner *Runner
	stop   func()
	cursor Cursor
}

// simulation is a number of processes that count requests and report to one another.
type simulation struct {
	platform *simulatedPlatform
	random   *rand.Rand
	gateways []*simulatedGateway
	started  uint64
	// counted holds the requests counted by window.
	counted map[Window]int
}

func newSimulation(seed uint64, gateways int) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	si := &simulation{
		platform: &simulatedPlatform{random: rand.New(rand.NewPCG(seed, 2)), accepted: map[Window]map[string]int{}},
		random:   random, gateways: make([]*simulatedGateway, gateways), counted: map[Window]int{},
	}
	for i := range si.gateways {
		si.start(i)
	}
	return si
}

func (si *simulation) start(i int) {
	si.started += 2
	ru := &Runner{
		Log: zerolog.Nop(), Box: fmt.Sprint("b", i), Process: si.started, LeaseTTL: ttl, Length: length, Delay: delay,
		Store: si.platform, Platform: si.platform, Rank: func() int { return i },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ru.Run(ctx)
	}()
	si.gateways[i] = &simulatedGateway{runner: ru, stop: func() {
		cancel()
		<-ended
	}}
}

func (si *simulation) restart(i int) {
	si.gateways[i].stop()
	si.start(i)
}

// run counts a request every 20 ms and makes each process report to the holder's box ten times a
// second. change is called every 100 ms.
func (si *simulation) run(lasts time.Duration, change func()) {
	time.Sleep(time.Until(time.Now().Truncate(length).Add(length + 10*time.Millisecond))) // no request at a window's edge
	for n := range int(lasts / (20 * time.Millisecond)) {
		ga := si.gateways[si.random.IntN(len(si.gateways))]
		ga.runner.Count(fmt.Sprint("team", n%3))
		si.counted[WindowAt(time.Now(), length)]++
		if n%5 == 0 {
			si.exchange()
			change()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (si *simulation) exchange() {
	for _, ga := range si.gateways {
		si.platform.publish(ga.runner)
	}
	for i, ga := range si.gateways {
		holder := ga.runner.Holder().Box
		to := si.gateways[0]
		for _, other := range si.gateways {
			if other.runner.Box == holder {
				to = other
			}
		}
		if to == ga {
			to = si.gateways[(i+1)%len(si.gateways)]
		}
		if ga.cursor.peer != to.runner.Process {
			ga.cursor = Cursor{}
		}
		sent := ga.runner.Outgoing(ga.cursor, true)
		ga.cursor = ga.runner.Replied(ga.cursor, sent, to.runner.Receive(sent, false, true), false)
	}
}

func (si *simulation) stopAll() {
	for _, ga := range si.gateways {
		ga.stop()
	}
}

func total(counts map[string]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// Every window is reported in time with all its requests while nothing fails, for two calls to the
// key-value service per window besides the renewals of the lease.
func TestEveryWindowIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		si := newSimulation(1, 4)
		si.run(40*time.Second, func() {})
		si.stopAll()
		first, last := WindowAt(time.Now().Add(-40*time.Second), length), WindowAt(time.Now(), length)-2
		for window := first; window <= last; window++ {
			require.Equal(t, si.counted[window], total(si.platform.accepted[window]), "window %d", window)
		}
		for _, ar := range si.platform.arrivals {
			require.Less(t, ar.after, 2*time.Second, "soon after the end of the window")
		}
		require.Len(t, si.platform.arrivals, len(si.platform.accepted), "each once")
	})
}

// The holder fails in every window, just before or after a call, answers are lost, and the key-value
// service does not answer for a while. No window is reported with other counts than before, no fencing
// number falls or is used by two processes, and windows that ended long enough before the end are
// reported.
func TestReportsAreNeverContradictedUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				si := newSimulation(seed, 4)
				si.run(4*time.Second, func() {})
				first := WindowAt(time.Now(), length)
				si.platform.set(func() { si.platform.faulty = true })
				outage := si.random.IntN(400)
				n := 0
				si.run(60*time.Second, func() {
					n++
					si.platform.set(func() { si.platform.down = n >= outage && n < outage+60 })
					if si.random.IntN(40) == 0 {
						si.restart(si.random.IntN(len(si.gateways)))
					}
				})
				last := WindowAt(time.Now(), length) - 1
				si.platform.set(func() { si.platform.faulty, si.platform.down = false, false })
				si.run(3*delay, func() {})
				si.stopAll()
				requireConsistent(t, si.platform.arrivals)
				require.True(t, porcupine.CheckOperations(reportModel, si.platform.history))
				for window := last - 2; window <= last; window++ {
					require.Contains(t, si.platform.accepted, window)
				}
				require.Greater(t, len(si.platform.accepted), int(last-first)/2)
			})
		})
	}
}

func requireConsistent(t *testing.T, arrivals []arrival) {
	t.Helper()
	counts := map[Window]map[string]int{}
	owner := map[uint64]uint64{}
	for i, ar := range arrivals {
		if i > 0 {
			require.GreaterOrEqual(t, ar.fence, arrivals[i-1].fence, "a fencing number fell")
		}
		if process, ok := owner[ar.fence]; ok {
			require.Equal(t, process, ar.process, "two processes with one fencing number")
		}
		owner[ar.fence] = ar.process
		if before, ok := counts[ar.report.Window]; ok {
			require.Equal(t, before, ar.report.Counts, "window %d", ar.report.Window)
		}
		counts[ar.report.Window] = maps.Clone(ar.report.Counts)
	}
}

// Guards against a holder that renews a lease which its key does not have: the first attempt is carried
// out without an answer, and the second one finds the duty held.
func TestLeaseOfAnUnansweredAttemptIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sp := &simulatedPlatform{random: rand.New(rand.NewPCG(1, 1)), accepted: map[Window]map[string]int{}}
		ru := newRunner(2)
		ru.Store, ru.Platform, ru.Rank = unansweredFirst{simulatedPlatform: sp, attempts: new(int)}, sp, func() int { return 0 }
		require.ErrorIs(t, ru.acquire(t.Context()), errNoAnswer)
		require.ErrorIs(t, ru.acquire(t.Context()), ErrDutyLost)
		sp.publish(ru)
		require.Equal(t, sp.leaseID, ru.lease)
		require.NoError(t, ru.renew(t.Context()))
	})
}

// unansweredFirst loses the answer to the first attempt to acquire the duty.
type unansweredFirst struct {
	*simulatedPlatform
	attempts *int
}

func (uf unansweredFirst) AcquireDuty(ctx context.Context, ho duty.Holder, ttl time.Duration) (duty.Holder, lease.ID, error) {
	*uf.attempts++
	ho, id, err := uf.simulatedPlatform.AcquireDuty(ctx, ho, ttl)
	if *uf.attempts == 1 {
		return ho, id, errNoAnswer
	}
	return ho, id, err
}
