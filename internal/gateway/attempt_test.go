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
	se := &sent{ex: &exchange{ga: ga}, began: time.Now(), cancel: cancel}
	require.True(t, se.settled.CompareAndSwap(false, true), "the head came")
	se.impatient()
	se.giveUp(false)
	require.NoError(t, ctx.Err())

	late := &sent{ex: &exchange{ga: ga}, began: time.Now(), cancel: cancel}
	late.impatient()
	require.Error(t, ctx.Err(), "one without a head is")
	require.True(t, late.silent.Load())
}
