// Package agent implements the process that runs next to one backend server. All requests to the
// server go through it, and it makes the final admission decision before work starts there.
package agent

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/bill"
	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/claim"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/member"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/order"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
	"github.com/linnetrudder/linnetrudder/internal/replica"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

const (
	// tickInterval bounds the delay until an expired deadline or a suspension of the process is
	// detected.
	tickInterval = 200 * time.Millisecond
	// maxBillsPerFrame is the maximum number of bill lines in one frame.
	maxBillsPerFrame = 500
	// billRetryInterval is the time after which unconfirmed bill lines are sent again.
	billRetryInterval = 20 * time.Second
	// drainPollInterval is how often a planned stop checks whether all work has finished.
	drainPollInterval = 20 * time.Millisecond
)

// Store is the part of the key-value service's client that the agent uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	List(ctx context.Context, prefix string) ([]kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// Agent controls the access to one backend server. Its exported fields must be set before Run.
type Agent struct {
	Node *node.Node
	// Links and Admin are the listeners for links from entries and for the admin port.
	Links, Admin net.Listener
	// HTTP is the client for requests to the backend server.
	HTTP *http.Client
	// Store is the key-value service.
	Store Store

	// metered is the memory of responses that are metered.
	metered buffer.Pool
	// linkSeq is the number of links accepted so far.
	linkSeq atomic.Uint64

	// mu guards the fields below. It may be acquired while the node's lock is held, so code that
	// holds it must not call anything that acquires the node's lock.
	mu     sync.Mutex
	gate   gate.Gate
	outbox bill.Outbox
	writer bill.Writer
	// streams holds the attempts that are queued or running.
	streams map[gate.Key]*stream
	// leader is the box of the entry that controls the roll-outs of the data centre.
	leader string
	// outcomes counts the finished attempts by version.
	outcomes map[string]*wire.Outcome
	// logs holds the claim logs that this agent currently owns, by shard.
	logs map[int]*claim.Log
	// reconciler decides which versions the backend server must load or unload.
	reconciler order.Reconciler
	// claimsReady signals that a claim log may have an operation to execute. Its capacity is one.
	claimsReady chan struct{}
	// dispatched tracks the attempts recently sent to the server, and detector the requests that
	// the server answered completely and survived.
	dispatched poison.Runs
	detector   poison.Detector
	// blocked holds the requests that entries block, suspectParts the parts that they suspect, with the
	// time of the latest report. clears holds the parts with which the server survived responses.
	blocked      map[poison.Fingerprint]time.Time
	suspectParts map[poison.Part]time.Time
	clears       poison.PartDetector
	// lastRestartProbe is when a server that announced its shutdown was last probed for a restart.
	lastRestartProbe time.Time
	// nonce identifies the latest revision request whose answer can confirm the configuration; zero
	// if none is pending.
	nonce uint64
}

// Run serves until the context is cancelled, and then drains the work in progress.
func (ag *Agent) Run(ctx context.Context) error {
	ag.prepare()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	sup := node.NewSupervisor("agent", ag.Node)
	sup.Add(node.Service{Name: "links", Run: ag.serveLinks})
	sup.Add(node.Service{Name: "admin", Run: ag.serveAdmin})
	sup.Add(node.Service{Name: "ticks", Run: ag.tick})
	sup.Add(node.Service{Name: "bills", Run: ag.writeBills})
	sup.Add(node.Service{Name: "orders", Run: ag.reconcileVersions})
	sup.Add(node.Service{Name: "claims", Run: ag.serveClaims})
	ended := sup.ServeBackground(work)
	ag.Node.Record(timeline.Entry{Event: event.ProcessStarted, Detail: "agent of " + ag.Node.Settings.Server.Name})
	select {
	case err := <-ended:
		return eris.Wrap(err, "agent")
	case <-ctx.Done():
	}
	ag.drain()
	ag.Node.Record(timeline.Entry{Event: event.ProcessStopped})
	return nil
}

func (ag *Agent) prepare() {
	se := ag.Node.Settings
	ag.metered.Limit = meterBytes
	ag.gate = gate.Gate{Server: se.Server.Name, MaxQueued: se.Limits.Queue}
	ag.outbox = bill.Outbox{Capacity: se.Limits.Bills, InitialDelay: billGracePeriod, RetryInterval: billRetryInterval}
	ag.writer = bill.Writer{FlushInterval: se.Limits.BillFlushInterval(), Capacity: se.Limits.Bills}
	ag.streams = map[gate.Key]*stream{}
	ag.reconciler = order.Reconciler{Holder: se.Box + "/" + uuid.NewString()}
	ag.logs = map[int]*claim.Log{}
	ag.claimsReady = make(chan struct{}, 1)
	ag.outcomes = map[string]*wire.Outcome{}
	ag.Node.OnAdopt = ag.applyConfig
	ag.Node.Fanout = replica.AgentFanout
}

func (ag *Agent) serveLinks(ctx context.Context) error {
	ro := mux.NewRouter()
	ro.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) { ag.accept(ctx, w, r) })
	return node.ServeHTTP(ctx, ag.Links, ro, 0)
}

func (ag *Agent) serveAdmin(ctx context.Context) error {
	return node.ServeHTTP(ctx, ag.Admin, ag.Node.AdminRouter(), time.Second)
}

// accept accepts a link and serves it until it is closed.
func (ag *Agent) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	li, err := link.Accept(w, r, ag.Node.Identity(), time.Now())
	if err != nil {
		ag.Node.Record(timeline.Entry{Event: event.LinkRefused, Detail: err.Error()})
		return
	}
	li.Handler = ag
	li.Name = fmt.Sprintf("%s#%d", li.Peer.Box(), ag.linkSeq.Add(1))
	li.HeartbeatInterval = ag.Node.Settings.Limits.HeartbeatInterval()
	ag.Node.AddLink(li)
	ag.broadcastPeers()
	ag.requestRevision(li)
	li.Send(ag.Heartbeat(li))
	err = li.Run(ctx)
	ag.cancelLinkStreams(li)
	ag.Node.RemoveLink(li, err)
	ag.broadcastPeers()
}

// broadcastPeers sends every connected entry the list of the entries of this data centre that are
// connected here, and elects the leader among them.
func (ag *Agent) broadcastPeers() {
	links := ag.Node.Links()
	boxes := make([]string, 0, len(links))
	for _, li := range links {
		if li.Peer.DataCentre() == ag.Node.Settings.DataCentre {
			boxes = append(boxes, li.Peer.Box())
		}
	}
	ag.mu.Lock()
	ag.leader = rendezvous.First(member.WatchKey, boxes)
	ag.mu.Unlock()
	for _, li := range links {
		li.Send(&wire.Frame{Kind: wire.Peers, Peers: boxes})
	}
}

// requestRevision asks a peer for its revision. The nonce in the answer shows that it was sent after
// this process had been suspended.
func (ag *Agent) requestRevision(li *link.Link) {
	ag.mu.Lock()
	if ag.nonce == 0 {
		ag.nonce = rand.Uint64() | 1
	}
	nonce := ag.nonce
	ag.mu.Unlock()
	li.Send(&wire.Frame{Kind: wire.Want, Revision: ag.Node.Snapshot().Revision(), Nonce: nonce})
}

// Heartbeat returns the heartbeat for an entry. The data centre's leader also gets the outcomes of
// attempts.
func (ag *Agent) Heartbeat(li *link.Link) *wire.Frame {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	lo := ag.load()
	if li.Peer.Box() == ag.leader {
		for _, ou := range ag.outcomes {
			lo.Versions = append(lo.Versions, *ou)
		}
	}
	return &wire.Frame{
		Kind: wire.Heartbeat, Revision: ag.gate.Revision(), Load: &lo, Fingerprints: ag.harmlessBlocked(),
		Clears: ag.clears.Clears(slices.Collect(maps.Keys(ag.suspectParts)), clock.Now()),
	}
}

// load returns the current load. The caller holds ag.mu.
func (ag *Agent) load() wire.Load {
	lo := ag.gate.Load()
	lo.Leaving = lo.Leaving || ag.Node.Stopping()
	return lo
}

// HandleFrame handles a frame from an entry.
func (ag *Agent) HandleFrame(li *link.Link, fr *wire.Frame) {
	if ag.Node.HandleConfigFrame(li, fr) {
		ag.confirmConfig(fr)
		return
	}
	switch fr.Kind {
	case wire.Heartbeat:
		ag.confirmBills(fr.Bills)
		ag.recordBlocked(fr.Fingerprints, clock.Now())
		ag.recordSuspects(fr.Suspects, clock.Now())
		if len(fr.Suspects) > 0 {
			li.Send(ag.Heartbeat(li))
		}
	case wire.Open:
		ag.openStream(li, fr)
	case wire.Cancel:
		ag.cancelStream(gate.Key{Link: li.Name, Stream: fr.Stream})
	case wire.Claim:
		ag.handleClaims(li, fr.Claims)
	case wire.Bills:
		ag.mu.Lock()
		ag.writer.Enqueue(li.Peer.Box(), fr.Bills, time.Now())
		ag.mu.Unlock()
	case wire.BillsStored:
		ag.confirmBills(fr.Bills)
	}
}

func (ag *Agent) confirmBills(lines []wire.BillLine) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.outbox.RemoveDurable(lines)
}

// confirmConfig handles the answer to the latest revision request and ignores all others.
func (ag *Agent) confirmConfig(fr *wire.Frame) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if fr.Kind != wire.Offer || fr.Nonce == 0 || fr.Nonce != ag.nonce {
		return
	}
	ag.apply(ag.gate.Confirm(fr.Revision, clock.Now()))
	if ag.gate.Confirmed() {
		ag.nonce = 0
	}
}

// applyConfig applies a new revision of the configuration to the gate. The caller holds the node's
// lock.
func (ag *Agent) applyConfig(sn *config.Snapshot) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.apply(ag.gate.Reconfigure(sn, clock.Now()))
}

// countOutcome counts the outcome of an attempt. The caller holds ag.mu.
func (ag *Agent) countOutcome(version string, co result.Code) {
	ou := ag.outcomes[version]
	if ou == nil {
		ou = &wire.Outcome{Version: version}
		ag.outcomes[version] = ou
	}
	ou.Started++
	if co == result.ServerFailed {
		ou.Failed++
	}
}

// tick periodically refuses attempts whose deadlines have passed, detects a suspension of the process
// and sends due bill lines.
func (ag *Agent) tick(ctx context.Context) error {
	return node.Every(ctx, tickInterval, func(now time.Time) {
		ag.Node.Tick(now)
		ag.mu.Lock()
		ag.apply(ag.gate.Tick(clock.Now()))
		clearsAdded := ag.updateRuns(ctx, clock.Now())
		ag.startRestartProbe(ctx, clock.Now())
		confirmed := ag.gate.Confirmed()
		ag.mu.Unlock()
		if clearsAdded {
			ag.sendHeartbeats()
		}
		if !confirmed {
			ag.requestRevisions()
		}
		ag.sendDueBills(now)
	})
}

func (ag *Agent) requestRevisions() {
	for _, li := range ag.Node.Links() {
		ag.requestRevision(li)
	}
}

// sendHeartbeats sends a heartbeat to all connected entries before the next one is due.
func (ag *Agent) sendHeartbeats() {
	for _, li := range ag.Node.Links() {
		li.Send(ag.Heartbeat(li))
	}
}

// drain refuses new work, waits for running attempts to finish and sends the remaining bill lines,
// for at most the stop timeout of the settings.
func (ag *Agent) drain() {
	ag.Node.Stop()
	ag.mu.Lock()
	ag.outbox.MakeAllDue(time.Now())
	ag.apply(ag.gate.Leave(clock.Now()))
	ag.mu.Unlock()
	ag.sendHeartbeats()
	until := time.Now().Add(ag.Node.Settings.Limits.StopTimeout())
	for !ag.drained() && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

func (ag *Agent) drained() bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.gate.Idle() && len(ag.streams) == 0 && ag.outbox.Len() == 0 && ag.writer.Idle()
}
