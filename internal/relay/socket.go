package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Path is where watchers answer requests, LoadPath where they take reports of load.
const (
	Path     = "/changes"
	LoadPath = "/load"
)

const (
	// maxUpdate bounds a message: a configuration may be a megabyte.
	maxUpdate = 16 << 20
	// maxRequest bounds a request, a few bytes.
	maxRequest = 1 << 10
	// maxReport bounds a report of load: some ten bytes for each server.
	maxReport = 1 << 20
	// maxWait bounds how long a request is held, whatever it says.
	maxWait = 5 * time.Second
	// idleTimeout ends a connection on which nothing is asked any more.
	idleTimeout = 10 * time.Second
	// writeTimeout bounds the delivery of an answer.
	writeTimeout = 2 * time.Second
)

// Server answers requests on WebSockets. Its exported fields are set before use.
type Server struct{ Feed Feed }

// ServeHTTP serves one connection.
func (se *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serve(w, r, maxRequest, func(ctx context.Context, data []byte) (any, error) {
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

// LoadServer takes reports of load on WebSockets. Its exported fields are set
// before use.
type LoadServer struct{ Handler ReportHandler }

// ServeHTTP serves one connection.
func (ls *LoadServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serve(w, r, maxReport, func(_ context.Context, data []byte) (any, error) {
		var re Report
		if err := cbor.Unmarshal(data, &re); err != nil {
			return nil, eris.Wrap(err, "decode report")
		}
		return ls.Handler.Reported(re), nil
	})
}

// serve answers the messages of one connection, one after the other, until one
// can't be read, answered or delivered.
func serve(w http.ResponseWriter, r *http.Request, most int64, answer func(context.Context, []byte) (any, error)) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // the library has answered
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(most)
	for err == nil {
		err = serveOne(r.Context(), conn, answer)
	}
}

func serveOne(ctx context.Context, conn *websocket.Conn, answer func(context.Context, []byte) (any, error)) error {
	rctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, data, err := conn.Read(rctx)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	message, err := answer(ctx, data)
	if err != nil {
		return err
	}
	wctx, done := context.WithTimeout(ctx, writeTimeout)
	defer done()
	return write(wctx, conn, message)
}

// Client calls one watcher. Its exported fields are set before use; it is not safe
// for concurrent use.
type Client struct {
	// Address is the watcher's.
	Address string
	// Timeout is how long an answer may take beyond the wait.
	Timeout time.Duration
	// HTTP opens the connection.
	HTTP *http.Client

	conn *websocket.Conn
}

// Fetch asks for changes. After an error the next call opens a new connection.
func (cl *Client) Fetch(ctx context.Context, rq Request) (Update, error) {
	var up Update
	err := cl.call(ctx, Path, rq.Wait+cl.Timeout, rq, &up)
	return up, err
}

// Exchange reports load and returns the watcher's answer. After an error the next
// call opens a new connection. A client is used for either Ask or Exchange.
func (cl *Client) Exchange(ctx context.Context, re Report) (Report, error) {
	var answer Report
	err := cl.call(ctx, LoadPath, cl.Timeout, re, &answer)
	return answer, err
}

// call sends a message and reads the answer to it.
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
		return eris.Wrap(err, "dial watcher")
	}
	conn.SetReadLimit(maxUpdate)
	cl.conn = conn
	return nil
}

// Close ends the connection, if there is one.
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
