package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/budget"
	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/cascade"
	"github.com/linnetrudder/linnetrudder/internal/choicelog"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/comparison"
	"github.com/linnetrudder/linnetrudder/internal/cpuload"
	"github.com/linnetrudder/linnetrudder/internal/departure"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/freshness"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/grace"
	"github.com/linnetrudder/linnetrudder/internal/latency"
	"github.com/linnetrudder/linnetrudder/internal/lending"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/outage"
	"github.com/linnetrudder/linnetrudder/internal/overload"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/pool"
	"github.com/linnetrudder/linnetrudder/internal/quota"
	"github.com/linnetrudder/linnetrudder/internal/rate"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/routing"
	"github.com/linnetrudder/linnetrudder/internal/usage"
)

const (
	// ownRatio is the fraction of the retry ratio that a gateway uses, since requests near the edge of
	// a window are counted by another clock.
	ownRatio = 0.94
	// ownSlack is the number of retries that each gateway allows itself in addition. The platform's
	// slack applies to all gateways together, whose number is not known.
	ownSlack = 2
	// retryReserve is how many retries of a service escalations leave to requests that have no response
	// yet, while some servers are known to reject attempts.
	retryReserve = 4
	// unreadableBurst is how many unreadable reports are logged in each unreadablePeriod.
	unreadableBurst  = 5
	unreadablePeriod = 10 * time.Second
	// aheadBurst is how many requests for changes after a revision that is later than this gateway's
	// are logged in each aheadPeriod.
	aheadBurst  = 5
	aheadPeriod = time.Second
	// staleMargin is subtracted from the maximum age of the configuration, but at most 1/staleShare of
	// that: a watch may return nothing for a second although there are changes, and a clock may run
	// slightly slow.
	staleMargin = 1300 * time.Millisecond
	staleShare  = 3
	// tickInterval is the interval of the gateway's periodic work.
	tickInterval = 100 * time.Millisecond
	// longestDenyAge is the age of the configuration up to which requests are rejected at the most for an
	// unknown route or key. An older configuration may lack routes and keys that have been added since.
	longestDenyAge = 2500 * time.Millisecond
	// defaultResponseBytes is the maximum memory of buffered responses in bytes if none is set.
	defaultResponseBytes = 16 << 20
)

// Gateway serves requests. Its exported fields must be set before Run and Serve.
type Gateway struct {
	Log zerolog.Logger
	// Box is the name of this gateway's box, DataCentre the name of its data centre.
	Box, DataCentre string
	// Bounds can be changed later with SetBounds.
	Bounds  Bounds
	Store   Store
	Backend Backend
	// RelayAddress is where other gateways request changes from this one. It is empty if this gateway
	// does not answer such requests. LinkMbps is the capacity of the box's link in Mbit/s.
	RelayAddress string
	LinkMbps     int
	// Cores is the number of cores that the process may use, a fraction for a share of one; zero if it is
	// not known.
	Cores float64
	// ResponseBytes is the maximum memory in bytes of the buffered responses of all requests, zero for
	// defaultResponseBytes.
	ResponseBytes int64
	// Seeds holds the relay addresses of gateways from which the others read the state and receive
	// changes at the first start of the whole system, until members are known. It is empty otherwise.
	Seeds []string
	// RelayHTTP opens connections to other gateways for changes and load reports.
	RelayHTTP *http.Client
	// Usage counts requests for the platform's billing and reports them. It is nil if the platform
	// asks for no reports.
	Usage *usage.Runner

	// loggedSuspended is the total time of suspension at the last log entry. Only the goroutine of tick
	// uses it.
	loggedSuspended time.Duration
	// loadUnreadable is set once the error of reading the processor time was logged. Only the goroutine of
	// tick uses it.
	loadUnreadable bool
	// relayClient requests changes from the watcher, fallbackClient from another gateway while the service
	// does not answer this one. Only the goroutine of syncState uses them.
	relayClient, fallbackClient relay.Client
	// table is the configuration in force, nil before the first one.
	table atomic.Pointer[routing.Table]
	// stop is set when a planned stop begins.
	stop atomic.Pointer[StopPlan]
	// ending is cancelled by end when requests without an answer must end.
	ending context.Context //nolint:containedctx // cancels all requests together
	end    context.CancelCauseFunc
	// durations holds the usual duration of answered requests by route.
	durations latency.Meter
	// buffers holds the responses that are read before they are delivered.
	buffers buffer.Pool
	// inProgress is the number of requests being served.
	inProgress atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// freshness tracks an upper bound on the age of the configuration.
	freshness freshness.Tracker
	// members holds the gateways that may watch the key-value service for others, by box. gatewayCount
	// is the number of gateways.
	members      map[string]relay.Member
	gatewayCount int
	// snapshot is the complete state as it was last sent to other gateways.
	snapshot encodedSnapshot
	// maxChangeAge is an upper bound on the age of changes that are being applied for the first time.
	maxChangeAge time.Duration
	// departures holds the servers that stopped accepting requests, for other gateways. departed collects the
	// keys of those in the changes that are being applied.
	departures departure.Log
	departed   []string
	// completeUntil is the time up to which all departures were known before the changes that are being
	// applied, the zero time before the first state.
	completeUntil time.Time
	// departuresOutdated is set while departures are not known recently enough.
	departuresOutdated bool
	// choices holds from which state each server was last chosen.
	choices choicelog.Log
	// stateRead is set after the first complete read of the state.
	stateRead bool
	// storeOutage follows the calls to the key-value service.
	storeOutage outage.Tracker
	// relayPlan selects the member to request changes from.
	relayPlan relay.Plan
	// document is the configuration in force before compilation.
	document *routing.Document
	// lastUpdateRequest is when another gateway last requested changes from this one.
	lastUpdateRequest time.Time
	// history holds the most recent changes for other gateways. changed is closed when changes are added
	// to it, confirmed when this gateway's state is known to be complete up to a later time.
	history   relay.History
	changed   chan struct{}
	confirmed chan struct{}
	// announcedConfirmed is the time up to which the state was complete when confirmed was last closed.
	announcedConfirmed time.Time
	servers            directory.Directory
	pool               pool.Pool
	// fleet estimates the maximum number of gateways. unusable holds the ids of the server entries that
	// were logged as unusable.
	fleet    quota.Fleet
	unusable map[string]bool
	// unreadableLog limits the log entries for unreadable reports, aheadLog those for requests for
	// changes after a revision that is later than this gateway's.
	unreadableLog, aheadLog zerolog.BurstSampler
	// eraGuard tracks the era of the key-value service. eraSince is when a state of that era was first
	// read.
	eraGuard revision.Guard
	eraSince time.Time
	// missingDataCentres and missingMembers hold the evacuated data centres and the members that a
	// restored service does not list.
	missingDataCentres, missingMembers grace.Set
	// isMember is set once this gateway has joined. rejoin receives a value if a restored service does
	// not have its membership.
	isMember bool
	rejoin   chan struct{}
	// leavingGossip and pauseGossip hold the servers whose shutdown or pause is propagated to other
	// gateways.
	leavingGossip, pauseGossip gossip.FactSet
	// loads holds the load of servers that other gateways report. loadPlan selects the gateway that this
	// one reports to.
	loads    load.Table
	loadPlan relay.Plan
	// requests measures the rate of requests that arrive at this gateway.
	requests rate.Meter
	// lending moves units of quotas between gateways. lender is the box of the gateway that this one lends
	// to and borrows from, empty if there is none.
	lending lending.Book
	lender  string
	// overload rejects new connections while the processor time does not suffice.
	overload overload.Gate
	// lastReportCollected is when a collector last took this gateway's report. instanceID distinguishes
	// this process from earlier ones on the same box.
	lastReportCollected time.Time
	instanceID          uint64
	// otherReadyAt is when another gateway last reported that it is ready.
	otherReadyAt time.Time
	// storeAvailable receives a value when another gateway reports that it is ready after none did.
	storeAvailable chan struct{}
	// headLatencies tracks the usual time to the response head by service and model.
	headLatencies latency.Meter
	// promptSizes tracks the usual size of prompts by route and by service, modelGains by how much more
	// confident each model is than the smallest one.
	promptSizes promptSizes
	modelGains  cascade.ConfidenceGains
	// backlogTrends tracks the backlog of each service.
	backlogTrends map[string]*latency.Smoother
	// references holds the times of recent responses of each service, except those of versions on trial.
	references map[string]*comparison.Reference
	// retries holds the retry window of each service.
	retries map[string]*budget.Window
	// rollouts holds the most recent roll-out of each service.
	rollouts map[string]*rolloutState
	// phases holds the stored phase of each service's roll-out.
	phases map[string]StoredPhase
	// demands measures the rate of attempts to each service by route.
	demands map[string]*rate.Meter
	// runs tracks which requests each server has been sent. probes holds the most recent check of
	// each server instance whether it still accepts connections.
	runs   poison.Runs
	probes map[string]*probe
	// unexplainedEnds holds the servers to probe whose entries ended without an announcement.
	unexplainedEnds []directory.Server
	// crashDetector holds the suspicions against requests, blocks the requests that must not be sent.
	crashDetector poison.Detector
	blocks        poison.Blocks
	// partDetector holds the evidence against parts of prompts.
	partDetector poison.PartDetector
	// crashes holds the crashes of servers that are propagated to other gateways.
	crashes poison.Crashes
	// reportDue is closed and replaced when there is something to report to other gateways at once.
	reportDue chan struct{}
	// exchangeTimeout is how long an exchange of load reports may make no progress. peerFailed receives a
	// value when one has failed.
	exchangeTimeout time.Duration
	peerFailed      chan struct{}
	// blockLifted is closed and replaced when a block is lifted.
	blockLifted chan struct{}
	// awaitingHead holds the attempts whose response head has not arrived. storeBlockAt holds when to
	// store the blocks that the key-value service does not have yet.
	awaitingHead map[*attemptState]bool
	storeBlockAt map[poison.Fingerprint]time.Time
	// deleteBlockAt holds when to delete the stored blocks of requests that servers have completed for
	// this gateway without crashing.
	deleteBlockAt map[poison.Fingerprint]time.Time
	// doubts holds the requests whose blocks this gateway or another one disputes, with the time at
	// which this gateway learned of it.
	doubts map[poison.Fingerprint]time.Time
}

// Run synchronizes the state with the key-value service until the context ends.
func (ga *Gateway) Run(ctx context.Context) error {
	ga.prepare()
	if err := clock.Err(); err != nil {
		ga.Log.Error().Int("event", int(event.ClockUnreadable)).Err(err).Msg(event.Name(event.ClockUnreadable))
	}
	var wg sync.WaitGroup
	wg.Go(func() { ga.tick(ctx) })
	wg.Go(func() { ga.maintainMembership(ctx) })
	wg.Go(func() { ga.runLoadExchange(ctx) })
	if ga.Usage != nil {
		wg.Go(func() { ga.Usage.Run(ctx) })
	}
	ga.syncState(ctx)
	wg.Wait()
	return ctx.Err()
}

func (ga *Gateway) prepare() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.pool = pool.Pool{
		Box: ga.Box, DataCentre: ga.DataCentre, Directory: &ga.servers, Loads: &ga.loads, Units: ga.lending.Units,
	}
	ga.buffers.Limit = cmp.Or(ga.ResponseBytes, defaultResponseBytes)
	ga.requests = rate.Meter{TimeConstant: demandTimeConstant}
	ga.unusable = map[string]bool{}
	ga.unreadableLog = zerolog.BurstSampler{Burst: unreadableBurst, Period: unreadablePeriod}
	ga.aheadLog = zerolog.BurstSampler{Burst: aheadBurst, Period: aheadPeriod}
	ga.updateFleet(clock.Now())
	ga.retries = map[string]*budget.Window{}
	ga.rollouts = map[string]*rolloutState{}
	ga.phases = map[string]StoredPhase{}
	ga.demands = map[string]*rate.Meter{}
	ga.backlogTrends = map[string]*latency.Smoother{}
	ga.probes = map[string]*probe{}
	ga.crashDetector = poison.Detector{MinCrashes: poison.MinCrashes}
	ga.awaitingHead = map[*attemptState]bool{}
	ga.storeBlockAt = map[poison.Fingerprint]time.Time{}
	ga.deleteBlockAt = map[poison.Fingerprint]time.Time{}
	ga.doubts = map[poison.Fingerprint]time.Time{}
	ga.members = map[string]relay.Member{}
	ga.servers.Service = &ga.storeOutage
	ga.references = map[string]*comparison.Reference{}
	ga.relayPlan = relay.Plan{Box: ga.Box, DataCentre: ga.DataCentre, Service: &ga.storeOutage, MaxPropagation: ga.Bounds.MaxPropagation}
	ga.loadPlan = ga.relayPlan
	ga.ending, ga.end = context.WithCancelCause(context.Background())
	ga.changed = make(chan struct{})
	ga.blockLifted = make(chan struct{})
	ga.reportDue = make(chan struct{})
	ga.exchangeTimeout = minExchangeTimeout
	ga.peerFailed = make(chan struct{}, 1)
	ga.confirmed = make(chan struct{})
	ga.storeAvailable = make(chan struct{}, 1)
	ga.rejoin = make(chan struct{}, 1)
	ga.instanceID = rand.Uint64()
	ga.lending = lending.Book{Process: ga.instanceID, Started: clock.Now()}
	if ga.Usage != nil {
		ga.Usage.Log, ga.Usage.Box, ga.Usage.Process, ga.Usage.Rank = ga.Log, ga.Box, ga.instanceID, ga.collectorRank
	}
}

// InProgress returns the number of requests being served.
func (ga *Gateway) InProgress() int { return int(ga.inProgress.Load()) }

// Table returns the configuration in force, nil before the first one.
func (ga *Gateway) Table() *routing.Table { return ga.table.Load() }

// Ready reports whether this gateway accepts new callers.
func (ga *Gateway) Ready(now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.readyLocked(now)
}

// readyLocked is Ready for callers that hold the lock.
func (ga *Gateway) readyLocked(now time.Time) bool {
	return !ga.Stopping() && ga.table.Load() != nil && ga.acceptsKeysLocked(now)
}

// configAge returns an upper bound on the age of the configuration, and the box of the gateway or the
// service that confirmed it.
func (ga *Gateway) configAge(now time.Time) (age time.Duration, source string) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.freshness.Age(now), ga.freshness.Source()
}

// denyAge returns the age of the configuration up to which requests are rejected for an unknown route or
// key.
func (ga *Gateway) denyAge() time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.Bounds.MaxPropagation == 0 {
		return longestDenyAge
	}
	return min(longestDenyAge, ga.Bounds.MaxPropagation)
}

// acceptsKeys reports whether the configuration is recent enough to accept keys.
func (ga *Gateway) acceptsKeys(now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.acceptsKeysLocked(now)
}

// acceptsKeysLocked is acceptsKeys for callers that hold the lock.
func (ga *Gateway) acceptsKeysLocked(now time.Time) bool {
	return ga.Bounds.MaxConfigAge == 0 || ga.freshness.Age(now) < ga.Bounds.keyAcceptanceAge()
}

// SetBounds replaces the bounds and clears the retry windows.
func (ga *Gateway) SetBounds(bo Bounds) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.Bounds = bo
	ga.relayPlan.MaxPropagation, ga.loadPlan.MaxPropagation = bo.MaxPropagation, bo.MaxPropagation
	clear(ga.retries)
}

func (ga *Gateway) tick(ctx context.Context) {
	ti := time.NewTicker(tickInterval)
	defer ti.Stop()
	cpu := cpuload.Meter{Cores: ga.Cores}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
			now := clock.Now()
			ga.observeLoad(cpu.Read(now))
			ga.recordConfigAge(now)
			ga.checkDepartures(now)
			ga.logSuspension()
			ga.dropMissing(now)
			ga.expireLost(now)
			ga.tickServers(now)
			ga.expireLoads(now)
			ga.updateRuns(ctx, now)
			ga.maintainBlocks(ctx, now)
			ga.advanceRollouts(ctx, now)
		}
	}
}

func (ga *Gateway) recordConfigAge(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.freshness.EverConfirmed() {
		configAgeSeconds.Set(ga.freshness.Age(now).Seconds())
	}
}

// logSuspension logs that the box was suspended since the last tick.
func (ga *Gateway) logSuspension() {
	total := clock.Suspended()
	if total == ga.loggedSuspended {
		return
	}
	ga.Log.Warn().Int("event", int(event.MachineSuspended)).Dur("for_ms", total-ga.loggedSuspended).Msg(event.Name(event.MachineSuspended))
	ga.loggedSuspended = total
}

// window returns the retry window of a service. The lock is held.
func (ga *Gateway) window(service string) *budget.Window {
	wi := ga.retries[service]
	if wi == nil {
		wi = &budget.Window{Span: ga.Bounds.RetryWindow, Ratio: ga.Bounds.RetryRatio * ownRatio, Allowance: ownSlack}
		ga.retries[service] = wi
	}
	return wi
}
