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
	// tickEvery is how often bills and unanswered questions are looked at.
	tickEvery = 500 * time.Millisecond
	// billRepeat is the time after which lines are handed on again.
	billRepeat = 20 * time.Second
	// spareBills is how many lines an entry holds although their writers do.
	spareBills = 10_000
	// drainCheck is how often a planned stop looks whether all has ended.
	drainCheck = 20 * time.Millisecond
	// flushWait is how long the links have to send what was queued last.
	flushWait = 100 * time.Millisecond
)

// Store is what is used of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Pair, uint64, error)
	List(ctx context.Context, prefix string) ([]kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// Lister reads the platform's list of boxes.
type Lister interface {
	List(ctx context.Context) ([]boxes.Box, error)
}

// Entry serves callers. Its exported fields are set before Run.
type Entry struct {
	Node *node.Node
	// Callers and Admin are the open listeners.
	Callers, Admin net.Listener
	Store          Store
	Boxes          Lister

	// stored is the newest configuration that was read from the store; only the goroutine that
	// watches it uses it.
	stored *config.Envelope
	// supervisor holds a dialer for each agent.
	supervisor *suture.Supervisor
	// streams numbers the attempts of this process.
	streams atomic.Uint64

	// mu guards what follows. It may be taken while the node's lock is held,
	// so nothing under it may call what takes the node's lock.
	mu      sync.Mutex
	board   balance.Balancer
	view    member.View
	budgets budget.Teams
	ledger  bill.Outbox
	// offered is when bills were last handed on; only the ticks touch it.
	offered time.Time
	// tell holds the durable lines that agents must be told of, by box.
	tell map[string][]wire.BillLine
	// dialers holds the supervised dialer of each agent, by box.
	dialers map[string]dialer
	// serverOf and boxOf map an agent's box to its backend server and back.
	serverOf, boxOf map[string]string
	// attempts holds the request that waits for each attempt's frames.
	attempts map[uint64]*sentAttempt
	// learnt is what has been learnt of the versions.
	learnt learnt
	// pins remembers the versions of sessions seen here; turned is when its
	// newest generation began.
	pins   pinCache
	turned time.Time
	// plans holds why the newest requests went where they went.
	plans planLog
	// claims holds the requests that wait for a claim, by key.
	claims map[string][]chan wire.ClaimLine
	// homesOf ranks the agents for each claim log.
	homesOf [claim.Shards][]string
	// cases holds what agents suspect of requests, blocks those that are not to be sent.
	cases  poison.Detector
	blocks poison.Blocks
	// unwritten is set if a block was lifted that may still be kept.
	unwritten bool
	// inProgress counts the callers' requests.
	inProgress int
}

// Run serves until the context ends, and then ends all work in progress.
func (en *Entry) Run(ctx context.Context) error {
	en.prepare()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	en.supervisor = node.NewSupervisor("entry", en.Node)
	en.supervisor.Add(node.Service{Name: "callers", Run: en.serveCallers(ctx)})
	en.supervisor.Add(node.Service{Name: "admin", Run: en.serveAdmin})
	en.supervisor.Add(node.Service{Name: "boxes", Run: en.followBoxes})
	en.supervisor.Add(node.Service{Name: "watch", Run: en.watchStore})
	en.supervisor.Add(node.Service{Name: "learnt", Run: en.learn})
	en.supervisor.Add(node.Service{Name: "blocks", Run: en.keepBlocks})
	en.supervisor.Add(node.Service{Name: "rollouts", Run: en.followRollouts})
	en.supervisor.Add(node.Service{Name: "ticks", Run: en.tick})
	ended := en.supervisor.ServeBackground(work)
	en.Node.Record(timeline.Entry{Event: event.ProcessStarted, Detail: "entry"})
	select {
	case err := <-ended:
		return eris.Wrap(err, "entry")
	case <-ctx.Done():
	}
	en.drain()
	en.Node.Record(timeline.Entry{Event: event.ProcessStopped})
	return nil
}

func (en *Entry) prepare() {
	se := en.Node.Settings
	en.board = balance.Balancer{DataCentre: se.DataCentre}
	en.view = member.View{Self: se.Box}
	en.budgets = budget.Teams{Ratio: se.Limits.RetryRatio}
	en.ledger = bill.Outbox{Capacity: se.Limits.Bills, RetryInterval: billRepeat, SoftLimit: spareBills}
	en.tell = map[string][]wire.BillLine{}
	en.Node.Fanout = replica.EntryFanout
	en.dialers = map[string]dialer{}
	en.serverOf = map[string]string{}
	en.boxOf = map[string]string{}
	en.attempts = map[uint64]*sentAttempt{}
	en.learnt = newLearnt()
	en.claims = map[string][]chan wire.ClaimLine{}
	en.cases = poison.Detector{MinCrashes: poison.MinCrashes}
	en.Node.OnAdopt = en.adopted
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

// adopted takes a revision into force; the node's lock is held.
func (en *Entry) adopted(sn *config.Snapshot) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.board.Reconfigure(sn)
}

// Heartbeat returns the heartbeat for an agent.
func (en *Entry) Heartbeat(li *link.Link) *wire.Frame {
	fr := &wire.Frame{Kind: wire.Heartbeat, Revision: en.Node.Snapshot().Revision(), Bills: en.told(li.Peer.Box())}
	en.mu.Lock()
	defer en.mu.Unlock()
	fr.Fingerprints = en.blocks.Fingerprints()
	return fr
}

// HandleFrame takes a frame from an agent.
func (en *Entry) HandleFrame(li *link.Link, fr *wire.Frame) {
	if en.Node.HandleConfigFrame(li, fr) {
		return
	}
	if fr.Load != nil {
		en.mu.Lock()
		en.board.SetLoad(en.serverOf[li.Peer.Box()], *fr.Load)
		for _, ou := range fr.Load.Versions {
			en.learnt.count(li.Peer.Box(), ou.Version, rollout.Tally{Started: ou.Started, Failed: ou.Failed})
		}
		en.mu.Unlock()
	}
	if len(fr.Fingerprints) > 0 {
		en.liftSound(fr.Fingerprints, clock.Now())
	}
	switch fr.Kind {
	case wire.Admission, wire.Head, wire.Data, wire.End:
		en.deliver(li, fr)
	case wire.Peers:
		en.mu.Lock()
		en.view.SetEntries(li.Peer.Box(), fr.Peers)
		en.mu.Unlock()
	case wire.Bills:
		en.hold(fr.Bills)
	case wire.BillsBuffered:
		en.mu.Lock()
		en.ledger.RemoveAccepted(fr.Bills)
		en.mu.Unlock()
	case wire.BillsStored:
		en.billed(fr.Bills)
	case wire.ClaimReply:
		en.claimed(fr.Claims)
	case wire.CrashSuspects:
		en.suspect(fr.Suspicions, clock.Now())
	}
}

// tick hands bills on and asks again for what was not answered.
func (en *Entry) tick(ctx context.Context) error {
	return node.Every(ctx, tickEvery, func(now time.Time) {
		en.Node.Tick(now)
		if now.Sub(en.offered) >= en.Node.Settings.Limits.BillFlush() {
			en.offered = now
			en.offerBills(now)
		}
		en.turnPins(now)
	})
}

func (en *Entry) turnPins(now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if now.Sub(en.turned) >= pinTurn {
		en.turned = now
		en.pins.turn()
	}
}

// drain lets requests in progress end and hands their bills on.
func (en *Entry) drain() {
	en.Node.Stop()
	until := time.Now().Add(en.Node.Settings.Limits.Stop())
	for !en.drained() && time.Now().Before(until) {
		en.offerBills(time.Now())
		time.Sleep(drainCheck)
	}
	for _, li := range en.Node.Links() {
		li.Send(&wire.Frame{Kind: wire.BillsStored, Bills: en.told(li.Peer.Box())})
	}
	time.Sleep(flushWait)
}

func (en *Entry) drained() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.inProgress == 0 && en.ledger.Len() == 0
}

// pick is the route's view of the board and of its team's budget.
type pick struct {
	en   *Entry
	team string
}

// Pick returns a server that was not tried yet.
func (pi pick) Pick(what string, tried []string) (string, bool) {
	pi.en.mu.Lock()
	defer pi.en.mu.Unlock()
	server, ok := pi.en.board.Pick(what, tried, rand.Uint64())
	if ok {
		pi.en.board.AttemptSent(server)
	}
	return server, ok
}

// Take takes one retry from the team's budget.
func (pi pick) Take(now time.Time) bool {
	pi.en.mu.Lock()
	defer pi.en.mu.Unlock()
	return pi.en.budgets.For(pi.team).Take(now)
}
