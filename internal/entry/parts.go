package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

const (
	// partHold is the longest time for which a request with a suspected part waits.
	partHold = 500 * time.Millisecond
	// partPollInterval is how often a waiting request checks whether its parts are still suspected.
	partPollInterval = 20 * time.Millisecond
	// undecidedRetryAfter is the Retry-After of a request whose parts' case is not decided yet.
	undecidedRetryAfter = time.Second
	// decideInterval is the interval at which suspected parts are decided on. The first crashes may
	// suffice only after the time in which agents report clears.
	decideInterval = 50 * time.Millisecond
)

// awaitVerdict delays a request while its parts are suspected. It reports whether the request may be
// sent.
func (en *Entry) awaitVerdict(ctx context.Context, su poison.Subject) bool {
	until := clock.Now().Add(partHold)
	for ctx.Err() == nil {
		now := clock.Now()
		en.mu.Lock()
		blocked := en.blocks.Remaining(en.blocks.Find(su, now), now) > 0
		hold := en.parts.Hold(su, now)
		en.mu.Unlock()
		switch {
		case blocked:
			return false
		case hold == poison.NoHold:
			return true
		case !now.Before(until):
			return hold != poison.HoldUntilDecided
		}
		clock.Sleep(ctx, partPollInterval)
	}
	return true
}

// retryAfterBlock returns the Retry-After of a refused request that is blocked, or has parts whose case
// is not decided; zero for others.
func (en *Entry) retryAfterBlock(su poison.Subject, now time.Time) time.Duration {
	if left := en.blockRemaining(su, now); left > 0 {
		return left
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.parts.Hold(su, now) == poison.HoldUntilDecided {
		return undecidedRetryAfter
	}
	return 0
}

// askForClears asks all connected agents for clears of the suspected parts.
func (en *Entry) askForClears() {
	en.mu.Lock()
	suspects := en.parts.Suspects(clock.Now())
	en.mu.Unlock()
	if len(suspects) == 0 {
		return
	}
	for _, li := range en.Node.Links() {
		li.Send(en.Heartbeat(li))
	}
}

// recordClears records the parts with which an agent's server survived responses.
func (en *Entry) recordClears(list []poison.Clear, now time.Time) {
	en.mu.Lock()
	for _, cl := range list {
		if cl.Age >= 0 {
			en.parts.Clear(cl.Part, now.Add(-cl.Age), now)
		}
	}
	en.mu.Unlock()
	en.decideParts(now)
}

// decide periodically decides on the suspected parts.
func (en *Entry) decide(ctx context.Context) error {
	for ctx.Err() == nil {
		en.decideParts(clock.Now())
		clock.Sleep(ctx, decideInterval)
	}
	return ctx.Err()
}

// decideParts blocks the parts that crash servers, and lifts the blocks of those that are disproved.
func (en *Entry) decideParts(now time.Time) {
	en.mu.Lock()
	verdicts := en.parts.Convict(func(poison.Part) int { return 0 }, now)
	var disproved []poison.Part
	for _, pa := range en.blocks.Parts() {
		if en.parts.Disproves(pa) {
			disproved = append(disproved, pa)
		}
	}
	en.mu.Unlock()
	for _, ve := range verdicts {
		bl := poison.NewBlock(ve.Part.Fingerprint(), ve.Duration, clock.WallTime())
		bl.Part, bl.Box, bl.Crashes, bl.Requests, bl.Rivals = &ve.Part, en.Node.Settings.Box, ve.Crashes, ve.Requests, ve.Rivals
		en.addBlock(bl, false, now)
	}
	for _, pa := range disproved {
		en.liftPart(pa, now)
	}
}

// liftPart lifts the block of a part.
func (en *Entry) liftPart(pa poison.Part, now time.Time) {
	fp := pa.Fingerprint()
	en.mu.Lock()
	_, lifted := en.blocks.Lift(fp)
	en.parts.Exonerate(pa, now)
	en.lifted[fp], en.liftsUnstored = now, true
	en.mu.Unlock()
	if lifted {
		en.Node.Record(timeline.Entry{Event: event.RequestUnblocked, Team: pa.Team, Detail: fp.String() + ": servers survived responses with part " + pa.ID})
	}
}

// blockDetail describes what is blocked, on what evidence, by whom and until when.
func blockDetail(bl poison.Block) string {
	what := "request " + bl.Fingerprint.String()
	if bl.Part != nil {
		what = fmt.Sprintf("part %s of team %q (all teams: %t), %d requests", bl.Part.ID, bl.Part.Team, bl.Part.AllTeams, bl.Requests)
	}
	return fmt.Sprintf("%s: %d servers crashed, by %s until %s", what, bl.Crashes, bl.Box, bl.Until().UTC().Format(time.RFC3339))
}
