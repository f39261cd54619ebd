package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/lending"
)

const (
	// demandTimeConstant is the time constant of the measured rate of requests.
	demandTimeConstant = 500 * time.Millisecond
	// needMargin is the factor by which a gateway's need of quota units exceeds its part of the demand, so
	// that the units of a gateway whose demand grows suffice until it has borrowed more.
	needMargin = 1.2
)

// allRequests is the name under which the rate of requests is measured.
const allRequests = ""

// recordArrival counts a request that arrived.
func (ga *Gateway) recordArrival(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.requests.Count(allRequests, now)
}

// requestRate returns the rate of requests that arrive at this gateway. The lock is held.
func (ga *Gateway) requestRate(now time.Time) float64 { return ga.requests.PerSecond(allRequests, now) }

// neededUnits returns how many units of quotas this gateway needs: its part of the demand on all
// gateways. It is one while no quota is in force or the demand on others is not known. The lock is held.
func (ga *Gateway) neededUnits(now time.Time) float64 {
	own := ga.requestRate(now)
	all := ga.loads.Demand(own)
	if all == 0 || !ga.loads.HasReports() || !ga.hasQuotas() {
		return 1
	}
	return needMargin * float64(ga.gatewayCount) * own / all
}

// hasQuotas reports whether any quota that gateways share is in force. The lock is held.
func (ga *Gateway) hasQuotas() bool { return ga.pool.Limits.Any() || ga.pool.Warmup.Any() }

// loanOffer returns the offer for a gateway that this one reports to, nil if it borrows from another one
// or there is nothing to lend. The lock is held.
func (ga *Gateway) loanOffer(box string, now time.Time) *lending.Offer {
	if box != ga.lender || !ga.hasQuotas() && !ga.lending.IsActive(now) {
		return nil
	}
	of := ga.lending.Offer(box, ga.neededUnits(now), now)
	return &of
}

// handleLoanOffer handles the offer of a gateway that reports to this one. The lock is held.
func (ga *Gateway) handleLoanOffer(box string, of *lending.Offer, now time.Time) *lending.Reply {
	if of == nil {
		return nil
	}
	re := ga.lending.HandleOffer(box, *of, ga.neededUnits(now), ga.lender == "", now)
	return &re
}

// chooseLender selects the gateway to borrow from: that with the last name of those that this gateway
// reports to, so that collectors borrow from the same one. The lock is held.
func (ga *Gateway) chooseLender(peers []loadPeer) {
	ga.lender = ""
	for _, pe := range peers {
		ga.lender = max(ga.lender, pe.member.Box)
	}
}
