package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/relay"
)

const (
	// probeTimeout bounds a probe. The box of a server that has crashed refuses the connection within
	// a round trip of a few milliseconds.
	probeTimeout = 400 * time.Millisecond
	// probeWait is how long a request whose connection broke waits for the result before it continues
	// at another server: a few round trips, and far less than a caller notices.
	probeWait = 50 * time.Millisecond
	// probeReuse is how long after its start the result of a probe is used for further requests: when
	// a server crashes, all its connections break within a few milliseconds.
	probeReuse = 100 * time.Millisecond
	// maxLoggedSuspects bounds the suspects in a log line.
	maxLoggedSuspects = 8
)

// probe is a check whether a server still accepts connections.
type probe struct {
	at time.Time
	// done is closed when the result is known.
	done chan struct{}
}

// connectionLost checks whether a server has crashed after one of its connections broke, and waits
// for the result for up to probeWait, since the next step may depend on it.
func (ga *Gateway) connectionLost(ctx context.Context, se directory.Server) {
	if ctx.Err() != nil {
		return // the caller disconnected or the deadline passed, so the server need not have failed
	}
	now := clock.Now()
	ga.mu.Lock()
	ga.runs.Disconnected(se.Key(), now)
	pr := ga.probe(ctx, se, now)
	ga.mu.Unlock()
	clock.Wait(ctx, probeWait, pr.done)
}

// probe starts a probe of a server, or returns one that was started within probeReuse. The lock is
// held.
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
		ga.recordServerCrash(se, "a connection was lost and the server accepts no new one")
	default:
		ga.Log.Info().Int("event", int(event.ServerUnclear)).Str("server", se.Key()).Err(err).Msg(event.Name(event.ServerUnclear))
	}
}

// probeEndedServer checks whether a server whose entry ended has crashed, although it broke no connection
// of this gateway: its request there may have been cancelled before.
func (ga *Gateway) probeEndedServer(ctx context.Context, se directory.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := ga.Backend.CheckReachable(ctx, se); errors.Is(err, ErrUnreachable) {
		ga.recordServerCrash(se, "its entry ended and it accepts no connection")
	}
}

// recordServerCrash records that a server's process has crashed.
func (ga *Gateway) recordServerCrash(se directory.Server, reason string) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.applyServerCrash(se.Key(), reason, clock.Now())
}

// applyServerCrash records the crash of a server's process and suspects the requests that it was
// running, the first time that the crash is noticed. The lock is held.
func (ga *Gateway) applyServerCrash(key, reason string, now time.Time) {
	if !ga.runs.HasServer(key) {
		return
	}
	timeKnown := ga.runs.IsDisconnected(key, now)
	suspects, at := ga.runs.Crashed(key, now)
	serverEnds.Inc()
	ga.crashes.Add(poison.CrashNotice{Server: key, Age: now.Sub(at), TimeUnknown: !timeKnown}, now)
	for _, ru := range suspects {
		ga.applySuspicion(ru.Suspicion(key, at, now), now)
	}
	ga.Log.Info().Int("event", int(event.ServerEnded)).Str("server", key).Int("suspects", len(suspects)).
		Strs("prints", suspectNames(suspects)).Strs("parts", suspectParts(suspects)).Str("detail", reason).Msg(event.Name(event.ServerEnded))
}

// receiveCrashes applies the crashes that another gateway reports: requests of this gateway may have
// caused them although none of its connections broke. The lock is held.
func (ga *Gateway) receiveCrashes(re relay.Report, now time.Time) {
	for _, no := range re.Crashes {
		valid := no.Valid()
		no.Hops++
		if !valid || !ga.crashes.Add(no, now) || !ga.runs.HasServer(no.Server) {
			continue
		}
		if !no.TimeUnknown {
			ga.runs.Disconnected(no.Server, now.Add(-no.Age))
		}
		ga.applyServerCrash(no.Server, "reported by gateway "+re.Box, now)
	}
}

// suspectNames returns the request ids and fingerprints of the first maxLoggedSuspects suspects for
// the log.
func suspectNames(suspects []*poison.Run) []string {
	names := make([]string, 0, maxLoggedSuspects)
	for _, ru := range suspects[:min(maxLoggedSuspects, len(suspects))] {
		names = append(names, ru.Subject().RequestID+" "+ru.Subject().Fingerprint.String())
	}
	return names
}

// suspectParts returns the parts in the prompts of the suspects for the log, as "part team count",
// those that most suspects share first, at most maxLoggedSuspects.
func suspectParts(suspects []*poison.Run) []string {
	type sharedPart struct{ id, team string }
	counts := map[sharedPart]int{}
	for _, ru := range suspects {
		for _, id := range ru.Subject().Parts {
			counts[sharedPart{id, ru.Subject().Team}]++
		}
	}
	list := slices.SortedFunc(maps.Keys(counts), func(a, b sharedPart) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.id, b.id), cmp.Compare(a.team, b.team))
	})
	names := make([]string, 0, maxLoggedSuspects)
	for _, pa := range list[:min(maxLoggedSuspects, len(list))] {
		names = append(names, fmt.Sprintf("%s %s %d", pa.id, pa.team, counts[pa]))
	}
	return names
}

// updateRuns drops old runs and lifts the blocks of requests that servers have completed without
// crashing. It probes the servers that have completed such requests and are not known to be still
// running.
func (ga *Gateway) updateRuns(ctx context.Context, now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	harmless, cleared := ga.crashDetector.Update(&ga.runs, now)
	for _, ru := range harmless {
		ga.liftDisprovenBlock(ru.Subject().Fingerprint, now)
	}
	ga.clearParts(harmless, now)
	ga.clearParts(cleared, now)
	ga.partDetector.Expire(now)
	ga.decideParts(now)
	asked := ga.partDetector.SuspectedParts(now)
	suspected := func(su poison.Subject) bool {
		return ga.crashDetector.CrashedServers(su.Fingerprint) > 0 || ga.blocks.Remaining(ga.blocks.Find(su, now), now) > 0 ||
			slices.ContainsFunc(asked, su.Has)
	}
	for _, key := range ga.runs.Unconfirmed(suspected, now) {
		if se := ga.servers.ByKey(key); se != nil {
			ga.probe(ctx, *se, now)
		}
	}
	for _, se := range ga.unexplainedEnds {
		go ga.probeEndedServer(ctx, se)
	}
	ga.unexplainedEnds = nil
	for key, pr := range ga.probes {
		if now.Sub(pr.at) > probeTimeout {
			delete(ga.probes, key)
		}
	}
}
