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
	// claimAnswers is how many answers may wait for one request.
	claimAnswers = 8
	// claimHomes is how many homes are tried.
	claimHomes = 2
)

// pinKey names the claim of a session's version. A session has one version
// of each model that it asks for.
func pinKey(as *ask) string {
	return "session\x00" + as.team + "\x00" + as.session + "\x00" + as.model
}

// onceKey names the claim of an idempotency key.
func onceKey(as *ask) string { return "key\x00" + as.team + "\x00" + as.key }

// findPin looks up the version of a session that this entry has seen.
func (en *Entry) findPin(as *ask) {
	if as.session == "" {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	as.pinned = en.pins.get(pinKey(as))
}

// pin starts a session on a version and returns the one it is on, which is
// another if the session started elsewhere before.
func (en *Entry) pin(ctx context.Context, as *ask, version string) (string, error) {
	key := pinKey(as)
	won, err := en.claim(ctx, wire.ClaimLine{Key: key, Value: version})
	if err != nil {
		return "", err
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.pins.put(key, won.Value)
	return won.Value, nil
}

// claimKey makes sure that a request with a key is the only one of it.
func (en *Entry) claimKey(ctx context.Context, as *ask) error {
	if as.key == "" {
		return nil
	}
	won, err := en.claim(ctx, wire.ClaimLine{Key: onceKey(as), Value: as.id, Durable: true})
	if err != nil {
		return err
	}
	if won.Code != result.OK {
		en.Node.Record(timeline.Entry{Event: event.ClaimLost, Request: as.id, Team: as.team, Detail: won.Value})
		return result.New(result.KeyAlreadyUsed, won.Value)
	}
	as.claimed = true
	en.Node.Record(timeline.Entry{Event: event.ClaimWon, Request: as.id, Team: as.team})
	return nil
}

// releaseKey gives the key up after a request that did not run, so that the
// caller may come back with it.
func (en *Entry) releaseKey(as *ask) {
	if !as.claimed {
		return
	}
	key := onceKey(as)
	for _, box := range en.homes(key) {
		if li := en.Node.Link(box); li != nil {
			li.Send(&wire.Frame{Kind: wire.Claim, Claims: []wire.ClaimLine{{Key: key, Value: as.id, Release: true}}})
			return
		}
	}
}

// homes returns the boxes that may be home to a key's log, best first.
func (en *Entry) homes(key string) []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.homesOf[claim.Shard(key)]
}

// rankHomes ranks the agents for each log; the lock is held. All entries do
// so from the same list; where they differ for a while, the log's
// compare-and-swap keeps order.
func (en *Entry) rankHomes(agents []string) {
	for shard := range en.homesOf {
		ranked := rendezvous.Rank(claim.ShardPrefix(shard), agents)
		en.homesOf[shard] = ranked[:min(homeCandidates, len(ranked))]
	}
}

// claim asks a key's home, and the next one if the first is lost.
func (en *Entry) claim(ctx context.Context, cl wire.ClaimLine) (wire.ClaimLine, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	asked := 0
	for _, box := range en.homes(cl.Key) {
		li := en.Node.Link(box)
		if li == nil || asked == claimHomes {
			continue
		}
		asked++
		won, ok := en.claimAt(ctx, li, cl)
		if ok && won.Code == result.ClaimsUnavailable {
			break
		}
		if ok {
			return won, nil
		}
	}
	return wire.ClaimLine{}, result.New(result.ClaimsUnavailable, "")
}

// claimAt asks one home. It reports whether the home answered.
func (en *Entry) claimAt(ctx context.Context, li *link.Link, cl wire.ClaimLine) (wire.ClaimLine, bool) {
	got := make(chan wire.ClaimLine, claimAnswers)
	en.mu.Lock()
	en.claims[cl.Key] = append(en.claims[cl.Key], got)
	en.mu.Unlock()
	defer en.dropClaim(cl.Key, got)
	if !li.Send(&wire.Frame{Kind: wire.Claim, Claims: []wire.ClaimLine{cl}}) {
		return wire.ClaimLine{}, false
	}
	for {
		select {
		case won := <-got:
			if verdict, mine := judgeClaim(cl, won); mine {
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

// judgeClaim reads a home's answer on a key for one of the requests that wait
// for it. A winner is the same for all of them and each compares it with its
// own value; a refusal is for the request that it names alone.
func judgeClaim(asked, got wire.ClaimLine) (verdict wire.ClaimLine, mine bool) {
	if got.Code == result.ClaimsUnavailable {
		return got, got.Value == asked.Value
	}
	got.Code = result.KeyAlreadyUsed
	if got.Value == asked.Value {
		got.Code = result.OK
	}
	return got, true
}

// claimed hands an answer to every request that waits for the key.
func (en *Entry) claimed(lines []wire.ClaimLine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, cl := range lines {
		for _, got := range en.claims[cl.Key] {
			select {
			case got <- cl:
			default:
			}
		}
	}
}

func (en *Entry) dropClaim(key string, got chan wire.ClaimLine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	kept := en.claims[key][:0]
	for _, ch := range en.claims[key] {
		if ch != got {
			kept = append(kept, ch)
		}
	}
	if len(kept) == 0 {
		delete(en.claims, key)
		return
	}
	en.claims[key] = kept
}

func asResult(err error) *result.Error {
	var er *result.Error
	if errors.As(err, &er) {
		return er
	}
	return result.New(result.BadRequest, err.Error())
}
