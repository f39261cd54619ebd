package transport

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

var idleConnectionsDropped = metrics.NewCounter(`linnetrudder_idle_connections_dropped_total`)

// idleDropper is a round tripper that closes its idle connections when a call is not answered before
// its deadline. Whatever made the call's connection silent may have made the idle ones silent as well,
// and each of them would cost a further call its deadline.
type idleDropper struct{ *Transport }

// RoundTrip sends a request and returns the head of its response.
func (id *idleDropper) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := id.Transport.RoundTrip(req)
	if err != nil {
		id.handleError(req.Context())
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body = &watchedBody{ReadCloser: resp.Body, ctx: req.Context(), dropper: id}
	}
	return resp, nil
}

func (id *idleDropper) handleError(ctx context.Context) {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		idleConnectionsDropped.Inc()
		id.CloseIdleConnections()
	}
}

// watchedBody is a response body whose read errors are reported to an idleDropper.
type watchedBody struct {
	io.ReadCloser
	ctx     context.Context
	dropper *idleDropper
}

// Read reads the next part of the body.
func (wb *watchedBody) Read(buf []byte) (int, error) {
	n, err := wb.ReadCloser.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		wb.dropper.handleError(wb.ctx)
	}
	return n, err //nolint:wrapcheck // as returned by the body
}
