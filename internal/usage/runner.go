package usage

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/duty"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/lease"
	"github.com/linnetrudder/linnetrudder/internal/truetime"
)

const (
	// stepInterval is the pause between two steps of the duty. It is short compared with the time that
	// the platform leaves for a report.
	stepInterval = 100 * time.Millisecond
	// retryInterval is the pause after a call that failed.
	retryInterval = 500 * time.Millisecond
	// deliveryTimeout bounds the delivery of a report.
	deliveryTimeout = time.Second
)

var (
	// ErrFenced means that the platform rejected a call because a later holder has called.
	ErrFenced = eris.New("a later holder of the duty has called")
	// ErrDutyLost means that the key-value service has another holder or record than expected.
	ErrDutyLost = eris.New("the duty or its record has changed in the key-value service")
)

var (
	windowsReported = metrics.NewCounter(`linnetrudder_usage_windows_reported_total`)
	callsFailed     = metrics.NewCounter(`linnetrudder_usage_calls_failed_total`)
)

// Store stores the holder of the duty and the record of its reports.
type Store interface {
	// AcquireDuty makes a process the holder for as long as the lease is renewed. It returns
	// ErrDutyLost if there is another holder.
	AcquireDuty(ctx context.Context, ho duty.Holder, ttl time.Duration) (duty.Holder, lease.ID, error)
	// RenewLease renews the lease. It returns lease.ErrExpired if the lease does not exist any more.
	RenewLease(ctx context.Context, id lease.ID) error
	// ReadUsage returns the record.
	ReadUsage(ctx context.Context) (Record, error)
	// StoreUsage replaces the record if it still has the record's revision and the duty still has this
	// holder. It returns the record with its new revision, or ErrDutyLost.
	StoreUsage(ctx context.Context, ho duty.Holder, re Record) (Record, error)
}

// Platform accepts the reports.
type Platform interface {
	// ReportUsage delivers a report. It returns ErrFenced if the platform has seen a higher fencing
	// number.
	ReportUsage(ctx context.Context, ho duty.Holder, re Report) error
}

// Runner counts the requests of one process and performs the duty while this process holds it. Its
// exported fields are set before use. Its methods are safe for concurrent use.
type Runner struct {
	Log zerolog.Logger
	// Box is the name of this process's box, Process identifies the process.
	Box     string
	Process uint64
	// LeaseTTL is the duration of the holder's lease.
	LeaseTTL time.Duration
	// Length is the length of a window, Delay the time after its end within which it must be
	// reported.
	Length, Delay time.Duration
	Store         Store
	Platform      Platform
	// Rank returns this process's position among the candidates for the duty, negative if it is none.
	Rank func() int

	// lease is the lease of the duty. Only the goroutine of Run uses it.
	lease lease.ID

	// mu guards the fields below.
	mu       sync.Mutex
	prepared bool
	ledger   Ledger
	election duty.Election
	reporter Reporter
	time     truetime.Estimator
}

// Run performs the duty while this process holds it, until the context ends.
func (ru *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := stepInterval
		if err := ru.step(ctx); err != nil && ctx.Err() == nil {
			callsFailed.Inc()
			ru.Log.Warn().Int("event", int(event.DutyCallFailed)).Err(err).Msg(event.Name(event.DutyCallFailed))
			pause = retryInterval
		}
		clock.Sleep(ctx, pause)
	}
}

// locked calls a function with the lock held.
func (ru *Runner) locked(do func(now time.Time)) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	now := clock.Now()
	if !ru.prepared {
		ru.prepared = true
		ru.election = duty.Election{Process: ru.Process, TTL: ru.LeaseTTL}
		ru.reporter = Reporter{Length: ru.Length, Delay: ru.Delay}
	}
	ru.time.Observe(clock.WallTime(), now)
	do(now)
}

// Count counts a request of a team that begins to run now.
func (ru *Runner) Count(team string) {
	ru.locked(func(now time.Time) {
		ru.ledger.Add(ru.Process, WindowAt(ru.time.Now(now), ru.Length), team)
	})
}

// SetHolder applies the stored holder of the duty, the zero value if there is none.
func (ru *Runner) SetHolder(ho duty.Holder) {
	ru.locked(func(now time.Time) {
		before := ru.election.Holder()
		ru.election.SetHolder(ho, now)
		if before == ho {
			return
		}
		ru.Log.Info().Int("event", int(event.DutyHolderChanged)).Str("holder", ho.Box).Uint64("fence", ho.FencingNumber()).
			Str("holder_before", before.Box).Msg(event.Name(event.DutyHolderChanged))
	})
}

// Holder returns the holder of the duty.
func (ru *Runner) Holder() (ho duty.Holder) {
	ru.locked(func(time.Time) { ho = ru.election.Holder() })
	return ho
}

// step performs at most one action for the duty.
func (ru *Runner) step(ctx context.Context) error {
	rank := ru.Rank()
	var action duty.Action
	ru.locked(func(now time.Time) {
		if action = ru.election.Next(rank, now); action != duty.Wait {
			ru.election.CallSent(now)
		}
	})
	switch action {
	case duty.Acquire:
		return ru.acquire(ctx)
	case duty.Renew:
		return ru.renew(ctx)
	}
	return ru.report(ctx)
}

func (ru *Runner) acquire(ctx context.Context) error {
	sent := clock.Now()
	ho, id, err := ru.Store.AcquireDuty(ctx, duty.Holder{Box: ru.Box, Process: ru.Process}, ru.LeaseTTL)
	if id != 0 && !eris.Is(err, ErrDutyLost) { // the holder may be this process, by an attempt without an answer
		ru.lease = id
		ru.locked(func(time.Time) { ru.election.LeaseConfirmed(sent) })
	}
	if err != nil {
		return err
	}
	ru.SetHolder(ho)
	return nil
}

func (ru *Runner) renew(ctx context.Context) error {
	sent := clock.Now()
	err := ru.Store.RenewLease(ctx, ru.lease)
	ru.locked(func(now time.Time) {
		switch {
		case err == nil:
			ru.election.LeaseConfirmed(sent)
		case eris.Is(err, lease.ErrExpired):
			ru.election.LeaseExpired(now)
		}
	})
	return err
}

// report takes the next step towards the report of a window, if this process may act as the holder.
func (ru *Runner) report(ctx context.Context) error {
	var step Step
	var ho duty.Holder
	var left time.Duration
	ru.locked(func(now time.Time) {
		until := ru.election.ActsUntil(now)
		if until.IsZero() {
			return
		}
		ho, left = ru.election.Holder(), until.Sub(now)
		step = ru.reporter.Next(&ru.ledger, ho.FencingNumber(), ru.election.HeldFor(now), ru.time.Now(now))
	})
	ctx, cancel := context.WithTimeout(ctx, min(left, deliveryTimeout))
	defer cancel()
	switch step.Kind {
	case Read:
		return ru.storeResult(ru.Store.ReadUsage(ctx))
	case Fix:
		return ru.storeResult(ru.Store.StoreUsage(ctx, ho, step.Record))
	case Deliver:
		return ru.deliver(ctx, ho, step.Report)
	}
	return nil
}

// storeResult applies the result of reading or storing the record.
func (ru *Runner) storeResult(re Record, err error) error {
	ru.locked(func(time.Time) {
		if err != nil {
			ru.reporter.Invalidate()
			return
		}
		ru.reporter.Stored(re)
	})
	return err
}

func (ru *Runner) deliver(ctx context.Context, ho duty.Holder, re Report) error {
	err := ru.Platform.ReportUsage(ctx, ho, re)
	ru.locked(func(now time.Time) {
		switch {
		case err == nil:
			ru.reporter.Delivered(re.Window)
			windowsReported.Inc()
			ru.logDelivered(ho, re, now)
		case eris.Is(err, ErrFenced):
			ru.election.Resign()
		}
	})
	return err
}

// logDelivered logs a delivered report. The lock is held.
func (ru *Runner) logDelivered(ho duty.Holder, re Report, now time.Time) {
	total := 0
	for _, n := range re.Counts {
		total += n
	}
	ru.Log.Info().Int("event", int(event.UsageReported)).Uint64("window", uint64(re.Window)).Int("teams", len(re.Counts)).Int("requests", total).
		Uint64("fence", ho.FencingNumber()).Dur("after_ms", ru.time.Now(now).Sub(re.Window.End(ru.Length))).Msg(event.Name(event.UsageReported))
}
