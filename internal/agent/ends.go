package agent

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// reachTimeout bounds the question whether the server still listens: it is on the same box.
const reachTimeout = 200 * time.Millisecond

// begin notes that the attempt is sent to the server.
func (ru *run) begin() {
	ru.ag.mu.Lock()
	defer ru.ag.mu.Unlock()
	ru.sent = ru.ag.dispatched.Sent(ru.ag.server(), ru.at.Print, ru.at.Request, clock.Now())
}

// answered notes that its answer began.
func (ru *run) answered() {
	ru.ag.mu.Lock()
	defer ru.ag.mu.Unlock()
	ru.ag.dispatched.Answered(ru.sent, clock.Now())
}

// settle notes how the attempt ended, and finds out whether the server has ended with it.
func (ru *run) settle(ctx context.Context, co result.Code) {
	if ru.sent == nil {
		return
	}
	ag, now := ru.ag, clock.Now()
	ag.mu.Lock()
	if co == result.NotDispatched {
		ru.sent.MarkUnsent()
	}
	ru.sent.Finish(co == result.OK, now)
	if ru.broke {
		ag.dispatched.Disconnected(ag.server(), now)
	}
	ag.mu.Unlock()
	switch {
	case ctx.Err() != nil:
	case ru.refused, ru.broke && !ag.listens(ctx):
		ag.serverEnded(now)
	case ru.broke:
		ag.mu.Lock()
		defer ag.mu.Unlock()
		ag.dispatched.Alive(ag.server(), clock.Now())
	}
}

// server names the one server of this agent among what it got.
func (ag *Agent) server() string { return ag.Node.Settings.Server.Name }

// listens reports whether the server still takes connections.
func (ag *Agent) listens(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	var di net.Dialer
	conn, err := di.DialContext(ctx, "tcp", ag.Node.Settings.Server.Address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	if err := conn.Close(); err != nil {
		ag.Node.Note(timeline.Entry{Event: event.ServerUnclear, Detail: err.Error()})
	}
	return true
}

// serverEnded tells all connected entries which requests may have ended the server, once.
func (ag *Agent) serverEnded(now time.Time) {
	ag.mu.Lock()
	suspects, at := ag.dispatched.Crashed(ag.server(), now)
	life := ag.server() + "@" + strconv.FormatInt(clock.WallTime().UnixMilli(), 36)
	var list []poison.Suspicion
	for _, ru := range suspects {
		if !ru.Fingerprint().IsZero() && !ag.cases.IsHarmless(ru.Fingerprint()) {
			list = append(list, ru.Suspicion(life, at, now))
		}
	}
	ag.mu.Unlock()
	if len(suspects) == 0 {
		return
	}
	ag.Node.Note(timeline.Entry{Event: event.ServerEnded, Detail: life + ", suspects: " + strconv.Itoa(len(list))})
	for _, li := range ag.Node.Links() {
		li.Send(&wire.Frame{Kind: wire.Suspect, Suspicions: list})
	}
}
