package entry

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// dutyCheck is how often an entry looks whether it must watch the store.
const dutyCheck = 500 * time.Millisecond

// watchStore watches the configuration while this entry is one of its data
// centre's watchers.
func (en *Entry) watchStore(ctx context.Context) error {
	watching := false
	var index uint64
	for ctx.Err() == nil {
		if duty := en.watches(); duty != watching {
			watching = duty
			en.noteDuty(duty)
		}
		if !watching {
			sleep(ctx, dutyCheck)
			continue
		}
		next, err := en.watchOnce(ctx, index)
		if err != nil {
			en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
			index = 0
			sleep(ctx, dutyCheck)
			continue
		}
		index = next
	}
	return ctx.Err()
}

func (en *Entry) watches() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.view.IsWatcher()
}

func (en *Entry) noteDuty(duty bool) {
	if duty {
		en.Node.Record(timeline.Entry{Event: event.WatchStarted})
		return
	}
	en.Node.Record(timeline.Entry{Event: event.WatchStopped})
}

// watchOnce waits for a change and takes it into force. An index that went
// back, as after a loss of the service's data, starts the watch anew.
func (en *Entry) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	pair, index, err := en.Store.Watch(ctx, config.StoreKey, after, en.Node.Settings.Platform.Watch())
	if err != nil {
		return 0, err
	}
	if index < after {
		index = 0
	}
	if index == 0 {
		sleep(ctx, dutyCheck)
	}
	en.install(ctx, pair)
	return index, nil
}

// install takes a stored value into force if it is newer. A value that does
// not decode is refused and what is in force stays.
func (en *Entry) install(ctx context.Context, pair kv.Pair) {
	ev, err := config.DecodeEnvelope(pair.Value)
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.ConfigRefused, Detail: err.Error()})
		return
	}
	held := en.Node.Snapshot().Revision()
	if ev.Revision < held {
		en.Node.Record(timeline.Entry{Event: event.ConfigRefused, Detail: "the store holds a lower revision"})
		en.writeAgain(ctx, ev, pair.Index)
		return
	}
	if ev.Document == nil {
		return
	}
	if ev.Revision > held {
		if err := ev.Document.Check(); err != nil {
			en.Node.Record(timeline.Entry{Event: event.ConfigRefused, Detail: err.Error()})
			return
		}
		en.Node.Install(config.Compile(ev.Revision, ev.Document))
	}
	en.stored = ev
}

// writeAgain writes the newest accepted configuration to a store that went back to an older one, so
// that the next change follows it. A store that holds a change which is not part of it is left to
// an operator.
func (en *Entry) writeAgain(ctx context.Context, older *config.Envelope, index uint64) {
	if en.stored == nil || !en.stored.Extends(older) {
		return
	}
	value, err := en.stored.Encode()
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		return
	}
	made, err := en.Store.Swap(ctx, config.StoreKey, value, index)
	switch {
	case err != nil:
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
	case made:
		en.Node.Record(timeline.Entry{Event: event.ConfigAccepted, Revision: en.stored.Revision, Detail: "written again to a store that had lost it"})
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
