package gateway

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
)

const (
	// holdFraction is the fraction of the target latency for which a request with a suspected part waits
	// before its first attempt, retryHold how long it waits before a further one.
	holdFraction = 0.25
	retryHold    = 250 * time.Millisecond
	// holdPollInterval is how often a waiting request checks whether its parts are still suspected.
	holdPollInterval = 50 * time.Millisecond
	// undecidedRetryAfter is the Retry-After of a request whose parts' case is not decided yet.
	undecidedRetryAfter = time.Second
	// collectorTimeout is the time without a collector after which a gateway decides on its own.
	collectorTimeout = time.Second
)

// receivePartEvidence applies another gateway's suspected parts and clears. The lock is held.
func (ga *Gateway) receivePartEvidence(re relay.Report, now time.Time) {
	for _, cl := range re.Clears {
		if cl.Age >= 0 {
			ga.partDetector.Clear(cl.Part, now.Add(-cl.Age), now)
		}
	}
	ga.partDetector.AddRemoteSuspects(re.Suspects, now)
}

// clearParts records that servers survived requests with their parts. The lock is held.
func (ga *Gateway) clearParts(runs []*poison.Run, now time.Time) {
	for _, ru := range runs {
		if ru.ResponseBegan().IsZero() {
			continue
		}
		for _, pa := range ru.Subject().PartList() {
			ga.partDetector.Clear(pa, ru.ResponseBegan(), now)
		}
		if fp := ga.blocks.Find(ru.Subject(), now); ga.blocks.KnownBefore(fp, ru.ResponseBegan()) {
			ga.liftDisprovenBlock(fp, now)
		}
	}
}

// decidesParts reports whether this gateway decides which parts are blocked. Collectors do, which know
// all suspicions; others only while no collector takes their reports. The lock is held.
func (ga *Gateway) decidesParts(now time.Time) bool {
	return ga.loadPlan.IsWatcher(ga.memberList()) || now.Sub(ga.lastReportCollected) >= collectorTimeout
}

// decideParts blocks the parts that crash servers, and lifts the blocks of those that are disproved.
// The lock is held.
func (ga *Gateway) decideParts(now time.Time) {
	if !ga.decidesParts(now) {
		return
	}
	for _, ve := range ga.partDetector.Convict(ga.runs.CountWith, now) {
		bl := poison.NewBlock(ve.Part.Fingerprint(), ve.Duration, clock.WallTime())
		bl.Part, bl.Box, bl.Crashes, bl.Requests, bl.Rivals = &ve.Part, ga.Box, ve.Crashes, ve.Requests, ve.Rivals
		ga.storeBlockAt[bl.Fingerprint] = blockStoreTime(now)
		ga.applyBlock(bl, false, now)
	}
	for _, pa := range ga.blocks.Parts() {
		fp := pa.Fingerprint()
		if ga.partDetector.Disproves(pa) {
			ga.liftDisprovenBlock(fp, now)
			continue
		}
		ga.blocks.RecordCrashes(fp, ga.partDetector.Crashes(pa), now)
	}
}

// hold returns what is done with a request that has suspected parts, nothing if it is blocked. The lock
// is held.
func (ga *Gateway) hold(su poison.Subject, now time.Time) poison.Hold {
	if ga.blocks.Remaining(ga.blocks.Find(su, now), now) > 0 {
		return poison.NoHold
	}
	return ga.partDetector.Hold(su, now)
}

// awaitVerdict delays a request while its parts are suspected, at the most until a time.
func (ex *exchange) awaitVerdict(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		now := clock.Now()
		ex.ga.mu.Lock()
		ex.hold = ex.ga.hold(ex.subject, now)
		ex.ga.mu.Unlock()
		if ex.hold == poison.NoHold || !now.Before(until) {
			return
		}
		clock.Sleep(ctx, min(holdPollInterval, until.Sub(now)))
	}
}

// awaitVerdictBeforeRetry delays a further attempt of a request with suspected parts.
func (ex *exchange) awaitVerdictBeforeRetry(ctx context.Context) {
	ex.awaitVerdict(ctx, clock.Now().Add(retryHold))
}
