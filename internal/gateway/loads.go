package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/load"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/revision"
	"github.com/linnetrudder/linnetrudder/internal/usage"
)

const (
	// loadReportInterval is the pause between two load reports, a fraction of the time that a
	// server takes to read a prompt.
	loadReportInterval = 100 * time.Millisecond
	// minReportInterval is the pause before a report that can't wait.
	minReportInterval = 10 * time.Millisecond
	// maxLoadServers bounds the servers in a report, which are the busiest ones. At some 8 B each
	// they take 8 KB/s of the 12 KB/s that the users' requirements allow for control traffic.
	maxLoadServers = 100
	// loadReportTTL is how long a report is used. It spans several intervals since reports may be
	// late.
	loadReportTTL = 5 * loadReportInterval
	// minExchangeTimeout is how long an exchange may make no progress, which takes a few milliseconds and
	// some tens of milliseconds on a busy box. After each failure in a row it is twice as long, up to
	// maxExchangeTimeout: the box may be slow rather than its peers. loadRetryDelay is the pause after an
	// exchange that failed if there is no other peer.
	minExchangeTimeout = 300 * time.Millisecond
	maxExchangeTimeout = 1200 * time.Millisecond
	loadRetryDelay     = time.Second
	// loadPeersInterval is how often the gateways to report to are selected anew.
	loadPeersInterval = 500 * time.Millisecond
)

// loadPeer is a gateway to report to.
type loadPeer struct {
	member relay.Member
	// asCollector is set if the report covers all gateways that report to this one.
	asCollector bool
}

// runLoadExchange exchanges load reports with the gateways that the plan selects.
func (ga *Gateway) runLoadExchange(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stops := map[loadPeer]context.CancelFunc{}
	for ctx.Err() == nil {
		peers := ga.loadPeers(clock.Now())
		for pe, stop := range stops {
			if !slices.Contains(peers, pe) {
				stop()
				delete(stops, pe)
			}
		}
		for _, pe := range peers {
			if stops[pe] == nil {
				var pctx context.Context
				pctx, stops[pe] = context.WithCancel(ctx)
				wg.Go(func() { ga.exchangeLoads(pctx, pe) })
			}
		}
		clock.Wait(ctx, loadPeersInterval, ga.peerFailed)
	}
}

// loadPeers returns the gateways to report to.
func (ga *Gateway) loadPeers(now time.Time) []loadPeer {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	members, collector := ga.loadPlan.Peers(ga.memberList(), now)
	peers := make([]loadPeer, len(members))
	for i, me := range members {
		peers[i] = loadPeer{me, collector}
	}
	ga.chooseLender(peers)
	return peers
}

// exchangeLoads reports to one gateway repeatedly until the context ends.
func (ga *Gateway) exchangeLoads(ctx context.Context, to loadPeer) {
	cl := relay.Client{Address: to.member.Address, HTTP: ga.RelayHTTP}
	defer cl.Close()
	failed, progress := false, exchangeProgress{}
	for ctx.Err() == nil {
		sent := clock.Now()
		due := ga.nextReportDue(&cl)
		re, next := ga.reportSince(to, progress)
		reply, err := cl.Exchange(ctx, re)
		if ctx.Err() != nil {
			return
		}
		if failed != (err != nil) {
			failed = err != nil
			ga.logPeerState(to.member, err)
		}
		if err != nil {
			ga.markPeerFailed(to.member)
			clock.Sleep(ctx, loadRetryDelay)
			continue
		}
		progress.suspicions, progress.received = next, reply.NextSuspicion
		if reply.Departures != nil {
			progress.departures = reply.Departures.Known
		}
		progress.usage = ga.usageReplied(progress.usage, re, reply)
		ga.reportAccepted(re, clock.Now())
		ga.applyReportReply(to, reply, sent, clock.Now())
		awaitNextReport(ctx, due)
	}
}

// nextReportDue returns a channel that is closed when there is something to report that is not in the
// next report, and sets the timeout of the exchange.
func (ga *Gateway) nextReportDue(cl *relay.Client) <-chan struct{} {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	cl.Timeout = ga.exchangeTimeout
	return ga.reportDue
}

// awaitNextReport waits until the next report is due, which is at once if due is closed.
func awaitNextReport(ctx context.Context, due <-chan struct{}) {
	clock.Sleep(ctx, minReportInterval)
	clock.Wait(ctx, loadReportInterval-minReportInterval, due)
}

// logPeerState logs that a gateway no longer accepts reports, or accepts them again.
func (ga *Gateway) logPeerState(to relay.Member, err error) {
	if err != nil {
		ga.Log.Warn().Int("event", int(event.LoadPeerLost)).Str("peer", to.Box).Err(err).Msg(event.Name(event.LoadPeerLost))
		return
	}
	ga.Log.Info().Int("event", int(event.LoadPeerRegained)).Str("peer", to.Box).Msg(event.Name(event.LoadPeerRegained))
}

// markPeerFailed records that a gateway did not accept a report.
func (ga *Gateway) markPeerFailed(to relay.Member) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.loadPlan.Failed(to.Box, clock.Now())
	ga.exchangeTimeout = min(2*ga.exchangeTimeout, maxExchangeTimeout)
	select {
	case ga.peerFailed <- struct{}{}:
	default:
	}
}

// exchangeProgress is what another gateway has received so far, and what it has sent.
type exchangeProgress struct {
	// suspicions is the sequence number of the next suspicion to send, received that of the next one to
	// receive.
	suspicions, received uint64
	// departures is the revision up to which the other gateway knows all departures of servers.
	departures revision.Revision
	usage      usage.Cursor
}

// reportSince returns this gateway's report to another one with what that has not received yet, and
// the sequence number of the suspicions in the next report.
func (ga *Gateway) reportSince(to loadPeer, progress exchangeProgress) (re relay.Report, nextSuspicion uint64) {
	re = ga.report(to.asCollector)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	re.Suspicions, nextSuspicion = ga.crashDetector.Since(progress.suspicions, clock.Now())
	re.WantedSuspicion = progress.received
	re.Departures = ga.departureMessage(progress.departures, clock.Now())
	re.Offer = ga.loanOffer(to.member.Box, clock.Now())
	if ga.Usage != nil {
		re.Usage = ga.Usage.Outgoing(progress.usage, !to.asCollector || ga.needsUsage(to.member.Box, clock.Now()))
	}
	return re, nextSuspicion
}

// report returns this gateway's load report.
func (ga *Gateway) report(collector bool) relay.Report {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	re := relay.Report{Box: ga.Box, Collector: collector, Work: ga.pool.Work(), Gateways: 1}
	if collector {
		ga.loads.Expire(clock.Now().Add(-loadReportTTL)) // after a suspension, others have the members
		re.Work, re.Gateways = ga.loads.GroupSum(re.Work), ga.loads.GroupSize()
	}
	if !collector {
		re.Tallies = ga.pendingTallies()
	}
	re.Work = re.Work.Busiest(maxLoadServers)
	now := clock.Now()
	re.Demand = ga.requestRate(now)
	if collector {
		re.Demand = ga.loads.GroupDemand(re.Demand)
	}
	re.Ready = ga.readyLocked(now)
	to := gossip.ToCollector
	if collector {
		to = gossip.BetweenCollectors
	}
	ga.addNotices(&re, to, now)
	return ga.addBlocks(re, now)
}

// reportAccepted records that a collector received this gateway's report.
func (ga *Gateway) reportAccepted(re relay.Report, now time.Time) {
	if re.Collector {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.lastReportCollected = now
	ga.clearReported()
}

// applyReportReply applies the reply of a peer to a report that was sent at a time.
func (ga *Gateway) applyReportReply(from loadPeer, reply relay.Report, sent, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !from.asCollector {
		ga.loads.KeepGroup(reply.Box) // the reply covers all other gateways
	}
	ga.exchangeTimeout = minExchangeTimeout
	if reply.Loan != nil {
		ga.lending.HandleReply(reply.Box, *reply.Loan, sent, now)
	}
	ga.applyGroupReport(reply, now)
	ga.recordReadiness(reply, now)
	ga.receiveBlocks(reply, now)
	ga.receiveNotices(reply, now)
	ga.receiveDepartures(reply.Box, reply.Departures, sent, now)
}

// applyGroupReport applies the loads and the number of gateways in a report that covers several
// gateways. The lock is held.
func (ga *Gateway) applyGroupReport(re relay.Report, now time.Time) {
	ga.loads.PutGroup(re.Box, re.Work, now)
	ga.loads.SetGroupSize(re.Box, re.Gateways)
	ga.loads.SetGroupDemand(re.Box, re.Demand)
	ga.updateSize()
}

// updateSize updates the number of gateways. While a report is missing, for instance after a
// collector failed, the gateways it covered are still counted. The lock is held.
func (ga *Gateway) updateSize() {
	known := max(len(ga.members), 1+ga.loads.OtherGateways())
	if known >= ga.gatewayCount || ga.loads.HasReports() {
		ga.gatewayCount = known
		ga.pool.Members = known
	}
}

// recordReadiness records whether another gateway is ready. The lock is held.
func (ga *Gateway) recordReadiness(re relay.Report, now time.Time) {
	if !re.Ready {
		return
	}
	if now.Sub(ga.otherReadyAt) >= loadReportTTL {
		select {
		case ga.storeAvailable <- struct{}{}:
		default:
		}
	}
	ga.otherReadyAt = now
}

// otherGatewayReady reports whether another gateway reported within loadReportTTL that it is ready.
func (ga *Gateway) otherGatewayReady(now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.otherReady(now)
}

// otherReady is otherGatewayReady with the lock held.
func (ga *Gateway) otherReady(now time.Time) bool { return now.Sub(ga.otherReadyAt) < loadReportTTL }

// Reported applies another gateway's load report and returns this gateway's reply.
func (ga *Gateway) Reported(re relay.Report) relay.Report {
	now := clock.Now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.recordReadiness(re, now)
	ga.receiveBlocks(re, now)
	ga.receiveNotices(re, now)
	ga.receiveDepartures(re.Box, re.Departures, time.Time{}, now)
	var work load.Work
	var gateways int
	var demand float64
	to := gossip.ToMember
	var suspicions []poison.Suspicion
	var nextSuspicion uint64
	if re.Collector {
		suspicions, nextSuspicion = ga.crashDetector.Since(re.WantedSuspicion, now)
		to = gossip.BetweenCollectors
		ga.applyGroupReport(re, now)
		work, gateways = ga.loads.GroupSum(ga.pool.Work()), ga.loads.GroupSize()
		demand = ga.loads.GroupDemand(ga.requestRate(now))
	} else {
		ga.loads.PutMember(re.Box, re.Work, now)
		ga.loads.SetMemberDemand(re.Box, re.Demand)
		ga.updateSize()
		ga.collectTallies(re.Tallies)
		work, gateways = ga.loads.SumExcept(re.Box, ga.pool.Work()), ga.loads.OtherGateways()
		demand = ga.loads.DemandExcept(re.Box, ga.requestRate(now))
	}
	reply := relay.Report{
		Box: ga.Box, Collector: true, Work: work.Busiest(maxLoadServers), Ready: ga.readyLocked(now), Gateways: gateways,
		Suspicions: suspicions, NextSuspicion: nextSuspicion, Demand: demand, Loan: ga.handleLoanOffer(re.Box, re.Offer, now),
	}
	if re.Departures != nil {
		reply.Departures = ga.departureMessage(re.Departures.Known, now)
	}
	if ga.Usage != nil {
		reply.Usage = ga.Usage.Receive(re.Usage, !re.Collector, re.Collector && ga.needsUsage(re.Box, now))
	}
	ga.addNotices(&reply, to, now)
	return ga.addBlocks(reply, now)
}

// expireLoads drops reports older than loadReportTTL.
func (ga *Gateway) expireLoads(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.loads.Expire(now.Add(-loadReportTTL))
}
