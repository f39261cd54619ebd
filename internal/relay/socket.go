package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Path is the HTTP path of requests for changes, LoadPath that of load reports.
const (
	Path     = "/changes"
	LoadPath = "/load"
)

const (
	// maxResponseBytes bounds a response: a configuration may be a megabyte.
	maxResponseBytes = 16 << 20
	// maxRequestBytes bounds a request, which is a few bytes long.
	maxRequestBytes = 1 << 10
	// maxReportBytes bounds a load report: some ten bytes for each server.
	maxReportBytes = 1 << 20
	// maxWait bounds how long a response is delayed, whatever the request asks for.
	maxWait = 5 * time.Second
	// idleTimeout closes a connection on which no message arrives.
	idleTimeout = 10 * time.Second
	// writeTimeout bounds the writing of a response.
	writeTimeout = 2 * time.Second
)

// Server answers requests for changes on WebSockets. Its exported fields are set before use.
type Server struct{ Feed Feed }

// ServeHTTP serves one connection.
func (se *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serve(w, r, maxRequestBytes, func(ctx context.Context, data []byte) (any, error) {
		var rq Request
		if err := cbor.Unmarshal(data, &rq); err != nil {
			return nil, eris.Wrap(err, "decode request")
		}
		rq.Wait = min(max(0, rq.Wait), maxWait)
		ctx, cancel := context.WithTimeout(ctx, rq.Wait+writeTimeout)
		defer cancel()
		return se.Feed.Updates(ctx, rq), nil
	})
}

// LoadServer replies to load reports on WebSockets. Its exported fields are set before use.
type LoadServer struct{ Handler ReportHandler }

// ServeHTTP serves one connection.
func (ls *LoadServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serve(w, r, maxReportBytes, func(_ context.Context, data []byte) (any, error) {
		var re Report
		if err := cbor.Unmarshal(data, &re); err != nil {
			return nil, eris.Wrap(err, "decode report")
		}
		return ls.Handler.Reported(re), nil
	})
}

// serve answers the messages of one connection one after the other, until one can't be read,
// answered or written.
func serve(w http.ResponseWriter, r *http.Request, maxBytes int64, handle func(context.Context, []byte) (any, error)) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has already answered
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxBytes)
	for err == nil {
		err = serveOne(r.Context(), conn, handle)
	}
}

func serveOne(ctx context.Context, conn *websocket.Conn, handle func(context.Context, []byte) (any, error)) error {
	rctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, data, err := conn.Read(rctx)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	message, err := handle(ctx, data)
	if err != nil {
		return err
	}
	wctx, done := context.WithTimeout(ctx, writeTimeout)
	defer done()
	return write(wctx, conn, message)
}

// Client calls one gateway. Its exported fields are set before use; it is not safe for concurrent
// use.
type Client struct {
	// Address is the gateway's address.
	Address string
	// Timeout bounds a call, in addition to the wait of a request.
	Timeout time.Duration
	// HTTP opens the connection.
	HTTP *http.Client

	conn *websocket.Conn
}

// Fetch requests changes. After an error the next call opens a new connection.
func (cl *Client) Fetch(ctx context.Context, rq Request) (Update, error) {
	var up Update
	err := cl.call(ctx, Path, rq.Wait+cl.Timeout, rq, &up)
	return up, err
}

// Exchange sends a load report and returns the reply. After an error the next call opens a new
// connection. A client is used for either Fetch or Exchange.
func (cl *Client) Exchange(ctx context.Context, re Report) (Report, error) {
	var reply Report
	err := cl.call(ctx, LoadPath, cl.Timeout, re, &reply)
	return reply, err
}

// call sends a message and reads the response to it.
func (cl *Client) call(ctx context.Context, path string, timeout time.Duration, message, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := cl.dial(ctx, path)
	if err == nil {
		err = write(ctx, cl.conn, message)
	}
	if err == nil {
		err = read(ctx, cl.conn, into)
	}
	if err != nil {
		cl.Close()
	}
	return err
}

func (cl *Client) dial(ctx context.Context, path string) error {
	if cl.conn != nil {
		return nil
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+cl.Address+path, &websocket.DialOptions{HTTPClient: cl.HTTP})
	if err != nil {
		return eris.Wrap(err, "dial gateway")
	}
	conn.SetReadLimit(maxResponseBytes)
	cl.conn = conn
	return nil
}

// Connected reports whether the connection is open.
func (cl *Client) Connected() bool { return cl.conn != nil }

// Close closes the connection, if there is one.
func (cl *Client) Close() {
	if cl.conn != nil {
		_ = cl.conn.CloseNow()
		cl.conn = nil
	}
}

func write(ctx context.Context, conn *websocket.Conn, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	return eris.Wrap(conn.Write(ctx, websocket.MessageBinary, data), "write")
}

func read(ctx context.Context, conn *websocket.Conn, into any) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(cbor.Unmarshal(data, into), "decode")
}
