package node

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// Service is one part of a process that the supervisor keeps running.
type Service struct {
	// Name is shown when the part fails.
	Name string
	// Run runs until the context ends.
	Run func(ctx context.Context) error
}

// Serve runs the part.
func (se Service) Serve(ctx context.Context) error { return se.Run(ctx) }

// String returns the name.
func (se Service) String() string { return se.Name }

// failureBackoff is how long the supervisor waits after many failures.
const failureBackoff = time.Second

// NewSupervisor returns a supervisor that notes each restart.
func NewSupervisor(name string, no *Node) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		FailureBackoff: failureBackoff,
		EventHook: func(ev suture.Event) {
			no.Record(timeline.Entry{Event: event.ServiceRestarted, Detail: ev.String()})
		},
	})
}

// Every calls a function again and again until the context ends.
func Every(ctx context.Context, pause time.Duration, do func(now time.Time)) error {
	ti := time.NewTicker(pause)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ti.C:
			do(now)
		}
	}
}
