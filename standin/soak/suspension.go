package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Faults of gateways that get processor time now and then only.
const (
	// Starve suspends a gateway for a part of each starvePeriod, as a quota of processor time does. All guarantees hold
	// meanwhile.
	Starve FaultKind = "starve"
	// Stutter suspends it for up to maxStop again and again.
	Stutter FaultKind = "stutter"
)

const (
	// starvePeriod is the period of a quota, starvedFraction the largest part of it for which a gateway is suspended.
	starvePeriod    = 100 * time.Millisecond
	starvedFraction = 0.7
	// minStop and maxStop bound a suspension of Stutter, maxRun the time between two of them.
	minStop = 20 * time.Millisecond
	maxStop = 900 * time.Millisecond
	maxRun  = 60 * time.Millisecond
	// signalMargin is the time after which a signal has taken effect.
	signalMargin = 5 * time.Millisecond
)

// suspensionKinds are the kinds of fault that suspend gateways.
var suspensionKinds = []FaultKind{Stutter, Pause}

// WithStarvation suspends all gateways for short times during the whole fault time: every second one as a quota does,
// the others for longer. It has a random source of its own, so that the other faults of the seed remain the same.
func (pl Plan) WithStarvation() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+9))
	pl.Faults = slices.Clone(pl.Faults)
	first := rn.IntN(2)
	for i := range pl.Gateways {
		ki := []FaultKind{Starve, Stutter}[(first+i)%2]
		pl.Faults = append(pl.Faults, Fault{Kind: ki, Target: i, Start: warmUp, End: pl.FaultsEnd})
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// suspension is a time for which a gateway was suspended.
type suspension struct {
	gateway     int
	from, until time.Time
}

// suspend suspends a gateway for a time. The gateway's restartMu is held.
func (sr *soakRun) suspend(gateway int, stop time.Duration) {
	pr := sr.gateways[gateway].process
	_ = pr.Signal(syscall.SIGSTOP)
	su := suspension{gateway: gateway, from: time.Now().Add(signalMargin)}
	time.Sleep(stop)
	su.until = time.Now()
	_ = pr.Signal(syscall.SIGCONT)
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.history.suspensions = append(sr.history.suspensions, su)
}

// suspendAgainAndAgain suspends a gateway in turns until the end of a fault, except while it is restarted or reloaded.
func (sr *soakRun) suspendAgainAndAgain(fa Fault) {
	gw := sr.gateways[fa.Target]
	rn := rand.New(rand.NewPCG(sr.plan.Seed, uint64(fa.Target)))
	for time.Until(sr.history.start.Add(fa.End)) > 0 {
		stop := minStop + time.Duration(rn.Int64N(int64(maxStop-minStop)))
		run := time.Duration(rn.Int64N(int64(maxRun)))
		if fa.Kind == Starve {
			stop = time.Duration(rn.Float64() * starvedFraction * float64(starvePeriod))
			run = starvePeriod - stop
		}
		time.Sleep(run)
		if gw.restartMu.TryLock() {
			sr.suspend(fa.Target, stop)
			gw.restartMu.Unlock()
		}
	}
}

// suspendedThroughout reports whether the gateway of a request was suspended from before it was sent until its caller
// had left.
func (hi *history) suspendedThroughout(ou outcome) bool {
	return slices.ContainsFunc(hi.suspensions, func(su suspension) bool {
		return su.gateway == ou.gateway && su.from.Before(ou.sent) && su.until.After(ou.done)
	})
}
