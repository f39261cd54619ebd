package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Path is where watchers answer requests.
const Path = "/changes"

const (
	// maxUpdate bounds a message: a configuration may be a megabyte.
	maxUpdate = 16 << 20
	// maxRequest bounds a request, a few bytes.
	maxRequest = 1 << 10
	// maxWait bounds how long a request is held, whatever it says.
	maxWait = 5 * time.Second
	// idleTimeout ends a connection on which nothing is asked any more.
	idleTimeout = 10 * time.Second
	// writeTimeout bounds the delivery of an update.
	writeTimeout = 2 * time.Second
)

// Server answers requests on WebSockets. Its exported fields are set before use.
type Server struct{ Feed Feed }

// ServeHTTP serves one connection.
func (se *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // the library has answered
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxRequest)
	for err == nil {
		err = se.answer(r.Context(), conn)
	}
}

// answer takes one request and answers it.
func (se *Server) answer(ctx context.Context, conn *websocket.Conn) error {
	rctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	var rq Request
	if err := read(rctx, conn, &rq); err != nil {
		return err
	}
	rq.Wait = min(max(0, rq.Wait), maxWait)
	wctx, done := context.WithTimeout(ctx, rq.Wait+writeTimeout)
	defer done()
	return write(wctx, conn, se.Feed.Updates(wctx, rq))
}

// Client asks one watcher. Its exported fields are set before use; it is not safe
// for concurrent use.
type Client struct {
	// Address is the watcher's.
	Address string
	// Slack is how long an answer may take beyond the wait.
	Slack time.Duration
	// HTTP opens the connection.
	HTTP *http.Client

	conn *websocket.Conn
}

// Ask asks for changes. After an error the next call opens a new connection.
func (cl *Client) Ask(ctx context.Context, rq Request) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, rq.Wait+cl.Slack)
	defer cancel()
	up, err := cl.ask(ctx, rq)
	if err != nil {
		cl.Close()
	}
	return up, err
}

func (cl *Client) ask(ctx context.Context, rq Request) (Update, error) {
	var up Update
	if cl.conn == nil {
		conn, _, err := websocket.Dial(ctx, "ws://"+cl.Address+Path, &websocket.DialOptions{HTTPClient: cl.HTTP})
		if err != nil {
			return up, eris.Wrap(err, "dial watcher")
		}
		conn.SetReadLimit(maxUpdate)
		cl.conn = conn
	}
	if err := write(ctx, cl.conn, rq); err != nil {
		return up, err
	}
	return up, read(ctx, cl.conn, &up)
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
