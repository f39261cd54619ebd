package node

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// Service is a component of a process that the supervisor restarts if it fails.
type Service struct {
	// Name identifies the service in log entries about failures.
	Name string
	// Run runs the service until the context is cancelled.
	Run func(ctx context.Context) error
}

// Serve calls Run. It implements suture.Service.
func (se Service) Serve(ctx context.Context) error { return se.Run(ctx) }

// String returns the name. The supervisor uses it in its events.
func (se Service) String() string { return se.Name }

// failureBackoff is the delay before the next restart after many failures.
const failureBackoff = time.Second

// NewSupervisor returns a supervisor that records its events.
func NewSupervisor(name string, no *Node) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		FailureBackoff: failureBackoff,
		EventHook: func(ev suture.Event) {
			no.Record(timeline.Entry{Event: event.ServiceRestarted, Detail: ev.String()})
		},
	})
}

// Every calls a function at a fixed interval until the context is cancelled.
func Every(ctx context.Context, interval time.Duration, fn func(now time.Time)) error {
	ti := time.NewTicker(interval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ti.C:
			fn(now)
		}
	}
}
