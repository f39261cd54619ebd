package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/budget"
	"github.com/linnetrudder/linnetrudder/internal/cascade"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/freshness"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/grace"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/pace"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/quota"
	"github.com/linnetrudder/linnetrudder/internal/rate"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

const (
	// ownRatio is the part of the retry ratio that is used, since requests at
	// the edge of a window are counted by another clock.
	ownRatio = 0.94
	// ownSlack is the retries that one gateway allows itself besides; the
	// platform's slack is for all together, and how many there are is not known.
	ownSlack = 2
	// retryReserve is how many retries of a service escalations leave to requests that have no
	// answer yet, while servers are known to reject attempts.
	retryReserve = 4
	// unreadableBurst is how many unreadable reports are logged in each unreadablePeriod.
	unreadableBurst  = 5
	unreadablePeriod = 10 * time.Second
	// aheadBurst is how many gateways that ask for changes after a later revision are logged in
	// each aheadPeriod.
	aheadBurst  = 5
	aheadPeriod = time.Second
	// staleMargin is what is taken off the bound on the configuration's age, but
	// not more than staleShare of it: a watch may hear nothing for a second
	// although changes are made, and a clock may run a little slow.
	staleMargin = 1300 * time.Millisecond
	staleShare  = 3
	// denyAge is the age of the configuration up to which "no such route" and
	// "no such key" are said; with an older one they might be there by now.
	denyAge = 2500 * time.Millisecond
)

// Gateway serves callers. Its exported fields are set before Run and Serve.
type Gateway struct {
	Log zerolog.Logger
	// Box is the name of the own box, DataCentre that of its data centre.
	Box, DataCentre string
	// Bounds may be changed later by SetBounds.
	Bounds  Bounds
	Store   Store
	Backend Backend
	// RelayAddress is where other gateways ask this one for changes; empty if it
	// answers none. LinkMbps is the capacity of the box's link in Mbit/s.
	RelayAddress string
	LinkMbps     int
	// RelayHTTP opens connections to other gateways, for changes and for reports of load.
	RelayHTTP *http.Client

	// loggedSuspended is the loggedSuspended time that was logged; only the goroutine that ticks uses it.
	loggedSuspended time.Duration
	// relayClient asks the watcher; only the goroutine that follows uses it.
	relayClient relay.Client
	// table is the configuration in force, nil before the first.
	table atomic.Pointer[routing.Table]
	// stop is set once a planned stop has begun.
	stop atomic.Pointer[stopPlan]
	// inProgress counts the requests that are being served.
	inProgress atomic.Int64

	// mu guards what follows.
	mu sync.Mutex
	// freshness knows how old the configuration may be.
	freshness freshness.Record
	// members holds the gateways that may watch for others, by box; size is how many
	// gateways there are.
	members      map[string]relay.Member
	gatewayCount int
	// snapshot is the state as it was passed on last.
	snapshot encodedState
	// maxChangeAge is how old changes that are being applied for the first time may be.
	maxChangeAge time.Duration
	// stateRead is set once the whole state was read.
	stateRead bool
	// relayPlan says which of them to ask for changes.
	relayPlan relay.Plan
	// document is the configuration in force as it came.
	document *routing.Document
	// lastUpdateRequest is when another gateway last lastUpdateRequest this one for changes.
	lastUpdateRequest time.Time
	// history holds the newest changes for others; changed is closed when there are
	// more, confirmed when it is known again that there are none that are not known.
	history   relay.History
	changed   chan struct{}
	confirmed chan struct{}
	// announcedConfirmed is the moment up to which the state was complete when confirmed was closed
	// last.
	announcedConfirmed time.Time
	servers            directory.Directory
	pool               pool.Pool
	// fleet knows how many gateways there may be, unusable which entries of servers were
	// said to be unusable.
	fleet    quota.Fleet
	unusable map[string]bool
	// unreadableLog bounds the log lines of reports that could not be read, aheadLog those of
	// gateways that ask for changes after a later revision.
	unreadableLog, aheadLog zerolog.BurstSampler
	// eraGuard knows the era of the key-value service, eraSince is when a state of it was first read.
	eraGuard revision.Guard
	eraSince time.Time
	// missingDataCentres and missingMembers hold the evacuated data centres and the members that a restored
	// service does not name.
	missingDataCentres, missingMembers grace.Set
	// isMember is set once this gateway has joined; rejoin gets a value when a restored service
	// has lost its membership.
	isMember bool
	rejoin   chan struct{}
	// leavingGossip and pauseGossip hold the servers whose shutdown or pause is propagated to other
	// gateways.
	leavingGossip, pauseGossip gossip.Spread
	// loads holds what other gateways report of servers' work, loadPlan says to which
	// of them this one reports.
	loads    load.Table
	loadPlan relay.Plan
	// lastReportCollected is when a collector last took this gateway's report, life tells its process
	// from those before it on its box.
	lastReportCollected time.Time
	instanceID          uint64
	// otherReadyAt is when another gateway last said that it is ready.
	otherReadyAt time.Time
	// storeAvailable gets a value when the first one says so after none did.
	storeAvailable chan struct{}
	// pace knows how long heads take, by service and model.
	pace pace.Meter
	// promptSizes knows the usual size of promptSizes by route and by service, gains by how much
	// models rate their answers higher than the smallest.
	promptSizes sizes
	modelGains  cascade.Gains
	// backlogTrends follows each service's backlog.
	backlogTrends map[string]*pace.Trend
	// latencyFloors knows how long answers take at their latencyFloors, by service and model.
	latencyFloors pace.Floor
	// retries holds the window of each service.
	retries map[string]*budget.Window
	// rollouts holds the newest roll-out of each service.
	rollouts map[string]*timedRollout
	// phases holds the stored phase of each service's roll-out.
	phases map[string]StoredPhase
	// demands holds how many attempts are sent to each service, by route.
	demands map[string]*rate.Meter
	// runs knows which requests are with which server, probes which servers were just asked
	// whether they have ended, by life.
	runs   poison.Runs
	probes map[string]*probe
	// cases holds what is suspected of requests, blocks those that are not to be sent.
	cases  poison.Cases
	blocks poison.Blocks
	// blockLifted is closed when a block has been blockLifted, and made anew.
	blockLifted chan struct{}
	// awaitingHead holds the attempts whose servers have answered nothing yet, storing when the
	// blocks are to be stored that the key-value service does not hold yet.
	awaitingHead map[*attemptState]bool
	storeBlockAt map[poison.Print]time.Time
	// deleteBlockAt holds when the blocks are to be ended that others made of requests which
	// servers answer here and live on.
	deleteBlockAt map[poison.Print]time.Time
	// doubts holds the blocks that this gateway or another one doubts, and since when it was
	// heard of.
	doubts map[poison.Print]time.Time
}

// Run follows the key-value service until the context ends.
func (ga *Gateway) Run(ctx context.Context) error {
	ga.prepare()
	if err := clock.Err(); err != nil {
		ga.Log.Error().Int("event", int(event.ClockUnreadable)).Err(err).Msg(event.Name(event.ClockUnreadable))
	}
	var wg sync.WaitGroup
	wg.Go(func() { ga.tick(ctx) })
	wg.Go(func() { ga.keepMembership(ctx) })
	wg.Go(func() { ga.shareLoad(ctx) })
	ga.syncState(ctx)
	wg.Wait()
	return ctx.Err()
}

func (ga *Gateway) prepare() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.pool = pool.Pool{
		Box: ga.Box, DataCentre: ga.DataCentre, Directory: &ga.servers, Loads: &ga.loads,
	}
	ga.unusable = map[string]bool{}
	ga.unreadableLog = zerolog.BurstSampler{Burst: unreadableBurst, Period: unreadablePeriod}
	ga.aheadLog = zerolog.BurstSampler{Burst: aheadBurst, Period: aheadPeriod}
	ga.countFleet(clock.Now())
	ga.retries = map[string]*budget.Window{}
	ga.rollouts = map[string]*timedRollout{}
	ga.phases = map[string]StoredPhase{}
	ga.demands = map[string]*rate.Meter{}
	ga.backlogTrends = map[string]*pace.Trend{}
	ga.probes = map[string]*probe{}
	ga.cases = poison.Cases{Ends: poison.FewestEnds}
	ga.awaitingHead = map[*attemptState]bool{}
	ga.storeBlockAt = map[poison.Print]time.Time{}
	ga.deleteBlockAt = map[poison.Print]time.Time{}
	ga.doubts = map[poison.Print]time.Time{}
	ga.members = map[string]relay.Member{}
	ga.relayPlan = relay.Plan{Box: ga.Box, DataCentre: ga.DataCentre}
	ga.loadPlan = ga.relayPlan
	ga.changed = make(chan struct{})
	ga.blockLifted = make(chan struct{})
	ga.confirmed = make(chan struct{})
	ga.storeAvailable = make(chan struct{}, 1)
	ga.rejoin = make(chan struct{}, 1)
	ga.instanceID = rand.Uint64()
}

// InProgress returns how many requests are being served.
func (ga *Gateway) InProgress() int { return int(ga.inProgress.Load()) }

// Table returns the configuration in force, nil before the first.
func (ga *Gateway) Table() *routing.Table { return ga.table.Load() }

// Ready reports whether new callers may be sent here.
func (ga *Gateway) Ready(now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.readyLocked(now)
}

// readyLocked is Ready with the lock held.
func (ga *Gateway) readyLocked(now time.Time) bool {
	return !ga.Stopping() && ga.table.Load() != nil && ga.acceptsKeysLocked(now)
}

// configAge returns how old the configuration may be at the most.
func (ga *Gateway) configAge(now time.Time) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.freshness.Age(now)
}

// acceptsKeys reports whether keys may be accepted.
func (ga *Gateway) acceptsKeys(now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.acceptsKeysLocked(now)
}

// acceptsKeysLocked is isFresh with the lock held.
func (ga *Gateway) acceptsKeysLocked(now time.Time) bool {
	return ga.Bounds.MaxConfigAge == 0 || ga.freshness.Age(now) < ga.Bounds.keyAcceptanceAge()
}

// SetBounds takes changed bounds.
func (ga *Gateway) SetBounds(bo Bounds) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.Bounds = bo
	clear(ga.retries)
}

func (ga *Gateway) tick(ctx context.Context) {
	ti := time.NewTicker(freshness.TickEvery)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
			now := clock.Now()
			ga.noteTick(now)
			ga.noteSuspended()
			ga.dropMissing(now)
			ga.dropLost(now)
			ga.watchServers(now)
			ga.expireLoads(now)
			ga.settleRuns(ctx, now)
			ga.keepBlocks(ctx, now)
			ga.advanceRollouts(ctx, now)
		}
	}
}

func (ga *Gateway) noteTick(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.freshness.Tick(now)
}

// noteSuspended logs that the machine was suspended since the last tick.
func (ga *Gateway) noteSuspended() {
	total := clock.Suspended()
	if total == ga.loggedSuspended {
		return
	}
	ga.Log.Warn().Int("event", int(event.MachineSuspended)).Dur("for_ms", total-ga.loggedSuspended).Msg(event.Name(event.MachineSuspended))
	ga.loggedSuspended = total
}

// window returns the retry window of a service; the lock is held.
func (ga *Gateway) window(service string) *budget.Window {
	wi := ga.retries[service]
	if wi == nil {
		wi = &budget.Window{Span: ga.Bounds.RetryWindow, Ratio: ga.Bounds.RetryRatio * ownRatio, Slack: ownSlack}
		ga.retries[service] = wi
	}
	return wi
}
