package agent

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// stream is an attempt that is queued or running.
type stream struct {
	li *link.Link
	at *wire.Attempt
	// cancel cancels a running attempt; it is nil while the attempt is queued.
	cancel context.CancelFunc
}

// openStream submits an attempt to the gate and reports to the entry if it is queued.
func (ag *Agent) openStream(li *link.Link, fr *wire.Frame) {
	key := gate.Key{Link: li.Name, Stream: fr.Stream}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.streams[key] = &stream{li: li, at: fr.Open}
	if ag.outbox.Full() {
		ag.refuse(key, fr.Open, result.BillsFull, 0)
		return
	}
	ag.apply(ag.gate.Submit(key, fr.Open, clock.Now()))
	if st := ag.streams[key]; st != nil && st.cancel == nil {
		li.Send(&wire.Frame{Kind: wire.Admission, Stream: key.Stream, Code: result.Queued})
		ag.Node.Record(timeline.Entry{Event: event.AttemptQueued, Request: fr.Open.Request, Team: fr.Open.Team, Version: fr.Open.Version})
	}
}

// apply executes the gate's decisions. The caller holds ag.mu.
func (ag *Agent) apply(acs []gate.Action) {
	for _, ac := range acs {
		if ac.Kind() == gate.Refuse {
			ag.refuse(ac.Key(), ac.Attempt(), ac.Code(), ac.RetryAfter())
			continue
		}
		ag.start(ac.Key(), ac.Attempt())
	}
}

func (ag *Agent) refuse(key gate.Key, at *wire.Attempt, co result.Code, after time.Duration) {
	st := ag.streams[key]
	delete(ag.streams, key)
	lo := ag.load()
	st.li.Send(&wire.Frame{
		Kind: wire.Admission, Stream: key.Stream, Code: co, RetryAfterMS: after.Milliseconds(),
		Load: &lo, Revision: ag.gate.Revision(), Stamp: ag.Node.Stamp(),
	})
	metrics.Attempts.Add(result.Lookup(co).Name(), 1)
	ag.Node.Record(timeline.Entry{
		Event: event.AttemptRefused, Request: at.Request, Team: at.Team, Version: at.Version,
		Detail: result.Lookup(co).Name(),
	})
}

func (ag *Agent) start(key gate.Key, at *wire.Attempt) {
	st := ag.streams[key]
	ctx, cancel := context.WithCancel(context.Background())
	st.cancel = cancel
	lo := ag.load()
	st.li.Send(&wire.Frame{
		Kind: wire.Admission, Stream: key.Stream, Code: result.OK,
		Load: &lo, Revision: ag.gate.Revision(), Stamp: ag.Node.Stamp(),
	})
	ag.Node.Record(timeline.Entry{Event: event.AttemptAdmitted, Request: at.Request, Team: at.Team, Version: at.Version})
	ru := &run{ag: ag, li: st.li, key: key, at: at, decided: ag.gate.DecidedAt()}
	go func() {
		defer cancel()
		ru.execute(ctx)
	}()
}

// cancelStream cancels an attempt that is queued or running.
func (ag *Agent) cancelStream(key gate.Key) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	st := ag.streams[key]
	if st == nil {
		return
	}
	if ag.gate.Cancel(key, clock.Now()) {
		delete(ag.streams, key)
	}
	if st.cancel != nil {
		st.cancel()
	}
	ag.Node.Record(timeline.Entry{Event: event.AttemptCancelled, Request: st.at.Request, Version: st.at.Version})
}

// cancelLinkStreams cancels the attempts of a lost link, except for running ones that must run at
// most once.
func (ag *Agent) cancelLinkStreams(li *link.Link) {
	ag.mu.Lock()
	ag.outbox.MakeAllDue(time.Now())
	var keys []gate.Key
	for key, st := range ag.streams {
		if st.li == li && (st.cancel == nil || !st.at.AtMostOnce) {
			keys = append(keys, key)
		}
	}
	ag.mu.Unlock()
	for _, key := range keys {
		ag.cancelStream(key)
	}
}
