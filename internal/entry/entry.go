// Package entry is the process that callers reach: it knows teams and
// versions, chooses where each request goes, and gives the caller one whole
// answer or one final code.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/linnetrudder/linnetrudder/internal/balance"
	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/budget"
	"github.com/linnetrudder/linnetrudder/internal/claim"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/member"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/replica"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

const (
	// tickInterval is how often bills and unanswered questions are looked at.
	tickInterval = 500 * time.Millisecond
	// billResendInterval is the time after which lines are handed on again.
	billResendInterval = 20 * time.Second
	// maxRedundantBills is how many lines an entry holds although their writers do.
	maxRedundantBills = 10_000
	// drainPollInterval is how often a planned stop looks whether all has ended.
	drainPollInterval = 20 * time.Millisecond
	// linkFlushTime is how long the links have to send what was queued last.
	linkFlushTime = 100 * time.Millisecond
)

// Store is what is used of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Pair, uint64, error)
	List(ctx context.Context, prefix string) ([]kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// BoxLister reads the platform's list of boxes.
type BoxLister interface {
	List(ctx context.Context) ([]boxes.Box, error)
}

// Entry serves callers. Its exported fields are set before Run.
type Entry struct {
	Node *node.Node
	// Callers and Admin are the open listeners.
	Callers, Admin net.Listener
	Store          Store
	Boxes          BoxLister

	// storedConfig is the newest configuration that was read from the store; only the goroutine that
	// watches it uses it.
	storedConfig *config.Envelope
	// supervisor holds a dialer for each agent.
	supervisor *suture.Supervisor
	// streams numbers the attempts of this process.
	streams atomic.Uint64

	// mu guards what follows. It may be taken while the node's lock is held,
	// so nothing under it may call what takes the node's lock.
	mu       sync.Mutex
	balancer balance.Balancer
	members  member.View
	budgets  budget.Teams
	ledger   bill.Ledger
	// billsForwarded is when bills were last handed on; only the ticks touch it.
	billsForwarded time.Time
	// billAcks holds the durable lines that agents must be told of, by box.
	billAcks map[string][]wire.BillLine
	// dialers holds the supervised dialer of each agent, by box.
	dialers map[string]dialer
	// serverOf and boxOf map an agent's box to its backend server and back.
	serverOf, boxOf map[string]string
	// attempts holds the request that waits for each attempt's frames.
	attempts map[uint64]*sentAttempt
	// feedback is what has been feedback of the versions.
	feedback feedback
	// pins remembers the versions of sessions seen here; turned is when its
	// newest generation began.
	pins        pinCache
	pinsRotated time.Time
	// plans holds why the newest requests went where they went.
	plans planLog
	// claimWaiters holds the requests that wait for a claim, by key.
	claimWaiters map[string][]chan wire.ClaimLine
	// ownersByShard ranks the agents for each claim log.
	ownersByShard [claim.Shards][]string
	// detector holds what agents suspect of requests, blocks those that are not to be sent.
	detector poison.Detector
	blocks   poison.Blocks
	// liftsUnstored is set if a block was lifted that may still be kept.
	liftsUnstored bool
	// inProgress counts the callers' requests.
	inProgress int
}

// Run serves until the context ends, and then ends all work in progress.
func (en *Entry) Run(ctx context.Context) error {
	en.prepare()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	en.supervisor = node.NewSupervisor("entry", en.Node)
	en.supervisor.Add(node.Service{Name: "callers", Serving: en.serveCallers(ctx)})
	en.supervisor.Add(node.Service{Name: "admin", Serving: en.serveAdmin})
	en.supervisor.Add(node.Service{Name: "boxes", Serving: en.pollBoxes})
	en.supervisor.Add(node.Service{Name: "watch", Serving: en.watchStore})
	en.supervisor.Add(node.Service{Name: "learnt", Serving: en.syncFeedback})
	en.supervisor.Add(node.Service{Name: "blocks", Serving: en.syncBlocks})
	en.supervisor.Add(node.Service{Name: "rollouts", Serving: en.runRollouts})
	en.supervisor.Add(node.Service{Name: "ticks", Serving: en.tick})
	ended := en.supervisor.ServeBackground(work)
	en.Node.Note(timeline.Entry{Event: event.ProcessStarted, Detail: "entry"})
	select {
	case err := <-ended:
		return eris.Wrap(err, "entry")
	case <-ctx.Done():
	}
	en.drain()
	en.Node.Note(timeline.Entry{Event: event.ProcessStopped})
	return nil
}

func (en *Entry) prepare() {
	se := en.Node.Settings
	en.balancer = balance.Balancer{DataCentre: se.DataCentre}
	en.members = member.View{Self: se.Box}
	en.budgets = budget.Teams{Ratio: se.Limits.RetryRatio}
	en.ledger = bill.Ledger{Bound: se.Limits.Bills, Every: billResendInterval, Spare: maxRedundantBills}
	en.billAcks = map[string][]wire.BillLine{}
	en.Node.Fanout = replica.EntryFanout
	en.dialers = map[string]dialer{}
	en.serverOf = map[string]string{}
	en.boxOf = map[string]string{}
	en.attempts = map[uint64]*sentAttempt{}
	en.feedback = newFeedback()
	en.claimWaiters = map[string][]chan wire.ClaimLine{}
	en.detector = poison.Detector{MinCrashes: poison.MinCrashes}
	en.Node.Adopted = en.configAdopted
}

// serveCallers stops taking requests when the process is to stop, and lets
// those in progress end.
func (en *Entry) serveCallers(stop context.Context) func(context.Context) error {
	return func(context.Context) error {
		err := node.ServeHTTP(stop, en.Callers, en.callerRouter(), en.Node.Settings.Limits.Stop())
		if stop.Err() != nil {
			return suture.ErrDoNotRestart
		}
		return err
	}
}

func (en *Entry) serveAdmin(ctx context.Context) error {
	return node.ServeHTTP(ctx, en.Admin, en.adminRouter(), time.Second)
}

// configAdopted takes a revision into force; the node's lock is held.
func (en *Entry) configAdopted(sn *config.Snapshot) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.balancer.Reconfigure(sn)
}

// Beat returns the heartbeat for an agent.
func (en *Entry) Beat(li *link.Link) *wire.Frame {
	fr := &wire.Frame{Kind: wire.Beat, Revision: en.Node.Snapshot().Revision(), Bills: en.takeBillAcks(li.Peer.Box())}
	en.mu.Lock()
	defer en.mu.Unlock()
	fr.Prints = en.blocks.Fingerprints()
	return fr
}

// Frame takes a frame from an agent.
func (en *Entry) Frame(li *link.Link, fr *wire.Frame) {
	if en.Node.Control(li, fr) {
		return
	}
	if fr.Load != nil {
		en.mu.Lock()
		en.balancer.SetLoad(en.serverOf[li.Peer.Box()], *fr.Load)
		for _, ou := range fr.Load.Versions {
			en.feedback.addCounters(li.Peer.Box(), ou.Version, rollout.Tally{Started: ou.Started, Failed: ou.Failed})
		}
		en.mu.Unlock()
	}
	if len(fr.Prints) > 0 {
		en.liftHarmless(fr.Prints, clock.Now())
	}
	switch fr.Kind {
	case wire.Verdict, wire.Head, wire.Data, wire.End:
		en.handleAttemptFrame(li, fr)
	case wire.Peers:
		en.mu.Lock()
		en.members.Peers(li.Peer.Box(), fr.Peers)
		en.mu.Unlock()
	case wire.Bill:
		en.addBills(fr.Bills)
	case wire.Taken:
		en.mu.Lock()
		en.ledger.Taken(fr.Bills)
		en.mu.Unlock()
	case wire.Billed:
		en.confirmBills(fr.Bills)
	case wire.Claimed:
		en.deliverClaims(fr.Claims)
	case wire.Suspect:
		en.recordSuspicions(fr.Suspicions, clock.Now())
	}
}

// tick hands bills on and asks again for what was not answered.
func (en *Entry) tick(ctx context.Context) error {
	return node.Every(ctx, tickInterval, func(now time.Time) {
		en.Node.Tick(now)
		if now.Sub(en.billsForwarded) >= en.Node.Settings.Limits.BillFlush() {
			en.billsForwarded = now
			en.forwardBills(now)
		}
		en.rotatePins(now)
	})
}

func (en *Entry) rotatePins(now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if now.Sub(en.pinsRotated) >= pinRotationInterval {
		en.pinsRotated = now
		en.pins.rotate()
	}
}

// drain lets requests in progress end and hands their bills on.
func (en *Entry) drain() {
	en.Node.Stop()
	deadline := time.Now().Add(en.Node.Settings.Limits.Stop())
	for !en.drained() && time.Now().Before(deadline) {
		en.forwardBills(time.Now())
		time.Sleep(drainPollInterval)
	}
	for _, li := range en.Node.Links() {
		li.Send(&wire.Frame{Kind: wire.Billed, Bills: en.takeBillAcks(li.Peer.Box())})
	}
	time.Sleep(linkFlushTime)
}

func (en *Entry) drained() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.inProgress == 0 && en.ledger.Len() == 0
}

// attemptPolicy is the route's view of the board and of its team's budget.
type attemptPolicy struct {
	en   *Entry
	team string
}

// Pick returns a server that was not tried yet.
func (ap attemptPolicy) Pick(target string, tried []string) (string, bool) {
	ap.en.mu.Lock()
	defer ap.en.mu.Unlock()
	server, ok := ap.en.balancer.Pick(target, tried, rand.Uint64())
	if ok {
		ap.en.balancer.AttemptSent(server)
	}
	return server, ok
}

// Take takes one retry from the team's budget.
func (ap attemptPolicy) Take(now time.Time) bool {
	ap.en.mu.Lock()
	defer ap.en.mu.Unlock()
	return ap.en.budgets.For(ap.team).Take(now)
}
