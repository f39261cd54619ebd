// Package logwriter buffers log lines, so that a slow reader of the log never delays the process.
package logwriter

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferLines is the capacity of the buffer in lines. If it is full, the oldest lines are dropped and
	// counted.
	bufferLines = 4096
	// flushTimeout is the maximum time for which Close waits for the reader of the log.
	flushTimeout = 200 * time.Millisecond
)

var droppedLines = metrics.NewCounter("linnetrudder_log_dropped_total")

// Writer writes log lines to another writer. Write never blocks. It is created with New.
type Writer struct{ out io.WriteCloser }

// New returns a writer to another one.
func New(to io.Writer) *Writer {
	return &Writer{out: diode.NewWriter(to, bufferLines, 0, func(missed int) { droppedLines.Add(missed) })}
}

// Write adds a line to the buffer.
func (wr *Writer) Write(line []byte) (int, error) { return wr.out.Write(line) } //nolint:wrapcheck // never fails

// Close writes the buffered lines. It returns after flushTimeout if the reader does not accept them.
func (wr *Writer) Close() {
	ctx, done := context.WithTimeout(context.Background(), flushTimeout)
	go func() {
		defer done()
		_ = wr.out.Close()
	}()
	<-ctx.Done()
}
