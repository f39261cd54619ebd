package logwriter

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// blockedWriter is a log whose reader has stopped: writes block until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (bw blockedWriter) Write(data []byte) (int, error) {
	<-bw.unblock
	return len(data), nil
}

func TestBlockedLogReaderDoesNotDelayLogging(t *testing.T) {
	bw := blockedWriter{unblock: make(chan struct{})}
	out := New(bw)
	log := zerolog.New(out)
	before := droppedLines.Get()
	start := time.Now()
	for i := range 3 * bufferLines {
		log.Info().Int("line", i).Msg("decision")
	}
	require.Less(t, time.Since(start), time.Second)
	start = time.Now()
	out.Close()
	require.Less(t, time.Since(start), time.Second, "the exit of the process is not delayed either")
	close(bw.unblock)
	require.Eventually(t, func() bool { return droppedLines.Get() > before }, 5*time.Second, 10*time.Millisecond, "dropped lines are counted")
}

func BenchmarkLogLine(b *testing.B) {
	out := New(discardWriter{})
	log := zerolog.New(out).With().Timestamp().Str("box", "b").Logger()
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Int("event", 204).Str("request", "9c41d07be2a35f68").Str("route", "r").Str("team", "t").
			Int("code", 100).Dur("ms", time.Millisecond).Int("sends", 1).Str("server", "i-1").Msg("request_answered")
	}
}

type discardWriter struct{}

func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
