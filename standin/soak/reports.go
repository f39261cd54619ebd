package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// pauseSlack is how long requests may still reach a server after it sent a Retry-After, and
	// maxDuringPause how many may between then and the end of the pause.
	pauseSlack     = 500 * time.Millisecond
	maxDuringPause = 2
)

// gatewayServer is a pair of a gateway and a backend server.
type gatewayServer struct {
	gateway int
	server  string
}

// uninterrupted reports whether a gateway's process was neither restarted nor suspended during a time
// span. Such a gateway is exempt from the check of announced shutdowns.
func (hi *history) uninterrupted(gateway int, from, until time.Time) bool {
	for _, fa := range hi.plan.Faults {
		switch fa.Kind {
		case Kill, Stop, SignalSeries, Pause:
			if fa.Target == gateway && hi.overlaps(fa, from, until) {
				return false
			}
		}
	}
	return true
}

// checkAnnouncedShutdowns finds requests that a gateway sent to a server more than drainBound after the
// gateway had delivered a response in which the server announced its shutdown.
func (hi *history) checkAnnouncedShutdowns() []Violation {
	announcedAt := map[gatewayServer]time.Time{}
	for _, ou := range hi.outcomes {
		for _, ex := range hi.executions.executionsOf(ou.id) {
			gs := gatewayServer{ou.gateway, ex.server}
			// An attempt that was abandoned may run after the response, when its connection is not impaired any more.
			delivered := ou.status == http.StatusOK && ex.at.Before(ou.done)
			if at := announcedAt[gs]; ex.announced && delivered && (at.IsZero() || ou.done.Before(at)) {
				announcedAt[gs] = ou.done
			}
		}
	}
	var list []Violation
	for _, ou := range hi.outcomes {
		for _, ex := range hi.executions.executionsOf(ou.id) {
			at, ok := announcedAt[gatewayServer{ou.gateway, ex.server}]
			if ok && ou.sent.Sub(at) > drainBound && hi.uninterrupted(ou.gateway, at, ex.at) {
				list = append(list, Violation{DrainingServer, ou.id, fmt.Sprintf("executed on %s, sent %s after it announced its shutdown", ex.server, ou.sent.Sub(at))})
			}
		}
	}
	return list
}

// checkPauses finds requests that a gateway sent to a server during a pause that the server had
// requested from that gateway with a Retry-After.
func (hi *history) checkPauses() []Violation {
	arrivals := map[gatewayServer][]time.Time{}
	for _, ou := range hi.outcomes {
		for _, ex := range hi.executions.rejectionsOf(ou.id) {
			gs := gatewayServer{ou.gateway, ex.server}
			arrivals[gs] = append(arrivals[gs], ex.at)
		}
		for _, ex := range hi.executions.executionsOf(ou.id) {
			gs := gatewayServer{ou.gateway, ex.server}
			arrivals[gs] = append(arrivals[gs], ex.at)
		}
	}
	var list []Violation
	for _, ou := range hi.outcomes {
		for _, ex := range hi.executions.rejectionsOf(ou.id) {
			n, from, until := 0, ex.at.Add(pauseSlack), ex.at.Add(retryAfter)
			for _, at := range arrivals[gatewayServer{ou.gateway, ex.server}] {
				if at.After(from) && at.Before(until) {
					n++
				}
			}
			if n > maxDuringPause && hi.undisturbed(ou.gateway, ex.at, until) {
				list = append(list, Violation{RetryAfterHonoured, ou.id, fmt.Sprintf("%s got %d requests before its Retry-After had passed", ex.server, n)})
			}
		}
	}
	return list
}
