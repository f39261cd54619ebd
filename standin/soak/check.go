package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Promise names what is checked.
type Guarantee string

// The promises.
const (
	// AtMostOnce: a request that may not be repeated runs at most once.
	AtMostOnce Guarantee = "at-most-once"
	// TrueRefusal: what is refused as not run did not run and never does.
	RefusedNotExecuted Guarantee = "true-refusal"
	// OwnAnswer: a good answer is the whole answer to its own request.
	ResponseIntegrity Guarantee = "own-answer"
	// RevokedKey: a key that was taken away is not accepted after the bound.
	RevokedKey Guarantee = "revoked-key"
	// LeavingServer: a server that leaves gets nothing new after the bound.
	DrainingServer Guarantee = "leaving-server"
	// KeptPause: a server that asked a gateway for a pause gets next to nothing from it meanwhile.
	RetryAfterHonoured Guarantee = "kept-pause"
	// PlannedStop: a planned stop cuts no request in progress.
	GracefulShutdown Guarantee = "planned-stop"
	// InTime: a request has its final answer by its deadline.
	DeadlineMet Guarantee = "in-time"
	// FewEnds: a request under which three servers have ended reaches few more.
	PoisonContained Guarantee = "few-ends"
	// Recovery: requests are served soon after the last fault.
	Recovery Guarantee = "recovery"
)

// Violation is a promise that was broken.
type Violation struct {
	Guarantee Guarantee
	Request   string
	Detail    string
}

// String describes the violation.
func (vi Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", vi.Guarantee, vi.Request, vi.Detail)
}

// outcome is one request as its caller saw it.
type outcome struct {
	id, path, key string
	gateway       int
	sent, done    time.Time
	status        int
	body          string
	// broken is set if the answer did not end well or none came.
	incomplete bool
	// poison is set for copies of a request under which servers end.
	poison bool
}

const (
	// revokeBound and drainBound are the bounds that the gateways hold to.
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	// deadline is how long callers wait.
	requestDeadline = 1500 * time.Millisecond
	// slack is added to each bound: processes share a machine with their callers.
	timingSlack = 500 * time.Millisecond
	// touch is how long nothing must have struck a gateway for it to be bound by what
	// has a time.
	settleTime = 3 * time.Second
	// recoverWithin is the time after the last fault from which requests are served,
	// recoverPart the part of them that must be.
	recoverWithin   = 3 * time.Second
	recoverFraction = 0.9
	// mostEnds is how many servers may end under a request, and tellWithin how long after the
	// third of them more may.
	maxServerEnds = 3
	blockWithin   = 3 * time.Second
)

// record is everything that a run has seen.
type history struct {
	plan       Plan
	start      time.Time
	outcomes   []outcome
	executions *executionLog
	// poisoned holds the copies of a request under which servers end.
	poisoned []outcome
	// revoked and drained hold when keys were taken away and servers began to leave.
	revokedAt, drainedAt map[string]time.Time
}

// check returns the promises that were broken.
func (re *history) check() []Violation {
	var list []Violation
	add := func(pr Guarantee, ou outcome, detail string, args ...any) {
		list = append(list, Violation{pr, ou.id, fmt.Sprintf(detail, args...)})
	}
	for _, ou := range re.outcomes {
		runs := re.executions.executionsOf(ou.id)
		if strings.HasPrefix(ou.path, "/unsafe/") && len(runs) > 1 {
			add(AtMostOnce, ou, "ran %d times", len(runs))
		}
		refused := ou.status == http.StatusServiceUnavailable || ou.status == http.StatusTooManyRequests
		if refused && len(runs) > 0 {
			add(RefusedNotExecuted, ou, "answered %d, ran on %s", ou.status, runs[0].server)
		}
		if ou.status == http.StatusOK && !ou.incomplete && ou.body != ou.expectedBody() {
			add(ResponseIntegrity, ou, "got %q", ou.body)
		}
		if at, ok := re.revokedAt[ou.key]; ok && ou.sent.Sub(at) > revokeBound && len(runs) > 0 {
			add(RevokedKey, ou, "ran %s after its key was taken away", runs[0].at.Sub(at))
		}
		if re.undisturbed(ou.gateway, ou.sent, ou.sent.Add(requestDeadline)) && ou.done.Sub(ou.sent) > requestDeadline+timingSlack {
			add(DeadlineMet, ou, "answered after %s", ou.done.Sub(ou.sent))
		}
		list = append(list, re.checkDraining(ou, runs)...)
		if detail, cut := re.truncatedByShutdown(ou, runs); cut {
			add(GracefulShutdown, ou, "%s", detail)
		}
	}
	list = append(list, re.checkPoison()...)
	list = append(list, re.checkAnnouncedShutdowns()...)
	list = append(list, re.checkPauses()...)
	return append(list, re.checkRecovery()...)
}

// checkEnds looks at the copies of a request under which servers end, of those at gateways that
// nothing had struck for a while.
func (re *history) checkPoison() []Violation {
	var ends []execution
	late := 0
	var last outcome
	for _, ou := range re.poisoned {
		for _, ru := range re.executions.executionsOf(ou.id) {
			ends = append(ends, ru)
			if len(ends) > maxServerEnds && ru.at.Sub(ends[maxServerEnds-1].at) > blockWithin && re.undisturbed(ou.gateway, ou.sent, ru.at) {
				late++
				last = ou
			}
		}
	}
	if late <= maxServerEnds {
		return nil
	}
	return []Violation{{PoisonContained, last.id, fmt.Sprintf("%d servers ended, %d of them late", len(ends), late)}}
}

// wanted returns the whole answer.
func (ou outcome) expectedBody() string {
	if !strings.HasPrefix(ou.path, "/stream/") {
		return plainBody(ou.id)
	}
	var sb strings.Builder
	for n := 1; n <= streamEvents; n++ {
		sb.WriteString(eventBody(ou.id, n))
	}
	return sb.String()
}

// strikes reports whether a fault concerns a gateway's view of the world.
func (fa Fault) affectsGateway(gateway int) bool {
	switch {
	case slices.Contains(gatewayKinds, fa.Kind):
		return fa.Target == gateway
	case slices.Contains(storeKinds, fa.Kind):
		return true
	}
	return false
}

// calm reports whether nothing struck a gateway from a while before a span to its
// end.
func (re *history) undisturbed(gateway int, from, until time.Time) bool {
	return !slices.ContainsFunc(re.plan.Faults, func(fa Fault) bool {
		return fa.affectsGateway(gateway) && re.overlaps(fa, from.Add(-settleTime), until)
	})
}

func (re *history) overlaps(fa Fault, from, until time.Time) bool {
	return re.start.Add(fa.Start).Before(until) && re.start.Add(fa.End).Add(restartTime).After(from)
}

func (re *history) checkDraining(ou outcome, runs []execution) []Violation {
	var list []Violation
	for _, ru := range runs {
		at, leaving := re.drainedAt[ru.server]
		if leaving && ou.sent.Sub(at) > drainBound && re.undisturbed(ou.gateway, at, ru.at) {
			list = append(list, Violation{DrainingServer, ou.id, fmt.Sprintf("reached %s %s after it began to leave", ru.server, ru.at.Sub(at))})
		}
	}
	return list
}

// cutByStop reports whether a request that a server was at work on was cut beside a
// planned stop and nothing else.
func (re *history) truncatedByShutdown(ou outcome, runs []execution) (detail string, cut bool) {
	if !ou.incomplete || len(runs) == 0 {
		return "", false
	}
	stopped := false
	for _, fa := range re.plan.Faults {
		if !re.overlaps(fa, ou.sent, ou.done) {
			continue
		}
		if fa.Kind != Stop && (fa.affectsGateway(ou.gateway) || slices.Contains(serverKinds, fa.Kind)) {
			return "", false
		}
		stopped = stopped || fa.Kind == Stop && fa.Target == ou.gateway
	}
	return "cut while " + runs[0].server + " was at work", stopped
}

// checkRecovery looks at the end of the run, when nothing fails any more.
func (re *history) checkRecovery() []Violation {
	from := re.start.Add(re.plan.FaultsEnd + recoverWithin)
	asked, served := 0, 0
	var last outcome
	for _, ou := range re.outcomes {
		if ou.sent.Before(from) || !re.revokedAt[ou.key].IsZero() {
			continue
		}
		asked++
		if ou.status == http.StatusOK && !ou.incomplete {
			served++
		} else {
			last = ou
		}
	}
	if asked > 0 && float64(served) >= recoverFraction*float64(asked) {
		return nil
	}
	return []Violation{{Recovery, last.id, fmt.Sprintf("%d of %d served at the end", served, asked)}}
}
