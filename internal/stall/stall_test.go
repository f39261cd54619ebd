package stall

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallWithProgressIsNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, gu := WithTimeout(t.Context(), time.Second)
		pr, pw := io.Pipe()
		go func() {
			for range 10 {
				time.Sleep(800 * time.Millisecond)
				_, _ = pw.Write([]byte("x"))
			}
			_ = pw.Close()
		}()
		data, err := io.ReadAll(gu.Reader(pr, 900*time.Millisecond))
		require.NoError(t, err)
		require.Len(t, data, 10)
		require.NoError(t, ctx.Err())
		time.Sleep(900 * time.Millisecond)
		synctest.Wait() // for the timer of the same moment
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		gu.Progress(time.Second)
		gu.Stop()
	})
}

func TestStoppedGuardDoesNotReportAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, gu := WithTimeout(t.Context(), time.Second)
		gu.Stop()
		gu.Progress(time.Second)
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
