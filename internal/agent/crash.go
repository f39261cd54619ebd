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

// reachabilityTimeout bounds the check whether the server still accepts connections. It can be short
// because the server is on the same box.
const reachabilityTimeout = 200 * time.Millisecond

// recordSent records that the attempt is sent to the server.
func (ru *run) recordSent() {
	ru.ag.mu.Lock()
	defer ru.ag.mu.Unlock()
	ru.sent = ru.ag.dispatched.Sent(ru.ag.serverName(), ru.subject(), clock.Now())
}

// subject returns the request as the detection of crashes sees it.
func (ru *run) subject() poison.Subject {
	return poison.Subject{Fingerprint: ru.at.Fingerprint, RequestID: ru.at.Request, Team: ru.at.Team, Parts: ru.at.Parts}
}

// recordAnswered records that the server started to answer the attempt.
func (ru *run) recordAnswered() {
	ru.ag.mu.Lock()
	defer ru.ag.mu.Unlock()
	ru.ag.dispatched.Answered(ru.sent, clock.Now())
}

// recordEnd records the outcome of the attempt and checks whether the server crashed during it.
func (ru *run) recordEnd(ctx context.Context, co result.Code) {
	if ru.sent == nil {
		return
	}
	ag, now := ru.ag, clock.Now()
	ag.mu.Lock()
	if co == result.NotDispatched {
		ru.sent.MarkUnsent()
	}
	ru.sent.Finish(co == result.OK, now)
	if ru.connBroken {
		ag.dispatched.Disconnected(ag.serverName(), now)
	}
	ag.mu.Unlock()
	switch {
	case ctx.Err() != nil:
	case ru.connRefused, ru.connBroken && !ag.isListening(ctx):
		ag.reportCrash(now)
	case ru.connBroken:
		ag.mu.Lock()
		defer ag.mu.Unlock()
		ag.dispatched.Alive(ag.serverName(), clock.Now())
	}
}

// serverName returns the name of this agent's backend server, the key of its tracked attempts.
func (ag *Agent) serverName() string { return ag.Node.Settings.Server.Name }

// isListening reports whether the server still accepts connections. Only a refused connection counts
// as a crash; other errors, such as a timeout, don't.
func (ag *Agent) isListening(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachabilityTimeout)
	defer cancel()
	var di net.Dialer
	conn, err := di.DialContext(ctx, "tcp", ag.Node.Settings.Server.Address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	if err := conn.Close(); err != nil {
		ag.Node.Record(timeline.Entry{Event: event.ServerUnclear, Detail: err.Error()})
	}
	return true
}

// reportCrash sends all connected entries the requests that may have crashed the server, once per
// crash.
func (ag *Agent) reportCrash(now time.Time) {
	ag.mu.Lock()
	suspects, at := ag.dispatched.Crashed(ag.serverName(), now)
	instance := ag.serverName() + "@" + strconv.FormatInt(clock.WallTime().UnixMilli(), 36)
	var list []poison.Suspicion
	for _, ru := range suspects {
		if fp := ru.Subject().Fingerprint; !fp.IsZero() && !ag.detector.IsHarmless(fp) {
			list = append(list, ru.Suspicion(instance, at, now))
		}
	}
	ag.mu.Unlock()
	if len(suspects) == 0 {
		return
	}
	ag.Node.Record(timeline.Entry{Event: event.ServerEnded, Detail: instance + ", suspects: " + strconv.Itoa(len(list))})
	for _, li := range ag.Node.Links() {
		li.Send(&wire.Frame{Kind: wire.CrashSuspects, Suspicions: list})
	}
}
