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
	// claimTimeout is a little more than a home takes to refuse a claim.
	claimTimeout = 2500 * time.Millisecond
	// claimAnswerBuffer is how many answers may wait for one request.
	claimAnswerBuffer = 8
	// maxClaimOwners is how many homes are tried.
	maxClaimOwners = 2
)

// sessionClaimKey names the claim of a session's version. A session has one version
// of each model that it asks for.
func sessionClaimKey(cr *callerRequest) string {
	return "session\x00" + cr.team + "\x00" + cr.session + "\x00" + cr.model
}

// idempotencyClaimKey names the claim of an idempotency key.
func idempotencyClaimKey(cr *callerRequest) string {
	return "key\x00" + cr.team + "\x00" + cr.idempotencyKey
}

// findPin looks up the version of a session that this entry has seen.
func (en *Entry) findPin(cr *callerRequest) {
	if cr.session == "" {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	cr.pinned = en.pins.get(sessionClaimKey(cr))
}

// pin starts a session on a version and returns the one it is on, which is
// another if the session started elsewhere before.
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

// claimKey makes sure that a request with a key is the only one of it.
func (en *Entry) claimKey(ctx context.Context, cr *callerRequest) error {
	if cr.idempotencyKey == "" {
		return nil
	}
	won, err := en.requestClaim(ctx, wire.ClaimLine{Key: idempotencyClaimKey(cr), Value: cr.id, Durable: true})
	if err != nil {
		return err
	}
	if won.Code != result.OK {
		en.Node.Note(timeline.Entry{Event: event.ClaimLost, Request: cr.id, Team: cr.team, Detail: won.Value})
		return result.New(result.KeyAlreadyUsed, won.Value)
	}
	cr.keyClaimed = true
	en.Node.Note(timeline.Entry{Event: event.ClaimWon, Request: cr.id, Team: cr.team})
	return nil
}

// releaseKey gives the key up after a request that did not run, so that the
// caller may come back with it.
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

// claimOwners returns the boxes that may be home to a key's log, best first.
func (en *Entry) claimOwners(key string) []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.ownersByShard[claim.Shard(key)]
}

// rankClaimOwners ranks the agents for each log; the lock is held. All entries do
// so from the same list; where they differ for a while, the log's
// compare-and-swap keeps order.
func (en *Entry) rankClaimOwners(agents []string) {
	for shard := range en.ownersByShard {
		ranked := rendezvous.Rank(claim.ShardPrefix(shard), agents)
		en.ownersByShard[shard] = ranked[:min(ownerCandidates, len(ranked))]
	}
}

// requestClaim asks a key's home, and the next one if the first is lost.
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

// requestClaimFrom asks one home. It reports whether the home answered.
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
			if verdict, relevant := evaluateClaim(cl, won); relevant {
				return verdict, true
			}
			continue
		case <-li.Done():
		case <-ctx.Done():
		}
		if cl.Durable {
			// It may still become durable; then it is given back, since its
			// request is not going to run. A session's claim stays, for its
			// value is not this request's alone.
			cl.Release = true
			li.Send(&wire.Frame{Kind: wire.Claim, Claims: []wire.ClaimLine{cl}})
		}
		return wire.ClaimLine{}, false
	}
}

// evaluateClaim reads a home's answer on a key for one of the requests that wait
// for it. A winner is the same for all of them and each compares it with its
// own value; a refusal is for the request that it names alone.
func evaluateClaim(asked, got wire.ClaimLine) (verdict wire.ClaimLine, relevant bool) {
	if got.Code == result.ClaimsUnavailable {
		return got, got.Value == asked.Value
	}
	got.Code = result.KeyAlreadyUsed
	if got.Value == asked.Value {
		got.Code = result.OK
	}
	return got, true
}

// deliverClaims hands an answer to every request that waits for the key.
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

func asResult(err error) *result.Error {
	var er *result.Error
	if errors.As(err, &er) {
		return er
	}
	return result.New(result.BadRequest, err.Error())
}
