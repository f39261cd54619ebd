package transport

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/VictoriaMetrics/metrics"

	"github.com/linnetrudder/linnetrudder/internal/response"
)

// Transport is an HTTP transport that returns valid responses only. A connection with any other is closed, and the
// error is a *response.MalformedError. It is created with New.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns the head of its response.
func (tr *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return tr.roundTrip(req, func(httptrace.GotConnInfo) {})
}

// roundTrip is RoundTrip with a function that is called once there is a connection.
func (tr *Transport) roundTrip(req *http.Request, gotConn func(httptrace.GotConnInfo)) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn
		gotConn(info)
	}})
	resp, err := tr.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err //nolint:wrapcheck // as returned by the transport
	}
	if err := response.Check(resp); err != nil {
		// Without a body, the connection is idle again already.
		_ = conn.Close()
		_ = resp.Body.Close()
		countMalformed(err)
		return nil, err
	}
	return resp, nil
}

func countMalformed(err error) {
	var me *response.MalformedError
	if errors.As(err, &me) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`linnetrudder_malformed_responses_total{defect=%q}`, me.Defect())).Inc()
	}
}
