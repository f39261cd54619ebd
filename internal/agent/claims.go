package agent

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/claim"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

const (
	// claimCheck bounds how late a waiting claim is answered; claimRest is the
	// pause while no log is in use, for an idle process should stay idle.
	claimCheck = 25 * time.Millisecond
	claimRest  = time.Second
	// claimPatience is how long a claim waits to become durable.
	claimPatience = 2 * time.Second
	// sessionWait is how long the start of a session waits for its claim to
	// become durable; after that the home's memory counts.
	sessionWait = 150 * time.Millisecond
	// logIdle is how long a log that nobody uses is kept in memory.
	logIdle = 10 * time.Minute
)

// takeClaims hands an entry's claims to their logs.
func (ag *Agent) takeClaims(li *link.Link, lines []wire.ClaimLine) {
	now := time.Now()
	var res []claim.Reply
	ag.mu.Lock()
	for _, cl := range lines {
		lo := ag.log(claim.Shard(cl.Key))
		if cl.Release {
			lo.Release(cl, now)
			continue
		}
		res = append(res, lo.Claim(li.Peer.Box(), cl, sessionWait, now)...)
	}
	ag.mu.Unlock()
	ag.replyClaims(res)
	ag.wakeClaims()
}

// log returns the log of a shard; the lock is held.
func (ag *Agent) log(shard int) *claim.Log {
	lo := ag.logs[shard]
	if lo == nil {
		flush := ag.Node.Settings.Limits.ClaimFlush()
		lo = &claim.Log{Shard: shard, FlushInterval: flush, ClaimTimeout: claimPatience}
		ag.logs[shard] = lo
	}
	return lo
}

func (ag *Agent) wakeClaims() {
	select {
	case ag.wake <- struct{}{}:
	default:
	}
}

// replyClaims answers; the lock is not held.
func (ag *Agent) replyClaims(res []claim.Reply) {
	for _, re := range res {
		if li := ag.Node.Link(re.Peer()); li != nil {
			li.Send(&wire.Frame{Kind: wire.Claimed, Claims: []wire.ClaimLine{re.Line()}})
		}
	}
}

// serveClaims makes the calls that the logs need, one at a time for each log.
func (ag *Agent) serveClaims(ctx context.Context) error {
	ti := time.NewTimer(claimRest)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
		case <-ag.wake:
		}
		if ag.stepClaims(ctx, time.Now()) {
			ti.Reset(claimCheck)
		} else {
			ti.Reset(claimRest)
		}
	}
}

// stepClaims makes the calls that are due. It reports whether any log has
// something under way.
func (ag *Agent) stepClaims(ctx context.Context, now time.Time) bool {
	var res []claim.Reply
	active := false
	ag.mu.Lock()
	for shard, lo := range ag.logs {
		res = append(res, lo.Tick(now)...)
		if op, ok := lo.Next(now); ok {
			go ag.callClaims(ctx, lo, op)
		}
		active = active || lo.Active()
		if lo.Idle(now.Add(-logIdle)) {
			delete(ag.logs, shard)
		}
	}
	ag.mu.Unlock()
	ag.replyClaims(res)
	return active
}

// callClaims makes one call for a log and hands the answer back.
func (ag *Agent) callClaims(ctx context.Context, lo *claim.Log, op claim.Op) {
	var res []claim.Reply
	var err error
	switch op.Call() {
	case claim.Load:
		pairs, loadErr := ag.Store.List(ctx, op.Key())
		err = loadErr
		ag.mu.Lock()
		res = lo.HandleLoad(pairs, err, time.Now())
		ag.mu.Unlock()
	case claim.Read:
		pair, readErr := ag.Store.Get(ctx, op.Key())
		err = readErr
		ag.mu.Lock()
		res = lo.HandleRead(pair, err, time.Now())
		ag.mu.Unlock()
	case claim.Swap:
		made, swapErr := ag.Store.Swap(ctx, op.Key(), op.Value(), op.Index())
		err = swapErr
		ag.mu.Lock()
		res = lo.HandleSwap(made, err, time.Now())
		ag.mu.Unlock()
	}
	if err != nil {
		ag.Node.Note(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
	}
	ag.replyClaims(res)
	ag.wakeClaims()
}
