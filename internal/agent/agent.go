// Package agent is the process beside one backend server: the only way to it
// and the last check before work starts on it.
package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/bill"
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
	// tickEvery bounds how late a deadline or a freeze is noticed.
	tickEvery = 200 * time.Millisecond
	// billsPerOffer bounds the lines of one frame.
	billsPerOffer = 500
	// billRepeat is the time after which lines are handed on again.
	billRepeat = 20 * time.Second
	// drainCheck is how often a planned stop looks whether all has ended.
	drainCheck = 20 * time.Millisecond
)

// Store is what is used of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	List(ctx context.Context, prefix string) ([]kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// Agent runs beside one backend server. Its exported fields are set before
// Run.
type Agent struct {
	Node *node.Node
	// Links and Admin are the open listeners.
	Links, Admin net.Listener
	// HTTP calls the backend server.
	HTTP *http.Client
	// Store is the key-value service.
	Store Store

	// links numbers the links that were accepted.
	links atomic.Uint64

	// mu guards what follows. It may be taken while the node's lock is held,
	// so nothing under it may call what takes the node's lock.
	mu     sync.Mutex
	gate   gate.Gate
	ledger bill.Outbox
	writer bill.Writer
	// streams holds the attempts that wait or run.
	streams map[gate.Key]*stream
	// leader is the entry that decides on roll-outs for the data centre.
	leader string
	// outcomes counts the ended attempts of each version.
	outcomes map[string]*wire.Outcome
	// logs holds the claim logs that this agent is home to, by shard.
	logs map[int]*claim.Log
	// reconciler gives orders to the backend server.
	reconciler order.Reconciler
	// wake has room for one word that a log may have something to do.
	wake chan struct{}
	// dispatched knows what the server got lately, cases which requests it answered and lived
	// on.
	dispatched poison.Runs
	cases      poison.Detector
	// blocked holds what entries have blocked, and when one of them last said so.
	blocked map[poison.Fingerprint]time.Time
	// leavingProbed is when a server that announced its shutdown was last asked whether its next
	// life has begun.
	leavingProbed time.Time
	// nonce is the newest question that confirms the configuration.
	nonce uint64
}

// Run serves until the context ends, and then ends all work in progress.
func (ag *Agent) Run(ctx context.Context) error {
	ag.prepare()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	sup := node.NewSupervisor("agent", ag.Node)
	sup.Add(node.Service{Name: "links", Serving: ag.serveLinks})
	sup.Add(node.Service{Name: "admin", Serving: ag.serveAdmin})
	sup.Add(node.Service{Name: "ticks", Serving: ag.tick})
	sup.Add(node.Service{Name: "bills", Serving: ag.writeBills})
	sup.Add(node.Service{Name: "orders", Serving: ag.reconcileVersions})
	sup.Add(node.Service{Name: "claims", Serving: ag.serveClaims})
	ended := sup.ServeBackground(work)
	ag.Node.Note(timeline.Entry{Event: event.ProcessStarted, Detail: "agent of " + ag.Node.Settings.Server.Name})
	select {
	case err := <-ended:
		return eris.Wrap(err, "agent")
	case <-ctx.Done():
	}
	ag.drain()
	ag.Node.Note(timeline.Entry{Event: event.ProcessStopped})
	return nil
}

func (ag *Agent) prepare() {
	se := ag.Node.Settings
	ag.gate = gate.Gate{Server: se.Server.Name, MaxQueued: se.Limits.Queue}
	ag.ledger = bill.Outbox{Capacity: se.Limits.Bills, InitialDelay: ownGrace, RetryInterval: billRepeat}
	ag.writer = bill.Writer{FlushInterval: se.Limits.BillFlush(), Capacity: se.Limits.Bills}
	ag.streams = map[gate.Key]*stream{}
	ag.reconciler = order.Reconciler{Holder: se.Box + "/" + uuid.NewString()}
	ag.logs = map[int]*claim.Log{}
	ag.wake = make(chan struct{}, 1)
	ag.outcomes = map[string]*wire.Outcome{}
	ag.Node.Adopted = ag.adopted
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

// accept serves one link until it ends.
func (ag *Agent) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	li, err := link.Accept(w, r, ag.Node.Identity(), time.Now())
	if err != nil {
		ag.Node.Note(timeline.Entry{Event: event.LinkRefused, Detail: err.Error()})
		return
	}
	li.Handler = ag
	li.Name = fmt.Sprintf("%s#%d", li.Peer.Box(), ag.links.Add(1))
	li.Heartbeat = ag.Node.Settings.Limits.Heartbeat()
	ag.Node.LinkUp(li)
	ag.tellPeers()
	ag.question(li)
	li.Send(ag.Beat(li))
	err = li.Run(ctx)
	ag.cutStreams(li)
	ag.Node.LinkDown(li, err)
	ag.tellPeers()
}

// tellPeers tells every entry which entries of this data centre are connected
// here.
func (ag *Agent) tellPeers() {
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

// question asks a peer for its revision, so that the answer is younger than
// any freeze of this process.
func (ag *Agent) question(li *link.Link) {
	ag.mu.Lock()
	if ag.nonce == 0 {
		ag.nonce = rand.Uint64() | 1
	}
	nonce := ag.nonce
	ag.mu.Unlock()
	li.Send(&wire.Frame{Kind: wire.Want, Revision: ag.Node.Snapshot().Revision(), Nonce: nonce})
}

// Beat returns the heartbeat for an entry. The entry that leads the data
// centre gets the outcomes too.
func (ag *Agent) Beat(li *link.Link) *wire.Frame {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	lo := ag.load()
	if li.Peer.Box() == ag.leader {
		for _, ou := range ag.outcomes {
			lo.Versions = append(lo.Versions, *ou)
		}
	}
	return &wire.Frame{Kind: wire.Beat, Revision: ag.gate.Revision(), Load: &lo, Prints: ag.soundOf()}
}

// load returns the load; the lock is held.
func (ag *Agent) load() wire.Load {
	lo := ag.gate.Load()
	lo.Leaving = lo.Leaving || ag.Node.Stopping()
	return lo
}

// Frame takes a frame from an entry.
func (ag *Agent) Frame(li *link.Link, fr *wire.Frame) {
	if ag.Node.Control(li, fr) {
		ag.confirm(fr)
		return
	}
	switch fr.Kind {
	case wire.Beat:
		ag.billed(fr.Bills)
		ag.hearBlocked(fr.Prints, clock.Now())
	case wire.Open:
		ag.open(li, fr)
	case wire.Cancel:
		ag.cancel(gate.Key{Link: li.Name, Stream: fr.Stream})
	case wire.Claim:
		ag.takeClaims(li, fr.Claims)
	case wire.Bill:
		ag.mu.Lock()
		ag.writer.Enqueue(li.Peer.Box(), fr.Bills, time.Now())
		ag.mu.Unlock()
	case wire.Billed:
		ag.billed(fr.Bills)
	}
}

func (ag *Agent) billed(lines []wire.BillLine) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.ledger.RemoveDurable(lines)
}

// confirm takes the answer to the newest question.
func (ag *Agent) confirm(fr *wire.Frame) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if fr.Kind != wire.Offer || fr.Nonce == 0 || fr.Nonce != ag.nonce {
		return
	}
	ag.act(ag.gate.Confirm(fr.Revision, clock.Now()))
	if ag.gate.Confirmed() {
		ag.nonce = 0
	}
}

// adopted takes a revision into force; the node's lock is held.
func (ag *Agent) adopted(sn *config.Snapshot) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.act(ag.gate.Reconfigure(sn, clock.Now()))
}

// count notes an outcome; the lock is held.
func (ag *Agent) count(version string, co result.Code) {
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

// tick refuses what is too late, notices a freeze and hands bills on.
func (ag *Agent) tick(ctx context.Context) error {
	return node.Every(ctx, tickEvery, func(now time.Time) {
		ag.Node.Tick(now)
		ag.mu.Lock()
		ag.act(ag.gate.Tick(clock.Now()))
		ag.settleRuns(ctx, clock.Now())
		ag.probeLeaving(ctx, clock.Now())
		confirmed := ag.gate.Confirmed()
		ag.mu.Unlock()
		if !confirmed {
			ag.questionAll()
		}
		ag.offerBills(now)
	})
}

func (ag *Agent) questionAll() {
	for _, li := range ag.Node.Links() {
		ag.question(li)
	}
}

// drain ends all work in progress and hands the bills on.
func (ag *Agent) drain() {
	ag.Node.Stop()
	ag.mu.Lock()
	ag.ledger.MakeAllDue(time.Now())
	ag.act(ag.gate.Leave(clock.Now()))
	ag.mu.Unlock()
	for _, li := range ag.Node.Links() {
		li.Send(ag.Beat(li))
	}
	until := time.Now().Add(ag.Node.Settings.Limits.Stop())
	for !ag.drained() && time.Now().Before(until) {
		time.Sleep(drainCheck)
	}
}

func (ag *Agent) drained() bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.gate.Idle() && len(ag.streams) == 0 && ag.ledger.Len() == 0 && ag.writer.Idle()
}
