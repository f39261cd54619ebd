package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// Guarantee names a property of the system that a run checks. Its values appear in reports.
type Guarantee string

// The guarantees that are checked.
const (
	// AtMostOnce: a request that is not idempotent is executed at most once.
	AtMostOnce Guarantee = "at-most-once"
	// RefusedNotExecuted: a request that was refused with status 503 or 429 is never executed.
	RefusedNotExecuted Guarantee = "true-refusal"
	// ResponseIntegrity: a successful response is complete and belongs to its request.
	ResponseIntegrity Guarantee = "own-answer"
	// ChangeInForce: gateways that no fault has disturbed for settleTime do not use a route later than applyBound after it
	// was removed.
	ChangeInForce Guarantee = "change-in-force"
	// RevokedKey: an API key is not accepted later than revokeBound after its revocation.
	RevokedKey Guarantee = "revoked-key"
	// DrainingServer: a server gets no new requests later than drainBound after it starts draining.
	DrainingServer Guarantee = "leaving-server"
	// RetryAfterHonoured: until the Retry-After that a server sent to a gateway has passed, the gateway
	// sends the server at most maxDuringPause requests.
	RetryAfterHonoured Guarantee = "kept-pause"
	// GracefulShutdown: a graceful shutdown of a gateway truncates no request in progress.
	GracefulShutdown Guarantee = "planned-stop"
	// DeadlineMet: a request gets its final response by its deadline.
	DeadlineMet Guarantee = "in-time"
	// PoisonContained: once blockWithin has passed since the poison request crashed maxPoisonCrashes
	// servers, it crashes at most as many more servers through gateways that no fault disturbs.
	PoisonContained Guarantee = "few-ends"
	// SingleRun: when a stream goes on at another server, the one before stops working on it.
	SingleRun Guarantee = "single-run"
	// BoundedMemory: a gateway uses at most maxResidentGrowth more memory than when idle.
	BoundedMemory Guarantee = "memory"
	// DepartedNotExecuted: a request whose caller left while its gateway was suspended, so that it was not read before, is
	// never executed.
	DepartedNotExecuted Guarantee = "departed-unread"
	// OperationOnce: an operation that must not be repeated runs once, however often its caller sends it.
	OperationOnce Guarantee = "operation-once"
	// UnreadNotExecuted: a request whose connection was reset before any response is never executed.
	UnreadNotExecuted Guarantee = "true-reset"
	// AbandonedStops: servers stop working on a stream or a long request abandonNotice after its caller has left.
	AbandonedStops Guarantee = "abandoned-stops"
	// BadVersionContained: a version that is much slower is not completed, and gets at most canaryShare of the requests
	// until its deadline.
	BadVersionContained Guarantee = "bad-version"
	// StaysUp: a gateway does not end by itself.
	StaysUp Guarantee = "stays-up"
	// BoundedLog: a line of a gateway's log has at most maxLogLine bytes.
	BoundedLog Guarantee = "log"
	// Recovery: requests succeed again within recoverWithin of the last fault.
	Recovery Guarantee = "recovery"
)

// Violation is a guarantee that was not met.
type Violation struct {
	Guarantee Guarantee
	Request   string
	Detail    string
}

func (vi Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", vi.Guarantee, vi.Request, vi.Detail)
}

// outcome is one request as its client observed it.
type outcome struct {
	id, path, key string
	gateway       int
	sent, done    time.Time
	status        int
	body          string
	// incomplete is set if there was no response or it ended early.
	incomplete bool
	// malformed is set if the response is one that its server had malformed.
	malformed bool
	// poison is set for copies of the poison request, which crashes the servers that execute it.
	poison bool
	// prompt lists the parts of the prompt, empty for none.
	prompt string
	// ending is how an attempt of an operation ended, empty for other requests. from is the last event of a stream
	// that its caller had.
	ending ending
	from   int
}

const (
	// revokeBound and drainBound are the times within which gateways must stop accepting a
	// revoked key and stop sending requests to a draining server.
	revokeBound = 5 * time.Second
	// applyBound is the time within which gateways must apply a change of the configuration.
	applyBound = 2 * time.Second
	drainBound = 2 * time.Second
	// requestDeadline is the deadline that clients set.
	requestDeadline = 1500 * time.Millisecond
	// timingSlack is added to requestDeadline in the check, since the gateways share a machine with their clients.
	timingSlack = 500 * time.Millisecond
	// settleTime is how long a gateway must have been free of faults before guarantees with a
	// time limit are checked on it.
	settleTime = 3 * time.Second
	// recoverWithin is how soon after the last fault requests must succeed again, recoverFraction the
	// fraction of the later requests that must succeed.
	recoverWithin   = 3 * time.Second
	recoverFraction = 0.9
	// maxPoisonCrashes is how many servers the poison request may crash before gateways must block
	// it, and blockWithin how long after the last of these the block must be in force.
	maxPoisonCrashes = 3
	blockWithin      = 3 * time.Second
	// maxPartCrashes is the same for requests with the poison part.
	maxPartCrashes = 5
)

// history holds the observations of a run.
type history struct {
	plan  Plan
	start time.Time
	// clock measures bounds in time, which a busy machine does not shorten.
	clock fleet.RunClock
	// recoverFrom is recoverWithin after the last fault.
	recoverFrom time.Time
	outcomes    []outcome
	executions  *executionLog
	operations  []*operation
	// poisoned holds the outcomes of the poison request.
	poisoned []outcome
	// poisonedParts holds the outcomes of the requests with the poison part.
	poisonedParts []outcome
	// revokedAt and drainedAt hold when keys were revoked and servers started draining.
	revokedAt, drainedAt map[string]time.Time
	// routeRemovedAt is when the route of removedPath was removed, far in the future if it was not.
	routeRemovedAt time.Time
	// rollout is the roll-out of a slow version, nil if there was none.
	rollout *slowRollout
	// suspensions holds when gateways were suspended.
	suspensions []suspension
	// resident is the resident memory of each gateway.
	resident []residentRange
	// use is what each gateway has used beside crowds.
	use []machineUse
}

// check returns all violations.
func (hi *history) check() []Violation {
	var list []Violation
	add := func(gu Guarantee, ou outcome, detail string, args ...any) {
		list = append(list, Violation{gu, ou.id, fmt.Sprintf(detail, args...)})
	}
	for _, ou := range hi.outcomes {
		executions := hi.executions.executionsOf(ou.id)
		if strings.HasPrefix(ou.path, "/unsafe/") && len(executions) > 1 {
			add(AtMostOnce, ou, "executed %d times", len(executions))
		}
		refused := ou.status == http.StatusServiceUnavailable || ou.status == http.StatusTooManyRequests
		if refused && len(executions) > 0 {
			add(RefusedNotExecuted, ou, "answered %d, but executed on %s", ou.status, executions[0].server)
		}
		if ou.status == http.StatusOK && !ou.incomplete && ou.body != ou.expectedBody() {
			add(ResponseIntegrity, ou, "got body %q", ou.body)
		}
		if ou.malformed {
			add(ResponseIntegrity, ou, "got a malformed response, status %d", ou.status)
		}
		list = append(list, hi.checkChanges(ou, executions)...)
		if hi.undisturbed(ou.gateway, ou.sent, ou.sent.Add(requestDeadline)) && hi.clock.Between(ou.sent, ou.done) > requestDeadline+timingSlack {
			add(DeadlineMet, ou, "answered after %s", ou.done.Sub(ou.sent))
		}
		list = append(list, hi.checkDraining(ou, executions)...)
		list = append(list, hi.checkSingleRuns(ou, executions)...)
		if detail, truncated := hi.truncatedByShutdown(ou, executions); truncated {
			add(GracefulShutdown, ou, "%s", detail)
		}
	}
	list = append(list, hi.checkPoison(hi.poisoned, maxPoisonCrashes)...)
	list = append(list, hi.checkPoison(hi.poisonedParts, maxPartCrashes)...)
	list = append(list, hi.checkAnnouncedShutdowns()...)
	list = append(list, hi.checkPauses()...)
	list = append(list, hi.checkMemory()...)
	list = append(list, hi.checkOperations()...)
	list = append(list, hi.checkRollout()...)
	return append(list, hi.checkRecovery()...)
}

// checkChanges finds a request that ran although a change of the configuration forbade it.
func (hi *history) checkChanges(ou outcome, executions []execution) []Violation {
	if len(executions) == 0 {
		return nil
	}
	var list []Violation
	if late := ou.sent.Sub(hi.routeRemovedAt); ou.path == removedPath && late > applyBound && hi.inContact(ou.gateway, ou.sent) {
		list = append(list, Violation{ChangeInForce, ou.id, fmt.Sprintf("executed on %s %s after its route was removed", executions[0].server, late)})
	}
	if at, ok := hi.revokedAt[ou.key]; ok && ou.sent.Sub(at) > revokeBound {
		list = append(list, Violation{RevokedKey, ou.id, fmt.Sprintf("executed %s after its key was revoked", executions[0].at.Sub(at))})
	}
	return list
}

// checkPoison counts the servers that poison requests crashed through undisturbed gateways after they had
// to be blocked, which is when a number of servers had crashed.
func (hi *history) checkPoison(poisoned []outcome, allowed int) []Violation {
	var crashes []execution
	late := 0
	var last outcome
	for _, ou := range poisoned {
		for _, ex := range hi.executions.executionsOf(ou.id) {
			crashes = append(crashes, ex)
			if len(crashes) > allowed && ex.at.Sub(crashes[allowed-1].at) > blockWithin && hi.undisturbed(ou.gateway, ou.sent, ex.at) {
				late++
				last = ou
			}
		}
	}
	if late <= maxPoisonCrashes {
		return nil
	}
	return []Violation{{PoisonContained, last.id, fmt.Sprintf("crashed %d servers, %d of them after it had to be blocked", len(crashes), late)}}
}

// expectedBody returns the complete response body.
func (ou outcome) expectedBody() string {
	if !strings.HasPrefix(ou.path, "/stream/") {
		return plainBody(ou.id)
	}
	var sb strings.Builder
	for n := ou.from + 1; n <= streamEvents; n++ {
		sb.WriteString(eventBody(ou.id, n))
	}
	return sb.String()
}

// affectsGateway reports whether a fault affects a gateway itself, its connections or the key-value
// service that it reads from.
func (fa Fault) affectsGateway(gateway int) bool {
	switch {
	case slices.Contains(gatewayKinds, fa.Kind), fa.Kind == SignalSeries, fa.Kind == Stutter:
		return fa.Target == gateway
	case slices.Contains(storeKinds, fa.Kind):
		return true
	}
	return false
}

// restarts reports whether a fault ends a gateway's process, which is started again.
func (fa Fault) restarts() bool { return fa.Kind == Kill || fa.stops() }

// stops reports whether a fault shuts a gateway down gracefully.
func (fa Fault) stops() bool { return fa.Kind == Stop || fa.Kind == SignalSeries }

// undisturbed reports whether no fault affected a gateway from settleTime before a time span to its
// end.
func (hi *history) undisturbed(gateway int, from, until time.Time) bool {
	return !hi.disturbedBeside(nil, gateway, from, until)
}

// disturbedBeside reports whether a fault of a kind that is not excepted affected a gateway from settleTime before a
// time span to its end.
func (hi *history) disturbedBeside(except []FaultKind, gateway int, from, until time.Time) bool {
	return slices.ContainsFunc(hi.plan.Faults, func(fa Fault) bool {
		return !slices.Contains(except, fa.Kind) && fa.affectsGateway(gateway) && hi.overlaps(fa, from.Add(-settleTime), until)
	})
}

// inContact reports whether no fault, nor connections that became silent, affected a gateway from settleTime before a time.
func (hi *history) inContact(gateway int, at time.Time) bool {
	return !slices.ContainsFunc(hi.plan.Faults, func(fa Fault) bool {
		end := hi.start.Add(fa.End).Add(settleTime)
		if fa.restarts() {
			end = end.Add(restartTime)
		}
		return (fa.affectsGateway(gateway) || fa.Kind == ConnectionsSilent) && hi.start.Add(fa.Start).Before(at) && end.After(at)
	})
}

// overlaps reports whether a fault, with the restart that may follow it, overlaps a time span.
func (hi *history) overlaps(fa Fault, from, until time.Time) bool {
	return hi.start.Add(fa.Start).Before(until) && hi.start.Add(fa.End).Add(restartTime).After(from)
}

// checkDraining returns the executions of a request on servers that had started draining more than
// drainBound before the request was sent.
func (hi *history) checkDraining(ou outcome, executions []execution) []Violation {
	var list []Violation
	for _, ex := range executions {
		at, draining := hi.drainedAt[ex.server]
		if draining && ou.sent.Sub(at) > drainBound && hi.undisturbed(ou.gateway, at, ex.at) {
			list = append(list, Violation{DrainingServer, ou.id, fmt.Sprintf("executed on %s %s after it started draining", ex.server, ex.at.Sub(at))})
		}
	}
	return list
}

// truncatedByShutdown reports whether the response to an executed request was truncated while its
// gateway shut down gracefully and no other fault could have caused it.
func (hi *history) truncatedByShutdown(ou outcome, executions []execution) (detail string, truncated bool) {
	if !ou.incomplete || ou.ending == endedDeparted || len(executions) == 0 {
		return "", false
	}
	stopped := false
	for _, fa := range hi.plan.Faults {
		if !hi.overlaps(fa, ou.sent, ou.done) {
			continue
		}
		if !fa.stops() && (fa.affectsGateway(ou.gateway) || slices.Contains(serverKinds, fa.Kind) || slices.Contains(misbehaviourKinds, fa.Kind) || fa.Kind == ServerGarbles) {
			return "", false
		}
		stopped = stopped || fa.stops() && fa.Target == ou.gateway
	}
	return "truncated while " + executions[0].server + " executed it", stopped
}

// checkRecovery checks the success rate at the end of the run, after recoverWithin without faults.
func (hi *history) checkRecovery() []Violation {
	total, served := 0, 0
	var last outcome
	for _, ou := range hi.outcomes {
		if ou.sent.Before(hi.recoverFrom) || !hi.revokedAt[ou.key].IsZero() || ou.path == removedPath {
			continue
		}
		total++
		if ou.status == http.StatusOK && !ou.incomplete {
			served++
		} else {
			last = ou
		}
	}
	if total > 0 && float64(served) >= recoverFraction*float64(total) {
		return nil
	}
	return []Violation{{Recovery, last.id, fmt.Sprintf("%d of %d requests succeeded after the last fault", served, total)}}
}
