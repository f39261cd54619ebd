package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A soft-deadline timer that fires just after the response head arrived must not cancel the response
// while it is being delivered.
func TestLateTimerDoesNotCancelAResponse(t *testing.T) {
	ga := &Gateway{Log: zerolog.Nop()}
	ga.prepare()
	ctx, cancel := context.WithCancel(t.Context())
	se := &attemptState{ex: &exchange{ga: ga}, began: time.Now(), cancel: cancel}
	require.True(t, se.headDecided.CompareAndSwap(false, true), "the response has arrived")
	se.onSoftDeadline()
	se.abandon(false)
	require.NoError(t, ctx.Err())

	late := &attemptState{ex: &exchange{ga: ga}, began: time.Now(), cancel: cancel}
	late.onSoftDeadline()
	require.Error(t, ctx.Err(), "an attempt without a response is cancelled")
	require.True(t, late.serverSilent.Load())
}
