// Package entry implements the process that callers connect to: it identifies the caller's team,
// selects a version and a backend server for each request, and responds with one complete answer or
// one final result code.
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
	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/claim"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/httpfront"
	"github.com/linnetrudder/linnetrudder/internal/intake"
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
	// tickInterval is the time between two checks for due bills and unanswered configuration
	// requests.
	tickInterval = 500 * time.Millisecond
	// billRetryInterval is the time after which a bill line is first sent again if it is not known
	// to be durable. It doubles with each further send.
	billRetryInterval = 20 * time.Second
	// maxRedundantBills is the number of bill lines that an entry retains although their writers
	// have them in memory.
	maxRedundantBills = 10_000
	// drainPollInterval is the time between two checks during a planned stop whether all requests
	// and bills are done.
	drainPollInterval = 20 * time.Millisecond
	// answerMargin is how long before the end of a planned stop requests without an answer get an error, at most a part
	// of the stop timeout.
	answerMargin = 500 * time.Millisecond
	answerPart   = 4
	// answerMemoryPart is the part of the process's memory that buffered answers may use, as a divisor.
	answerMemoryPart = 8
	// linkFlushTime is how long the links may take to send the last queued frames before the
	// process stops.
	linkFlushTime = 100 * time.Millisecond
)

// Store is the subset of the key-value service that the entry uses.
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

// Entry serves callers. Its exported fields must be set before Run.
type Entry struct {
	Node *node.Node
	// Callers and Admin are the open listeners.
	Callers, Admin net.Listener
	Store          Store
	Boxes          BoxLister

	// storedConfig is the newest configuration read from the store. Only the goroutine that watches
	// the store uses it.
	storedConfig *config.Envelope
	// supervisor runs the services of the process and a dialer for each agent.
	supervisor *suture.Supervisor
	// ending is cancelled by end when requests without an answer must end.
	ending context.Context //nolint:containedctx // ends all requests together
	end    context.CancelFunc
	// answers is the memory of the answers that are buffered to be evaluated.
	answers buffer.Pool
	// streams is the number of the latest attempt of this process.
	streams atomic.Uint64

	// mu guards the fields below. It may be locked while the node's lock is held, so code that
	// holds it must not call anything that locks the node.
	mu       sync.Mutex
	balancer balance.Balancer
	members  member.View
	budgets  budget.Teams
	outbox   bill.Outbox
	// billsForwarded is the time when bills were last forwarded. Only the tick goroutine uses it.
	billsForwarded time.Time
	// billAcks holds the acknowledgements of durable lines that are pending for each agent, by box.
	billAcks map[string][]wire.BillLine
	// dialers holds the supervised dialer of each agent, by box.
	dialers map[string]dialer
	// dials tells when the agents have been dialled for the first time.
	dials initialDials
	// serverOf maps an agent's box to its backend server, boxOf is the inverse.
	serverOf, boxOf map[string]string
	// attempts maps the stream number of each attempt to its request.
	attempts map[uint64]*sentAttempt
	// feedback holds the observed quality of the versions.
	feedback feedback
	// pins caches the versions of sessions; pinsRotated is the time of its last rotation.
	pins        pinCache
	pinsRotated time.Time
	// plans holds the plans of recent requests, for the explain command.
	plans planLog
	// claimWaiters holds the requests that wait for a claim, by key.
	claimWaiters map[string][]chan wire.ClaimLine
	// ownersByShard holds the ranked agents of each claim log.
	ownersByShard [claim.Shards][]string
	// detector counts the server crashes of each suspected request; blocks holds the requests that
	// must not be sent.
	detector poison.Detector
	blocks   poison.Blocks
	// parts holds the evidence against parts of prompts.
	parts poison.PartDetector
	// lifted holds when blocks were lifted that the store may still hold. liftsUnstored is set until they
	// have been removed from it.
	lifted        map[poison.Fingerprint]time.Time
	liftsUnstored bool
	// inProgress is the number of callers' requests in progress.
	inProgress int
}

// Run serves until the context ends, and then waits for the work in progress.
func (en *Entry) Run(ctx context.Context) error {
	en.prepare()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	en.supervisor = node.NewSupervisor("entry", en.Node)
	en.supervisor.Add(node.Service{Name: "callers", Run: en.serveCallers(ctx)})
	en.supervisor.Add(node.Service{Name: "admin", Run: en.serveAdmin})
	en.supervisor.Add(node.Service{Name: "boxes", Run: en.pollBoxes})
	en.supervisor.Add(node.Service{Name: "watch", Run: en.watchStore})
	en.supervisor.Add(node.Service{Name: "learnt", Run: en.syncFeedback})
	en.supervisor.Add(node.Service{Name: "blocks", Run: en.syncBlocks})
	en.supervisor.Add(node.Service{Name: "verdicts", Run: en.decide})
	en.supervisor.Add(node.Service{Name: "rollouts", Run: en.runRollouts})
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
	en.ending, en.end = context.WithCancel(context.Background())
	en.answers.Limit = se.Limits.Memory() / answerMemoryPart
	en.balancer = balance.Balancer{DataCentre: se.DataCentre}
	en.members = member.View{Self: se.Box}
	en.budgets = budget.Teams{Ratio: se.Limits.RetryRatio}
	en.outbox = bill.Outbox{Capacity: se.Limits.Bills, RetryInterval: billRetryInterval, SoftLimit: maxRedundantBills}
	en.billAcks = map[string][]wire.BillLine{}
	en.Node.Fanout = replica.EntryFanout
	en.dialers = map[string]dialer{}
	en.dials = newInitialDials(clock.Now())
	en.serverOf = map[string]string{}
	en.boxOf = map[string]string{}
	en.attempts = map[uint64]*sentAttempt{}
	en.feedback = newFeedback()
	en.claimWaiters = map[string][]chan wire.ClaimLine{}
	en.detector = poison.Detector{MinCrashes: poison.MinCrashes}
	en.lifted = map[poison.Fingerprint]time.Time{}
	en.Node.OnAdopt = en.applyConfig
}

// serveCallers serves callers until stop ends, and then waits for the requests in progress.
func (en *Entry) serveCallers(stop context.Context) func(context.Context) error {
	li := en.Node.Settings.Limits
	limits := httpfront.Limits{HeaderBytes: li.HeaderBytes, HeaderTimeout: node.ReadHeaderTimeout, IdleTimeout: li.IdleTimeout()}
	in := httpfront.NewIntake(intake.NewLimits(li.Memory(), li.Files), li.BodyStall(), li.WriteStall(), en.Node.Log)
	return func(context.Context) error {
		se := &httpfront.Server{Handler: en.callerRouter(), Limits: func() httpfront.Limits { return limits }, Intake: in}
		defer context.AfterFunc(en.ending, se.EndBodies)()
		err := node.Serve(stop, en.Callers, se, li.StopTimeout())
		if stop.Err() != nil {
			return suture.ErrDoNotRestart
		}
		return err
	}
}

func (en *Entry) serveAdmin(ctx context.Context) error {
	return node.ServeHTTP(ctx, en.Admin, en.adminRouter(), time.Second)
}

// applyConfig applies a new revision of the configuration to the balancer. The caller holds the
// node's lock.
func (en *Entry) applyConfig(sn *config.Snapshot) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.balancer.Reconfigure(sn)
}

// Heartbeat returns the heartbeat to send to an agent.
func (en *Entry) Heartbeat(li *link.Link) *wire.Frame {
	fr := &wire.Frame{Kind: wire.Heartbeat, Revision: en.Node.Snapshot().Revision(), Bills: en.takeBillAcks(li.Peer.Box())}
	en.mu.Lock()
	defer en.mu.Unlock()
	fr.Fingerprints, fr.Suspects = en.blocks.Fingerprints(), en.parts.Suspects(clock.Now())
	return fr
}

// HandleFrame handles a frame from an agent.
func (en *Entry) HandleFrame(li *link.Link, fr *wire.Frame) {
	if en.Node.HandleConfigFrame(li, fr) {
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
	if len(fr.Fingerprints) > 0 {
		en.liftHarmless(fr.Fingerprints, clock.Now())
	}
	if len(fr.Clears) > 0 {
		en.recordClears(fr.Clears, clock.Now())
	}
	switch fr.Kind {
	case wire.Admission, wire.Head, wire.Data, wire.End:
		en.handleAttemptFrame(li, fr)
	case wire.Peers:
		en.mu.Lock()
		en.members.SetEntries(li.Peer.Box(), fr.Peers)
		en.mu.Unlock()
	case wire.Bills:
		en.addBills(fr.Bills)
	case wire.BillsBuffered:
		en.mu.Lock()
		en.outbox.RemoveAccepted(fr.Bills)
		en.mu.Unlock()
	case wire.BillsStored:
		en.confirmBills(fr.Bills)
	case wire.ClaimReply:
		en.deliverClaims(fr.Claims)
	case wire.CrashSuspects:
		en.recordSuspicions(fr.Suspicions, clock.Now())
	}
}

// tick periodically forwards bills, rotates the session cache and repeats unanswered configuration
// requests.
func (en *Entry) tick(ctx context.Context) error {
	return node.Every(ctx, tickInterval, func(now time.Time) {
		en.Node.Tick(now)
		if now.Sub(en.billsForwarded) >= en.Node.Settings.Limits.BillFlushInterval() {
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

// drain waits for the requests in progress to end and for their bills to become durable, up to the
// stop timeout of the settings.
func (en *Entry) drain() {
	en.Node.Stop()
	timeout := en.Node.Settings.Limits.StopTimeout()
	deadline := time.Now().Add(timeout)
	defer time.AfterFunc(timeout-min(answerMargin, timeout/answerPart), en.end).Stop()
	for !en.drained() && time.Now().Before(deadline) {
		en.forwardBills(time.Now())
		time.Sleep(drainPollInterval)
	}
	for _, li := range en.Node.Links() {
		li.Send(&wire.Frame{Kind: wire.BillsStored, Bills: en.takeBillAcks(li.Peer.Box())})
	}
	time.Sleep(linkFlushTime)
}

func (en *Entry) drained() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.inProgress == 0 && en.outbox.Len() == 0
}

// attemptPolicy implements route.Picker and, for a team, route.RetryBudget.
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

// Take reports whether a retry is allowed by the team's budget and, if so, consumes it.
func (ap attemptPolicy) Take(now time.Time) bool {
	ap.en.mu.Lock()
	defer ap.en.mu.Unlock()
	return ap.en.budgets.For(ap.team).Take(now)
}
