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
	// claimInterval bounds the delay of the answer to a pending claim. idleClaimInterval is used
	// while no log is active, so that an idle process uses little CPU time.
	claimInterval     = 25 * time.Millisecond
	idleClaimInterval = time.Second
	// claimTimeout is how long a claim may take to become durable.
	claimTimeout = 2 * time.Second
	// sessionClaimTimeout is how long the start of a session waits for its claim to become durable.
	// After that, it is answered from the memory of the agent that owns the log.
	sessionClaimTimeout = 150 * time.Millisecond
	// logIdleTimeout is how long an unused log stays in memory.
	logIdleTimeout = 10 * time.Minute
)

// handleClaims adds an entry's claims to their logs.
func (ag *Agent) handleClaims(li *link.Link, lines []wire.ClaimLine) {
	now := time.Now()
	var res []claim.Reply
	ag.mu.Lock()
	for _, cl := range lines {
		lo := ag.claimLog(claim.Shard(cl.Key))
		if cl.Release {
			lo.Release(cl, now)
			continue
		}
		res = append(res, lo.Claim(li.Peer.Box(), cl, sessionClaimTimeout, now)...)
	}
	ag.mu.Unlock()
	ag.sendClaimReplies(res)
	ag.signalClaims()
}

// claimLog returns the log of a shard and creates it if needed. The caller holds ag.mu.
func (ag *Agent) claimLog(shard int) *claim.Log {
	lo := ag.logs[shard]
	if lo == nil {
		flush := ag.Node.Settings.Limits.ClaimFlushInterval()
		lo = &claim.Log{Shard: shard, FlushInterval: flush, ClaimTimeout: claimTimeout}
		ag.logs[shard] = lo
	}
	return lo
}

func (ag *Agent) signalClaims() {
	select {
	case ag.claimsReady <- struct{}{}:
	default:
	}
}

// sendClaimReplies sends the replies to their entries. The caller must not hold ag.mu.
func (ag *Agent) sendClaimReplies(res []claim.Reply) {
	for _, re := range res {
		if li := ag.Node.Link(re.Peer()); li != nil {
			li.Send(&wire.Frame{Kind: wire.ClaimReply, Claims: []wire.ClaimLine{re.Line()}})
		}
	}
}

// serveClaims executes the store operations of the claim logs, one at a time per log.
func (ag *Agent) serveClaims(ctx context.Context) error {
	ti := time.NewTimer(idleClaimInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
		case <-ag.claimsReady:
		}
		if ag.advanceClaims(ctx, time.Now()) {
			ti.Reset(claimInterval)
		} else {
			ti.Reset(idleClaimInterval)
		}
	}
}

// advanceClaims starts the store operations that are due. It reports whether any log is active.
func (ag *Agent) advanceClaims(ctx context.Context, now time.Time) bool {
	var res []claim.Reply
	active := false
	ag.mu.Lock()
	for shard, lo := range ag.logs {
		res = append(res, lo.Tick(now)...)
		if op, ok := lo.Next(now); ok {
			go ag.executeClaimOp(ctx, lo, op)
		}
		active = active || lo.Active()
		if lo.Idle(now.Add(-logIdleTimeout)) {
			delete(ag.logs, shard)
		}
	}
	ag.mu.Unlock()
	ag.sendClaimReplies(res)
	return active
}

// executeClaimOp executes one store operation for a log and gives the log its result.
func (ag *Agent) executeClaimOp(ctx context.Context, lo *claim.Log, op claim.Op) {
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
		swapped, swapErr := ag.Store.Swap(ctx, op.Key(), op.Value(), op.Index())
		err = swapErr
		ag.mu.Lock()
		res = lo.HandleSwap(swapped, err, time.Now())
		ag.mu.Unlock()
	}
	if err != nil {
		ag.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
	}
	ag.sendClaimReplies(res)
	ag.signalClaims()
}
