package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/routing"
)

// script is a source whose watches last as long as they may, until it is cut.
type script struct {
	mu  sync.Mutex
	cut bool
}

func (sc *script) setCut(cut bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.cut = cut
}

func (sc *script) failed() error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.cut {
		return result.New(result.StoreDown, "cut")
	}
	return nil
}

func (sc *script) Read(context.Context) (State, error) {
	doc := &routing.Document{Version: 1, Teams: []routing.Team{{Name: "t", Keys: []string{"k"}}}}
	return State{Revision: 1, Changes: []Change{{Document: doc}}}, sc.failed()
}

func (sc *script) Watch(ctx context.Context, after uint64, wait time.Duration) (State, error) {
	sleep(ctx, wait)
	return State{Revision: after}, sc.failed()
}

func (*script) Store(context.Context, Order, StoredPhase) (bool, error) { return true, nil }

func (*script) Tell(context.Context, Tally) error { return nil }

// Keys are accepted all the time while the service answers, and for as long as
// the bound allows after it was cut off, but never longer.
func TestKeysAreAcceptedUpToTheBoundOnTheirAge(t *testing.T) {
	for _, cutAfter := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			sc := &script{}
			ga := &Gateway{Log: zerolog.Nop(), Source: sc, Bounds: Bounds{Revoke: 5 * time.Second, RetryWindow: time.Second}}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = ga.Run(ctx) }()
			for range cutAfter / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				require.True(t, ga.fresh(time.Now()))
			}
			sc.setCut(true)
			cut := time.Now()
			for ga.fresh(time.Now()) {
				time.Sleep(10 * time.Millisecond)
			}
			held := time.Since(cut)
			require.GreaterOrEqual(t, held, 2*time.Second, "most of the time in which requests are owed")
			require.Less(t, held, 5*time.Second-time.Second, "a watch may have heard nothing for a second before")
			sc.setCut(false)
			time.Sleep(2 * time.Second)
			require.True(t, ga.fresh(time.Now()))
			cancel()
			synctest.Wait()
		})
	}
}

func TestAnAnswerThatLayThereIsNotTakenForNew(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	sent := time.Unix(1000, 0)
	ga.noteTick(sent.Add(100 * time.Millisecond))
	wake := sent.Add(4 * time.Second)
	require.Equal(t, sent, ga.answeredAt(sent, 5*time.Second, false, wake), "before the first tick after the stop")
	ga.noteTick(wake)
	require.Equal(t, sent, ga.answeredAt(sent, 5*time.Second, false, wake), "after it")
	require.Equal(t, sent.Add(time.Second), ga.answeredAt(sent, time.Second, true, wake), "an empty answer was given when the wait was over")
	require.Equal(t, wake.Add(60*time.Millisecond), ga.answeredAt(wake.Add(50*time.Millisecond), time.Second, false, wake.Add(60*time.Millisecond)))
}
