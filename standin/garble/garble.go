// Package garble is a backend server that answers with responses changed at random. Each is drawn from a seed: most
// are well-formed, the others are cut, repeated at once or late, swapped, split, glued, misframed, or carry another
// request's id, no signature or events out of order. It records what ran, so that a test can compare that with what
// callers were told.
package garble

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Change is a change of a response. Its values appear in reports.
type Change string

// The changes. None leaves a response as it is.
const (
	None Change = "none"
	// Cut ends the connection within the response, CutReset resets it.
	Cut      Change = "cut"
	CutReset Change = "cut-reset"
	// Repeat sends the response twice, RepeatLate sends the second copy in the place of the next response.
	Repeat     Change = "repeat"
	RepeatLate Change = "repeat-late"
	// Swap sends the response to the request before on the connection.
	Swap Change = "swap"
	// Split sends the response byte by byte, Interim after informational responses.
	Split   Change = "split"
	Interim Change = "interim"
	// Glue adds bytes after the response, Longer names a length beyond the end of the body.
	Glue   Change = "glue"
	Longer Change = "longer"
	// WrongID names another request, NoID none. Unsigned omits the signature.
	WrongID  Change = "wrong-id"
	NoID     Change = "no-id"
	Unsigned Change = "unsigned"
	// Flip changes a byte of the head, but not of the length.
	Flip Change = "flip"
	// Disorder repeats, omits and misnames events of a stream.
	Disorder Change = "disorder"
	// Silence sends nothing and closes the connection.
	Silence Change = "silence"
	// BadStatus has a status that HTTP does not define, BlankName a field with a blank in its name. Both have a
	// MalformedField.
	BadStatus Change = "bad-status"
	BlankName Change = "blank-name"
)

// MalformedField is a field of malformed responses, which must not reach a caller.
const MalformedField = "X-Malformed"

// changes are drawn with equal probability from those that are not None.
var changes = []Change{Cut, CutReset, Repeat, RepeatLate, Swap, Split, Interim, Glue, Longer, WrongID, NoID, Unsigned, Flip, Disorder, Silence, BadStatus, BlankName}

const (
	// changedFraction is the fraction of responses that are changed, rejectedFraction that of requests that are
	// rejected without being run.
	changedFraction  = 0.4
	rejectedFraction = 0.3
	// Events is the number of events of a stream.
	Events = 6
	// silentTime is how long Silence waits before it closes the connection.
	silentTime = 20 * time.Millisecond
)

// Server is a backend server. It is created with New.
type Server struct {
	id       string
	listener net.Listener

	mu   sync.Mutex
	rand *rand.Rand
	runs map[string][]Change
}

// New starts a server on loopback.
func New(id string, seed uint64) (*Server, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	se := &Server{id: id, listener: li, rand: rand.New(rand.NewPCG(seed, uint64(len(id)))), runs: map[string][]Change{}}
	go se.serve()
	return se, nil
}

// Address returns the address that the server listens on.
func (se *Server) Address() string { return se.listener.Addr().String() }

// Close stops the server.
func (se *Server) Close() { _ = se.listener.Close() }

// Runs returns how the responses to the runs of a request were changed.
func (se *Server) Runs(request string) []Change {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.runs[request]
}

// PlainBody returns the body of a plain response to a request.
func PlainBody(request string) string { return "answer to " + request + "\n" }

// Event returns an event of a stream.
func Event(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, request, n)
}

func (se *Server) serve() {
	for {
		conn, err := se.listener.Accept()
		if err != nil {
			return
		}
		go se.serveConn(conn)
	}
}

// connState is what a connection still owes.
type connState struct {
	conn net.Conn
	// before is the response to the request before, late a copy to be sent in the place of the next one.
	before, late string
}

func (se *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	cs := &connState{conn: conn}
	for from := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !se.respond(cs, r) {
			return
		}
	}
}

// plan is what a server does with a request.
type plan struct {
	change Change
	reject bool
	// draw decides the details of a change, from 0 to 1.
	draw float64
}

// decide draws a plan and records the run of a request that is not rejected.
func (se *Server) decide(r *http.Request) plan {
	se.mu.Lock()
	defer se.mu.Unlock()
	pl := plan{change: None, reject: se.rand.Float64() < rejectedFraction, draw: se.rand.Float64()}
	if se.rand.Float64() < changedFraction {
		pl.change = changes[se.rand.IntN(len(changes))]
	}
	if r.Header.Get("X-Target-Instance") != se.id {
		pl.reject = true
	}
	if !pl.reject {
		id := r.Header.Get("X-Request-Id")
		se.runs[id] = append(se.runs[id], pl.change)
	}
	return pl
}

// respond answers one request and reports whether the connection remains open.
func (se *Server) respond(cs *connState, r *http.Request) bool {
	pl := se.decide(r)
	response := se.response(r, pl)
	if cs.late != "" {
		_, _ = io.WriteString(cs.conn, cs.late)
		cs.late = ""
	}
	open := true
	switch pl.change {
	case Silence:
		time.Sleep(silentTime)
		return false
	case Cut, CutReset:
		response = response[:int(pl.draw*float64(len(response)))]
		open = false
	case Repeat:
		response += response
	case RepeatLate:
		cs.late = response
	case Swap:
		if cs.before != "" {
			response, cs.before = cs.before, response
		}
	case Interim:
		response = strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n", 1+int(3*pl.draw)) + response
	case BadStatus, BlankName:
		response = Malform(pl.change, response, pl.draw)
	case Glue:
		response += "HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"[int(pl.draw*10):]
	default:
	}
	cs.before = response
	if !cs.write(response, pl.change == Split) {
		return false
	}
	if pl.change == CutReset {
		if tc, ok := cs.conn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	return open && pl.change != Longer
}

// statusLine is how a response begins that Malform changes.
const statusLine = "HTTP/1.1 "

// Malform returns a response that is malformed as a change says. draw decides how, from 0 to 1. What does not begin with
// a head remains as it is.
func Malform(ch Change, response string, draw float64) string {
	line, rest, ok := strings.Cut(response, "\r\n")
	if !ok || len(line) < len(statusLine)+3 || !strings.HasPrefix(line, statusLine) {
		return response
	}
	fields := MalformedField + ": 1\r\n"
	if ch == BadStatus {
		statuses := []string{"000", "001", "020", "099", "+20", "600", "999"}
		line = statusLine + statuses[int(draw*float64(len(statuses)))] + line[len(statusLine)+3:]
	} else {
		fields += []string{"X Odd: 1\r\n", "X-Odd : 1\r\n", "Content-Length : 1\r\n", "X-Not-Executed : 1\r\n"}[int(4*draw)]
	}
	return line + "\r\n" + fields + rest
}

// write sends a response, byte by byte if split is set.
func (cs *connState) write(response string, split bool) bool {
	if !split {
		_, err := io.WriteString(cs.conn, response)
		return err == nil
	}
	for i := range len(response) {
		if _, err := cs.conn.Write([]byte{response[i]}); err != nil {
			return false
		}
	}
	return true
}

// response returns the response to a request, with the changes of its content.
func (se *Server) response(r *http.Request, pl plan) string {
	id := r.Header.Get("X-Request-Id")
	head := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Signature: signed by %s\r\n", id, se.id)
	switch pl.change {
	case WrongID:
		head = strings.Replace(head, id, "other-"+id, 1)
	case NoID:
		head = head[strings.Index(head, "\n")+1:]
	case Unsigned:
		head = head[:strings.Index(head, "\n")+1]
	default:
	}
	status, body := "200 OK", PlainBody(id)
	switch {
	case r.Header.Get("X-Target-Instance") != se.id:
		status, body = "421 Misdirected Request", ""
	case pl.reject:
		status, body = "503 Service Unavailable", ""
		head += "X-Not-Executed: full\r\n"
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		head += "Content-Type: text/event-stream\r\n"
		body = stream(id, r.Header.Get("Last-Event-Id"), pl)
	}
	length := len(body)
	if pl.change == Longer {
		length += 1 + int(20*pl.draw)
	}
	head = fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n", status, head, length)
	if pl.change == Flip {
		// A server that names another length has stated where its response ends.
		at := int(pl.draw * float64(strings.Index(head, "Content-Length")))
		head = head[:at] + string(head[at]^1) + head[at+1:]
	}
	return head + body
}

// stream returns the events after the last one that a request names.
func stream(id, last string, pl plan) string {
	after, _ := strconv.Atoi(last)
	var sb strings.Builder
	for n := after + 1; n <= Events; n++ {
		ev := Event(id, n)
		if pl.change == Disorder && n == after+1+int(pl.draw*Events) {
			ev += []string{ev, Event(id, max(1, n-2)), "id: abc\ndata: stray\n\n", "data: without a position\n\n", "id: 99999999999999999999\n\n"}[n%5]
		}
		sb.WriteString(ev)
	}
	return sb.String()
}
