package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"

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
	if slices.Contains(resp.TransferEncoding, "chunked") && resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body = &trailedBody{ReadCloser: resp.Body, response: resp, conn: conn}
	}
	return resp, nil
}

// trailedBody is a body that a trailer may follow, which is checked at the end.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
	conn     net.Conn
	// err is the defect of the trailer, nil before the end.
	err error
}

// Read reads the next part of the body. It returns io.EOF only behind a valid trailer.
func (tb *trailedBody) Read(buf []byte) (int, error) {
	if tb.err != nil {
		return 0, tb.err
	}
	n, err := tb.ReadCloser.Read(buf)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // as returned by the body
	}
	if tb.err = response.CheckTrailer(tb.response.Trailer); tb.err != nil {
		_ = tb.conn.Close()
		countMalformed(tb.err)
		return n, tb.err
	}
	return n, err //nolint:wrapcheck // as returned by the body
}

func countMalformed(err error) {
	var me *response.MalformedError
	if errors.As(err, &me) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`linnetrudder_malformed_responses_total{defect=%q}`, me.Defect())).Inc()
	}
}
