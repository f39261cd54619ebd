package entry

import (
	"context"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
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
			en.Node.Note(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
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
	return en.view.Watches()
}

func (en *Entry) noteDuty(duty bool) {
	if duty {
		en.Node.Note(timeline.Entry{Event: event.WatchStarted})
		return
	}
	en.Node.Note(timeline.Entry{Event: event.WatchStopped})
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
	en.install(pair.Value)
	return index, nil
}

// install takes a stored value into force if it is newer. A value that does
// not decode is refused and what is in force stays.
func (en *Entry) install(value []byte) {
	ev, err := config.DecodeEnvelope(value)
	if err != nil {
		en.Node.Note(timeline.Entry{Event: event.ConfigRefused, Detail: err.Error()})
		return
	}
	held := en.Node.Snapshot().Revision()
	if ev.Document == nil || ev.Revision <= held {
		if ev.Revision < held {
			en.Node.Note(timeline.Entry{Event: event.ConfigRefused, Detail: "the store holds a lower revision"})
		}
		return
	}
	if err := ev.Document.Check(); err != nil {
		en.Node.Note(timeline.Entry{Event: event.ConfigRefused, Detail: err.Error()})
		return
	}
	en.Node.Install(config.Compile(ev.Revision, ev.Document))
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
