package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
)

const (
	// probeTimeout bounds the question whether a server still listens: one that has ended
	// refuses within a round trip of some milliseconds.
	probeTimeout = 400 * time.Millisecond
	// probeWait is how long a request whose connection broke off waits for the answer before
	// it goes on elsewhere: some round trips, and far less than a caller notices.
	probeWait = 50 * time.Millisecond
	// probeAgain is how long one answer is used for others: with a server all its connections
	// break off within some milliseconds.
	probeReuse = 100 * time.Millisecond
	// mostSuspects is how many suspects a line of the log names.
	maxLoggedSuspects = 8
)

// probe is a question whether a server still listens.
type probe struct {
	at time.Time
	// done is closed when the answer is known.
	done chan struct{}
}

// brokeOff finds out whether a server has ended that broke a connection off, and waits a
// moment for it: what is decided next may depend on it.
func (ga *Gateway) connectionLost(ctx context.Context, se directory.Server) {
	if ctx.Err() != nil {
		return // the caller left or the time is over: this says nothing of the server
	}
	now := clock.Now()
	ga.mu.Lock()
	ga.runs.Disconnected(se.Key(), now)
	pr := ga.probe(ctx, se, now)
	ga.mu.Unlock()
	ti := time.NewTimer(probeWait)
	defer ti.Stop()
	select {
	case <-pr.done:
	case <-ti.C:
	case <-ctx.Done():
	}
}

// probe asks whether a server still listens, or returns the question that was just asked. The
// lock is held.
func (ga *Gateway) probe(ctx context.Context, se directory.Server, now time.Time) *probe {
	pr := ga.probes[se.Key()]
	if pr != nil && now.Sub(pr.at) < probeReuse {
		return pr
	}
	pr = &probe{at: now, done: make(chan struct{})}
	ga.probes[se.Key()] = pr
	go ga.runProbe(context.WithoutCancel(ctx), se, pr)
	return pr
}

func (ga *Gateway) runProbe(ctx context.Context, se directory.Server, pr *probe) {
	defer close(pr.done)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch err := ga.Backend.CheckReachable(ctx, se); {
	case err == nil:
		ga.mu.Lock()
		defer ga.mu.Unlock()
		ga.runs.Alive(se.Key(), clock.Now())
	case errors.Is(err, ErrUnreachable):
		ga.recordServerEnd(se, "it broke off and takes no connection")
	default:
		ga.Log.Info().Int("event", int(event.ServerUnclear)).Str("server", se.Key()).Err(err).Msg(event.Name(event.ServerUnclear))
	}
}

// serverEnded notes that a server's process is gone.
func (ga *Gateway) recordServerEnd(se directory.Server, why string) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.applyServerEnd(se.Key(), why, clock.Now())
}

// noteEnded takes the end of a server's life, the first time that it is noticed. The lock is
// held.
func (ga *Gateway) applyServerEnd(key, why string, now time.Time) {
	if !ga.runs.HasServer(key) {
		return
	}
	suspects, at := ga.runs.Crashed(key, now)
	serverEnds.Inc()
	for _, ru := range suspects {
		ga.applySuspicion(ru.Suspicion(key, at, now), now)
	}
	ga.Log.Info().Int("event", int(event.ServerEnded)).Str("server", key).Int("suspects", len(suspects)).
		Strs("prints", suspectNames(suspects)).Str("detail", why).Msg(event.Name(event.ServerEnded))
}

// prints names suspects for the log, the first of many.
func suspectNames(suspects []*poison.Run) []string {
	names := make([]string, 0, maxLoggedSuspects)
	for _, ru := range suspects[:min(maxLoggedSuspects, len(suspects))] {
		names = append(names, ru.RequestID()+" "+ru.Fingerprint().String())
	}
	return names
}

// settleRuns forgets what is over for long, and lifts the blocks of what servers are known to
// have answered and lived on; it asks those of which that is not known yet.
func (ga *Gateway) updateRuns(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, pr := range ga.crashDetector.Update(&ga.runs, now) {
		ga.liftDisprovenBlock(pr, now)
	}
	suspected := func(pr poison.Fingerprint) bool {
		return ga.crashDetector.CrashedServers(pr) > 0 || ga.blocks.Remaining(pr, now) > 0
	}
	for _, key := range ga.runs.Unconfirmed(suspected, now) {
		if se := ga.servers.ByKey(key); se != nil {
			ga.probe(ctx, *se, now)
		}
	}
	for key, pr := range ga.probes {
		if now.Sub(pr.at) > probeTimeout {
			delete(ga.probes, key)
		}
	}
}
