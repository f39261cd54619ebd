package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/codec"
	"github.com/linnetrudder/linnetrudder/internal/stall"
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
	// writeTimeout bounds the time in which a part of a message is written.
	writeTimeout = 2 * time.Second
	// partBytes is the size of the parts in which a message is written.
	partBytes = 32 << 10
)

// Server answers requests for changes on WebSockets. Its exported fields are set before use.
type Server struct{ Feed Feed }

// ServeHTTP serves one connection.
func (se *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serve(w, r, maxRequestBytes, func(ctx context.Context, data []byte) (any, error) {
		var rq Request
		if err := codec.Unmarshal(data, &rq); err != nil {
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
		if err := codec.Unmarshal(data, &re); err != nil {
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
	ctx, gu := stall.WithTimeout(ctx, writeTimeout)
	defer gu.Stop()
	return write(ctx, conn, message, gu, writeTimeout)
}

// Client calls one gateway. Its exported fields are set before use; it is not safe for concurrent
// use.
type Client struct {
	// Address is the gateway's address.
	Address string
	// Timeout is how long a call may make no progress, in addition to the wait of a request. It does not
	// bound the transfer of a large response.
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
	ctx, gu := stall.WithTimeout(ctx, timeout)
	defer gu.Stop()
	err := cl.dial(ctx, path)
	if err == nil {
		err = write(ctx, cl.conn, message, gu, cl.Timeout)
	}
	if err == nil {
		err = read(ctx, cl.conn, into, gu, cl.Timeout)
	}
	if err != nil {
		cl.Close()
		err = eris.Wrap(err, callError(ctx))
	}
	return err
}

// callError describes why a call failed.
func callError(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return "no progress before the timeout"
	}
	return "call gateway"
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

// write writes a message. A long one is written in parts, each of which must be written within a timeout.
func write(ctx context.Context, conn *websocket.Conn, message any, gu *stall.Guard, timeout time.Duration) error {
	data, err := codec.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	if len(data) <= partBytes {
		return eris.Wrap(conn.Write(ctx, websocket.MessageBinary, data), "write")
	}
	wr, err := conn.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return eris.Wrap(err, "write")
	}
	for part := range slices.Chunk(data, partBytes) {
		if _, err := wr.Write(part); err != nil {
			return eris.Wrap(err, "write")
		}
		gu.Progress(timeout)
	}
	return eris.Wrap(wr.Close(), "write")
}

// read reads a message. Each part must arrive within a timeout after the previous one.
func read(ctx context.Context, conn *websocket.Conn, into any, gu *stall.Guard, timeout time.Duration) error {
	_, re, err := conn.Reader(ctx)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	data, err := io.ReadAll(gu.Reader(re, timeout))
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(codec.Unmarshal(data, into), "decode")
}
