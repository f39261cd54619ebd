package entry

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
)

// initialDialTime is how long requests wait for the links to agents after the start and after the first list of
// boxes. Links on the longest paths take a few milliseconds.
const initialDialTime = 500 * time.Millisecond

// initialDials tells when the first attempt to link to each agent has ended. Before that, an entry does not know which
// servers it can reach. It is not safe for concurrent use.
type initialDials struct {
	// expires is when requests stop waiting in any case.
	expires time.Time
	// pending holds the agents whose first attempt has not ended, nil before the first list of boxes.
	pending map[string]bool
	// done is closed once the first attempt of all agents has ended.
	done chan struct{}
}

func newInitialDials(now time.Time) initialDials {
	return initialDials{expires: now.Add(initialDialTime), done: make(chan struct{})}
}

// list records the agents of the first list of boxes.
func (id *initialDials) list(agents []string, now time.Time) {
	if id.pending != nil {
		return
	}
	id.expires, id.pending = now.Add(initialDialTime), map[string]bool{}
	for _, box := range agents {
		id.pending[box] = true
	}
	if len(agents) == 0 {
		close(id.done)
	}
}

// end records that an attempt to link to an agent has ended, or that there will be none.
func (id *initialDials) end(box string) {
	if !id.pending[box] {
		return
	}
	delete(id.pending, box)
	if len(id.pending) == 0 {
		close(id.done)
	}
}

// awaitInitialDials waits until the entry knows which servers it can reach.
func (en *Entry) awaitInitialDials(ctx context.Context) {
	for {
		en.mu.Lock()
		done, left := en.dials.done, en.dials.expires.Sub(clock.Now())
		en.mu.Unlock()
		// The time may have been extended meanwhile.
		if left <= 0 || ctx.Err() != nil || clock.Wait(ctx, left, done) {
			return
		}
	}
}
