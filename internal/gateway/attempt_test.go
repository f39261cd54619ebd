package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A timer that fires just after the head came must not cut the answer that is
// being delivered.
func TestAnAnswerThatCameIsNotGivenUp(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	ctx, cancel := context.WithCancel(t.Context())
	se := &attemptState{ex: &exchange{ga: ga}, began: time.Now(), cancel: cancel}
	require.True(t, se.headDecided.CompareAndSwap(false, true), "the head came")
	se.onHeadTimeout()
	se.abandon(false)
	require.NoError(t, ctx.Err())

	late := &attemptState{ex: &exchange{ga: ga}, began: time.Now(), cancel: cancel}
	late.onHeadTimeout()
	require.Error(t, ctx.Err(), "one without a head is")
	require.True(t, late.serverSilent.Load())
}
