package entry

import (
	"context"
	"errors"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/claim"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

const (
	// claimTimeout is slightly longer than the time after which a claim's owner refuses it.
	claimTimeout = 2500 * time.Millisecond
	// claimAnswerBuffer is the number of answers that are buffered for one waiting request.
	claimAnswerBuffer = 8
	// maxClaimOwners is the maximum number of agents that are asked for one claim.
	maxClaimOwners = 2
)

// sessionClaimKey returns the key of the claim for a session's version. A session has one version
// of each model that it requests.
func sessionClaimKey(cr *callerRequest) string {
	return "session\x00" + cr.team + "\x00" + cr.session + "\x00" + cr.model
}

// idempotencyClaimKey returns the key of the claim for an idempotency key.
func idempotencyClaimKey(cr *callerRequest) string {
	return "key\x00" + cr.team + "\x00" + cr.idempotencyKey
}

// findPin looks up the version that the session is pinned to in this entry's cache.
func (en *Entry) findPin(cr *callerRequest) {
	if cr.session == "" {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	cr.pinned = en.pins.get(sessionClaimKey(cr))
}

// pin pins a session to a version and returns the version that it is pinned to, which differs if
// the session was pinned before through another entry.
func (en *Entry) pin(ctx context.Context, cr *callerRequest, version string) (string, error) {
	key := sessionClaimKey(cr)
	won, err := en.requestClaim(ctx, wire.ClaimLine{Key: key, Value: version})
	if err != nil {
		return "", err
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.pins.put(key, won.Value)
	return won.Value, nil
}

// claimKey claims the request's idempotency key, if any. It fails if another request has used the
// key.
func (en *Entry) claimKey(ctx context.Context, cr *callerRequest) error {
	if cr.idempotencyKey == "" {
		return nil
	}
	won, err := en.requestClaim(ctx, wire.ClaimLine{Key: idempotencyClaimKey(cr), Value: cr.id, Durable: true})
	if err != nil {
		return err
	}
	if won.Code != result.OK {
		en.Node.Record(timeline.Entry{Event: event.ClaimLost, Request: cr.id, Team: cr.team, Detail: won.Value})
		return result.New(result.KeyAlreadyUsed, won.Value)
	}
	cr.keyClaimed = true
	en.Node.Record(timeline.Entry{Event: event.ClaimWon, Request: cr.id, Team: cr.team})
	return nil
}

// releaseKey releases the idempotency key of a request that did not run, so that the caller may
// retry with the same key.
func (en *Entry) releaseKey(cr *callerRequest) {
	if !cr.keyClaimed {
		return
	}
	key := idempotencyClaimKey(cr)
	for _, box := range en.claimOwners(key) {
		if li := en.Node.Link(box); li != nil {
			li.Send(&wire.Frame{Kind: wire.Claim, Claims: []wire.ClaimLine{{Key: key, Value: cr.id, Release: true}}})
			return
		}
	}
}

// claimOwners returns the boxes that may own the log of a key, in order of preference.
func (en *Entry) claimOwners(key string) []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.ownersByShard[claim.Shard(key)]
}

// rankClaimOwners ranks the agents for each claim log. The caller holds en.mu. All entries compute
// the ranking from the same list of boxes; while their copies differ, the compare-and-swap
// on the log resolves conflicts.
func (en *Entry) rankClaimOwners(agents []string) {
	for shard := range en.ownersByShard {
		ranked := rendezvous.Rank(claim.ShardPrefix(shard), agents)
		en.ownersByShard[shard] = ranked[:min(ownerCandidates, len(ranked))]
	}
}

// requestClaim requests a claim from the key's owner, or from the next one if the link to the first
// is down or lost.
func (en *Entry) requestClaim(ctx context.Context, cl wire.ClaimLine) (wire.ClaimLine, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	asked := 0
	for _, box := range en.claimOwners(cl.Key) {
		li := en.Node.Link(box)
		if li == nil || asked == maxClaimOwners {
			continue
		}
		asked++
		won, ok := en.requestClaimFrom(ctx, li, cl)
		if ok && won.Code == result.ClaimsUnavailable {
			break
		}
		if ok {
			return won, nil
		}
	}
	return wire.ClaimLine{}, result.New(result.ClaimsUnavailable, "")
}

// requestClaimFrom requests a claim from one owner. It reports whether the owner answered.
func (en *Entry) requestClaimFrom(ctx context.Context, li *link.Link, cl wire.ClaimLine) (wire.ClaimLine, bool) {
	answers := make(chan wire.ClaimLine, claimAnswerBuffer)
	en.mu.Lock()
	en.claimWaiters[cl.Key] = append(en.claimWaiters[cl.Key], answers)
	en.mu.Unlock()
	defer en.removeClaimWaiter(cl.Key, answers)
	if !li.Send(&wire.Frame{Kind: wire.Claim, Claims: []wire.ClaimLine{cl}}) {
		return wire.ClaimLine{}, false
	}
	for {
		select {
		case won := <-answers:
			if outcome, relevant := evaluateClaim(cl, won); relevant {
				return outcome, true
			}
			continue
		case <-li.Done():
		case <-ctx.Done():
		}
		if cl.Durable {
			// The claim may still become durable, so it is released: its request is not going to
			// run. The claim of a session is not released, since other requests of the session
			// may use the same value.
			cl.Release = true
			li.Send(&wire.Frame{Kind: wire.Claim, Claims: []wire.ClaimLine{cl}})
		}
		return wire.ClaimLine{}, false
	}
}

// evaluateClaim interprets an owner's answer for one of the requests that wait for the key. The
// answer that names the winner concerns all of them, and each compares the winner with its own
// value; a refusal concerns only the request that it names. It reports whether the answer concerns
// the request.
func evaluateClaim(asked, got wire.ClaimLine) (outcome wire.ClaimLine, relevant bool) {
	if got.Code == result.ClaimsUnavailable {
		return got, got.Value == asked.Value
	}
	got.Code = result.KeyAlreadyUsed
	if got.Value == asked.Value {
		got.Code = result.OK
	}
	return got, true
}

// deliverClaims passes answers to all requests that wait for their keys.
func (en *Entry) deliverClaims(lines []wire.ClaimLine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, cl := range lines {
		for _, waiter := range en.claimWaiters[cl.Key] {
			select {
			case waiter <- cl:
			default:
			}
		}
	}
}

func (en *Entry) removeClaimWaiter(key string, waiter chan wire.ClaimLine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	remaining := en.claimWaiters[key][:0]
	for _, ch := range en.claimWaiters[key] {
		if ch != waiter {
			remaining = append(remaining, ch)
		}
	}
	if len(remaining) == 0 {
		delete(en.claimWaiters, key)
		return
	}
	en.claimWaiters[key] = remaining
}

// asResult returns the result error in err's chain, or a BadRequest error.
func asResult(err error) *result.Error {
	var er *result.Error
	if errors.As(err, &er) {
		return er
	}
	return result.New(result.BadRequest, err.Error())
}
