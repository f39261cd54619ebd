package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/lease"
	"github.com/linnetrudder/linnetrudder/internal/relay"
)

const (
	// renewInterval is the pause between two renewals of the membership's lease. memberTTL is the
	// duration of the lease. It may be long, since the gateways that request changes from a watcher
	// detect its failure themselves.
	renewInterval = 10 * time.Second
	memberTTL     = 25 * time.Second
	// joinRetryPause is the pause after a failed call.
	joinRetryPause = time.Second
	// joinCheckInterval is how often a gateway checks whether it is needed as a member. maxJoinDelay
	// is the longest random delay before it joins: if many gateways start together, a few join first
	// and the others see that they are not needed. Boxes whose links have more than smallLinkMbps wait
	// less, since gateways there become the watchers.
	joinCheckInterval = 500 * time.Millisecond
	maxJoinDelay      = 1500 * time.Millisecond
	smallLinkMbps     = 20
	// maxSeededJoinDelay replaces maxJoinDelay while a seed provides the state: nobody needs the
	// watchers immediately then, and the first ones must be known before others decide to join.
	// seededJoinOffset is the shortest delay as a fraction of the longest: a box whose link is ten times
	// larger than that of another always joins first.
	maxSeededJoinDelay = 30 * time.Second
	seededJoinOffset   = 0.1
)

// maintainMembership makes this gateway a member once it is needed, and renews the membership.
func (ga *Gateway) maintainMembership(ctx context.Context) {
	var id lease.ID
	ga.awaitMembershipNeed(ctx)
	for ctx.Err() == nil {
		pause := renewInterval
		if err := ga.renewMembership(ctx, &id); err != nil && ctx.Err() == nil {
			ga.Log.Warn().Int("event", int(event.StoreCallFailed)).Err(err).Msg(event.Name(event.StoreCallFailed))
			pause = joinRetryPause
		}
		if clock.Wait(ctx, pause, ga.rejoin) {
			id = 0
		}
	}
}

// awaitMembershipNeed waits until this gateway is needed as a member.
func (ga *Gateway) awaitMembershipNeed(ctx context.Context) {
	wait := ga.joinDelay(rand.Float64())
	for ctx.Err() == nil {
		clock.Sleep(ctx, wait)
		if ga.neededAsMember() {
			return
		}
		wait = joinCheckInterval + rand.N(maxJoinDelay)
	}
}

// joinDelay returns the delay before a gateway joins. draw is uniform over [0, 1).
func (ga *Gateway) joinDelay(draw float64) time.Duration {
	scale := min(1, smallLinkMbps/float64(max(1, ga.LinkMbps)))
	if len(ga.Seeds) > 0 {
		return time.Duration((seededJoinOffset + (1-seededJoinOffset)*draw) * scale * float64(maxSeededJoinDelay))
	}
	return time.Duration(draw * scale * float64(maxJoinDelay))
}

// neededAsMember reports whether this gateway is needed as a member. It is false until the members
// are known.
func (ga *Gateway) neededAsMember() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.stateRead && ga.relayPlan.ShouldJoin(ga.memberList(), ga.LinkMbps)
}

// renewMembership renews the lease, or joins if there is none.
func (ga *Gateway) renewMembership(ctx context.Context, id *lease.ID) error {
	if *id != 0 {
		err := ga.Store.RenewLease(ctx, *id)
		if !errors.Is(err, lease.ErrExpired) {
			return err
		}
		*id = 0
	}
	joined, err := ga.Store.Join(ctx, ga.self(), memberTTL)
	if err != nil {
		return err
	}
	*id = joined
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.isMember = true
	return nil
}

// self returns this gateway's description as a member.
func (ga *Gateway) self() relay.Member {
	return relay.Member{Box: ga.Box, DataCentre: ga.DataCentre, Address: ga.RelayAddress, LinkMbps: ga.LinkMbps}
}

// memberJoined records a member. The lock is held.
func (ga *Gateway) memberJoined(me relay.Member) {
	_, known := ga.members[me.Box]
	ga.members[me.Box] = me
	ga.missingMembers.Remove(me.Box)
	if !known {
		ga.updateSize()
		ga.logMember(event.MemberJoined, me.Box)
	}
}

// memberList returns the members in no particular order. The lock is held.
func (ga *Gateway) memberList() []relay.Member { return slices.Collect(maps.Values(ga.members)) }

// replaceMembers removes the members that a complete state does not list. Members that a restored
// service may have lost get time to join again. The lock is held.
func (ga *Gateway) replaceMembers(st State, restored bool, now time.Time) {
	listed := map[string]bool{}
	for _, ch := range st.Changes {
		if ch.Member != nil {
			listed[ch.Member.Box] = true
		}
	}
	for box := range ga.members {
		switch {
		case listed[box]:
		case restored:
			ga.missingMembers.Add(box, now.Add(rewriteGrace))
		case !ga.missingMembers.Contains(box):
			ga.memberLeft(box)
		}
	}
	if restored && ga.isMember && !listed[ga.Box] {
		ga.requestRejoin()
	}
}

// requestRejoin makes this gateway join again immediately. The lock is held.
func (ga *Gateway) requestRejoin() {
	select {
	case ga.rejoin <- struct{}{}:
	default:
	}
}

// memberLeft records that a member has left. The lock is held.
func (ga *Gateway) memberLeft(box string) {
	ga.missingMembers.Remove(box)
	if _, known := ga.members[box]; known {
		delete(ga.members, box)
		ga.updateSize()
		ga.logMember(event.MemberLeft, box)
	}
}

func (ga *Gateway) logMember(id event.ID, box string) {
	ga.Log.Info().Int("event", int(id)).Str("member", box).Int("members", len(ga.members)).Msg(event.Name(id))
}
