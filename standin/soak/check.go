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
	broken bool
	// poison is set for copies of a request under which servers end.
	poison bool
}

const (
	// revokeBound and drainBound are the bounds that the gateways hold to.
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	// deadline is how long callers wait.
	deadline = 1500 * time.Millisecond
	// slack is added to each bound: processes share a machine with their callers.
	slack = 500 * time.Millisecond
	// touch is how long nothing must have struck a gateway for it to be bound by what
	// has a time.
	touch = 3 * time.Second
	// recoverWithin is the time after the last fault from which requests are served,
	// recoverPart the part of them that must be.
	recoverWithin = 3 * time.Second
	recoverPart   = 0.9
	// mostEnds is how many servers may end under a request, and tellWithin how long after the
	// third of them more may.
	mostEnds   = 3
	tellWithin = 3 * time.Second
)

// record is everything that a run has seen.
type record struct {
	plan     Plan
	began    time.Time
	outcomes []outcome
	ran      *ledger
	// poisoned holds the copies of a request under which servers end.
	poisoned []outcome
	// revoked and drained hold when keys were taken away and servers began to leave.
	revoked, drained map[string]time.Time
}

// check returns the promises that were broken.
func (re *record) check() []Violation {
	var list []Violation
	add := func(pr Guarantee, ou outcome, detail string, args ...any) {
		list = append(list, Violation{pr, ou.id, fmt.Sprintf(detail, args...)})
	}
	for _, ou := range re.outcomes {
		runs := re.ran.of(ou.id)
		if strings.HasPrefix(ou.path, "/unsafe/") && len(runs) > 1 {
			add(AtMostOnce, ou, "ran %d times", len(runs))
		}
		refused := ou.status == http.StatusServiceUnavailable || ou.status == http.StatusTooManyRequests
		if refused && len(runs) > 0 {
			add(RefusedNotExecuted, ou, "answered %d, ran on %s", ou.status, runs[0].server)
		}
		if ou.status == http.StatusOK && !ou.broken && ou.body != ou.wanted() {
			add(ResponseIntegrity, ou, "got %q", ou.body)
		}
		if at, ok := re.revoked[ou.key]; ok && ou.sent.Sub(at) > revokeBound && len(runs) > 0 {
			add(RevokedKey, ou, "ran %s after its key was taken away", runs[0].at.Sub(at))
		}
		if re.calm(ou.gateway, ou.sent, ou.sent.Add(deadline)) && ou.done.Sub(ou.sent) > deadline+slack {
			add(DeadlineMet, ou, "answered after %s", ou.done.Sub(ou.sent))
		}
		list = append(list, re.checkServers(ou, runs)...)
		if detail, cut := re.cutByStop(ou, runs); cut {
			add(GracefulShutdown, ou, "%s", detail)
		}
	}
	list = append(list, re.checkEnds()...)
	list = append(list, re.checkAnnounced()...)
	list = append(list, re.checkPauses()...)
	return append(list, re.checkRecovery()...)
}

// checkEnds looks at the copies of a request under which servers end, of those at gateways that
// nothing had struck for a while.
func (re *record) checkEnds() []Violation {
	var ends []run
	late := 0
	var last outcome
	for _, ou := range re.poisoned {
		for _, ru := range re.ran.of(ou.id) {
			ends = append(ends, ru)
			if len(ends) > mostEnds && ru.at.Sub(ends[mostEnds-1].at) > tellWithin && re.calm(ou.gateway, ou.sent, ru.at) {
				late++
				last = ou
			}
		}
	}
	if late <= mostEnds {
		return nil
	}
	return []Violation{{PoisonContained, last.id, fmt.Sprintf("%d servers ended, %d of them late", len(ends), late)}}
}

// wanted returns the whole answer.
func (ou outcome) wanted() string {
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
func (fa Fault) strikes(gateway int) bool {
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
func (re *record) calm(gateway int, from, until time.Time) bool {
	return !slices.ContainsFunc(re.plan.Faults, func(fa Fault) bool {
		return fa.strikes(gateway) && re.overlaps(fa, from.Add(-touch), until)
	})
}

func (re *record) overlaps(fa Fault, from, until time.Time) bool {
	return re.began.Add(fa.Start).Before(until) && re.began.Add(fa.End).Add(restartTime).After(from)
}

func (re *record) checkServers(ou outcome, runs []run) []Violation {
	var list []Violation
	for _, ru := range runs {
		at, leaving := re.drained[ru.server]
		if leaving && ou.sent.Sub(at) > drainBound && re.calm(ou.gateway, at, ru.at) {
			list = append(list, Violation{DrainingServer, ou.id, fmt.Sprintf("reached %s %s after it began to leave", ru.server, ru.at.Sub(at))})
		}
	}
	return list
}

// cutByStop reports whether a request that a server was at work on was cut beside a
// planned stop and nothing else.
func (re *record) cutByStop(ou outcome, runs []run) (detail string, cut bool) {
	if !ou.broken || len(runs) == 0 {
		return "", false
	}
	stopped := false
	for _, fa := range re.plan.Faults {
		if !re.overlaps(fa, ou.sent, ou.done) {
			continue
		}
		if fa.Kind != Stop && (fa.strikes(ou.gateway) || slices.Contains(serverKinds, fa.Kind)) {
			return "", false
		}
		stopped = stopped || fa.Kind == Stop && fa.Target == ou.gateway
	}
	return "cut while " + runs[0].server + " was at work", stopped
}

// checkRecovery looks at the end of the run, when nothing fails any more.
func (re *record) checkRecovery() []Violation {
	from := re.began.Add(re.plan.FaultsEnd + recoverWithin)
	asked, served := 0, 0
	var last outcome
	for _, ou := range re.outcomes {
		if ou.sent.Before(from) || !re.revoked[ou.key].IsZero() {
			continue
		}
		asked++
		if ou.status == http.StatusOK && !ou.broken {
			served++
		} else {
			last = ou
		}
	}
	if asked > 0 && float64(served) >= recoverPart*float64(asked) {
		return nil
	}
	return []Violation{{Recovery, last.id, fmt.Sprintf("%d of %d served at the end", served, asked)}}
}
