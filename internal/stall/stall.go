// Package stall cancels calls that make no progress. A timeout for a whole call would also end one whose
// response is large and still arriving, and a repetition would transfer all of it again.
package stall

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Guard cancels the context of a call that makes no progress.
type Guard struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// WithTimeout returns a context that is canceled unless there is progress within a timeout. Its cause is
// context.DeadlineExceeded then. Stop releases its resources.
func WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	gu := &Guard{cancel: cancel}
	gu.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, gu
}

// Progress records progress. The next one must follow within a timeout.
func (gu *Guard) Progress(timeout time.Duration) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if gu.timer.Stop() {
		gu.timer.Reset(timeout)
	}
}

// Stop ends the guard and cancels the context.
func (gu *Guard) Stop() {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.timer.Stop()
	gu.cancel(context.Canceled)
}

// Reader returns a reader of which each successful read is progress.
func (gu *Guard) Reader(re io.Reader, timeout time.Duration) io.Reader {
	return &reader{Reader: re, guard: gu, timeout: timeout}
}

// ErrTooLarge means that a body is larger than its limit. A repeated call would get as much.
var ErrTooLarge = eris.New("body is larger than its limit")

// ReadAll reads a body of at most limit bytes, of which each part is progress.
func (gu *Guard) ReadAll(body io.Reader, timeout time.Duration, limit int64) ([]byte, error) {
	data, err := io.ReadAll(gu.Reader(io.LimitReader(body, limit+1), timeout))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, eris.Wrap(err, "read body")
}

// reader records progress on a guard.
type reader struct {
	io.Reader
	guard   *Guard
	timeout time.Duration
}

// Read reads the next part.
func (re *reader) Read(buf []byte) (int, error) {
	n, err := re.Reader.Read(buf)
	if n > 0 {
		re.guard.Progress(re.timeout)
	}
	return n, err //nolint:wrapcheck // as returned by the reader
}
