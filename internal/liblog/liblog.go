// Package liblog passes the messages that the standard library writes to its own logger, such as those of
// net/http about a misbehaving peer, on to the log of the process.
package liblog

import (
	"fmt"
	"log"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

const (
	// maxMessageBytes is the maximum length of a logged message in bytes. Messages may quote what a peer sent.
	maxMessageBytes = 128
	// maxPanicBytes is the maximum length of the message about a panic, which includes its stack.
	maxPanicBytes = 8 << 10
	// burst is the maximum number of messages of a kind that are logged per period. All are counted.
	burst  = 5
	period = 10 * time.Second
)

// kind is a kind of message. Its values appear in logs and metrics.
type kind string

const (
	unsolicited kind = "unsolicited_response"
	panicked    kind = "panic"
	accept      kind = "accept"
	other       kind = "other"
)

// prefixes holds how the messages of a kind begin.
var prefixes = map[kind]string{
	unsolicited: "Unsolicited response received on idle HTTP channel",
	panicked:    "http: panic serving",
	accept:      "http: Accept error",
}

func kindOf(message string) kind {
	for ki, prefix := range prefixes {
		if strings.HasPrefix(message, prefix) {
			return ki
		}
	}
	return other
}

// writer is the output of the standard logger.
type writer struct{ loggers map[kind]zerolog.Logger }

// Capture directs the standard logger, which is also that of each http.Server without one of its own, to a
// log. It returns a function that restores the previous output.
func Capture(lo zerolog.Logger) (restore func()) {
	wr := &writer{loggers: map[kind]zerolog.Logger{}}
	for _, ki := range []kind{unsolicited, panicked, accept, other} {
		wr.loggers[ki] = lo.Sample(&zerolog.BurstSampler{Burst: burst, Period: period})
	}
	flags, output := log.Flags(), log.Writer()
	log.SetFlags(0)
	log.SetOutput(wr)
	return func() {
		log.SetFlags(flags)
		log.SetOutput(output)
	}
}

// Write logs one message.
func (wr *writer) Write(line []byte) (int, error) {
	message := strings.TrimSuffix(string(line), "\n")
	ki := kindOf(message)
	metrics.GetOrCreateCounter(fmt.Sprintf(`linnetrudder_library_messages_total{kind=%q}`, ki)).Inc()
	limit := maxMessageBytes
	if ki == panicked {
		limit = maxPanicBytes
	}
	lo := wr.loggers[ki]
	lo.Warn().Int("event", int(event.LibraryMessage)).Str("kind", string(ki)).Int("bytes", len(message)).
		Str("detail", message[:min(limit, len(message))]).Msg(event.Name(event.LibraryMessage))
	return len(line), nil
}
