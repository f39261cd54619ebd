package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// SlowRollout orders a roll-out to a version that is slower, whose servers start beside the others. It ends at the
// deadline of the roll-out.
const SlowRollout FaultKind = "rollout-slow"

const (
	firstVersion, slowVersion = "v1", "v2"
	// slowVersionFactor is how many times longer requests take on the slow version.
	slowVersionFactor = 2.5
	// canaryShare is the fraction of all requests that a bad version may get until its deadline, canarySlack a number
	// of requests in addition.
	canaryShare = 0.15
	canarySlack = 30
	statusKey   = "status/rollout/svc"
)

// slowRollout is a roll-out to the slow version.
type slowRollout struct {
	ordered, deadline time.Time
	// completed is set if the gateways completed it.
	completed bool
}

// rollOutSlowly applies SlowRollout.
func (sr *soakRun) rollOutSlowly(fa Fault) {
	for range sr.plan.Servers {
		if err := sr.addServer(slowVersion); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "soak: start of a server of the new version failed:", err)
		}
	}
	within := (fa.End - fa.Start).Round(time.Second)
	ro := &slowRollout{ordered: time.Now(), deadline: time.Now().Add(within)}
	sr.store.Set("op/rollout/svc", map[string]any{"service": "svc", "target_version": slowVersion, "duration_s": within.Seconds()})
	sr.waitForEnd(fa)
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.history.rollout = ro
}

// checkRollout finds a slow version that was completed or got more requests than a bad one may.
func (hi *history) checkRollout() []Violation {
	ro := hi.rollout
	if ro == nil {
		return nil
	}
	all, slow := 0, 0
	hi.executions.mu.Lock()
	defer hi.executions.mu.Unlock()
	for _, executions := range hi.executions.executed {
		for _, ex := range executions {
			if ex.at.Before(ro.ordered) || ex.at.After(ro.deadline) {
				continue
			}
			all++
			if ex.version == slowVersion {
				slow++
			}
		}
	}
	var list []Violation
	if allowed := canaryShare*float64(all) + canarySlack; float64(slow) > allowed {
		list = append(list, Violation{BadVersionContained, "", fmt.Sprintf("%d of %d requests ran on the slow version, %.0f were allowed", slow, all, allowed)})
	}
	if ro.completed {
		list = append(list, Violation{BadVersionContained, "", fmt.Sprintf("the slow version was completed, with %d of %d requests until its deadline", slow, all)})
	}
	return list
}

// readRollout records how the roll-out ended.
func (sr *soakRun) readRollout() {
	if ro := sr.history.rollout; ro != nil {
		ro.completed = strings.Contains(sr.store.Value(statusKey), "completed")
	}
}
