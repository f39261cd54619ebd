package entry

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// watchPollInterval is the time between two checks whether the entry has to watch the store, and
// the delay after a failed watch.
const watchPollInterval = 500 * time.Millisecond

// watchStore watches the configuration in the store while this entry is one of its data centre's
// watchers.
func (en *Entry) watchStore(ctx context.Context) error {
	watching := false
	var index uint64
	for ctx.Err() == nil {
		if watcher := en.isWatcher(); watcher != watching {
			watching = watcher
			en.logWatching(watcher)
		}
		if !watching {
			clock.Sleep(ctx, watchPollInterval)
			continue
		}
		next, err := en.watchOnce(ctx, index)
		if err != nil {
			en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
			index = 0
			clock.Sleep(ctx, watchPollInterval)
			continue
		}
		index = next
	}
	return ctx.Err()
}

func (en *Entry) isWatcher() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.members.IsWatcher()
}

func (en *Entry) logWatching(watcher bool) {
	if watcher {
		en.Node.Record(timeline.Entry{Event: event.WatchStarted})
		return
	}
	en.Node.Record(timeline.Entry{Event: event.WatchStopped})
}

// watchOnce waits for a change and installs it. If the index decreased, as after a loss of the
// service's data, the watch restarts from zero.
func (en *Entry) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	pair, index, err := en.Store.Watch(ctx, config.StoreKey, after, en.Node.Settings.Platform.WatchTimeout())
	if err != nil {
		return 0, err
	}
	if index < after {
		index = 0
	}
	if index == 0 {
		clock.Sleep(ctx, watchPollInterval)
	}
	en.install(ctx, pair)
	return index, nil
}

// install installs a stored configuration if its revision is higher than the one in force. A value
// that can't be decoded is refused and the one in force remains.
func (en *Entry) install(ctx context.Context, pair kv.Pair) {
	ev, err := config.DecodeEnvelope(pair.Value)
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.ConfigRefused, Detail: err.Error()})
		return
	}
	current := en.Node.Snapshot().Revision()
	if ev.Revision < current {
		en.Node.Record(timeline.Entry{Event: event.ConfigRefused, Detail: "the store holds a lower revision"})
		en.restoreStoredConfig(ctx, ev, pair.Index)
		return
	}
	if ev.Document == nil {
		return
	}
	if ev.Revision > current {
		if err := ev.Document.Check(); err != nil {
			en.Node.Record(timeline.Entry{Event: event.ConfigRefused, Detail: err.Error()})
			return
		}
		en.Node.Install(config.Compile(ev.Revision, ev.Document))
	}
	en.storedConfig = ev
}

// restoreStoredConfig writes the newest accepted configuration to a store that has reverted to an
// older one, so that the next change is based on it. If the store holds a change that is not part
// of that configuration's history, an operator has to resolve the conflict.
func (en *Entry) restoreStoredConfig(ctx context.Context, older *config.Envelope, index uint64) {
	if en.storedConfig == nil || !en.storedConfig.Extends(older) {
		return
	}
	value, err := en.storedConfig.Encode()
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		return
	}
	swapped, err := en.Store.Swap(ctx, config.StoreKey, value, index)
	switch {
	case err != nil:
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
	case swapped:
		en.Node.Record(timeline.Entry{Event: event.ConfigAccepted, Revision: en.storedConfig.Revision, Detail: "written again to a store that had lost it"})
	}
}
