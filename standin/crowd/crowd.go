// Package crowd simulates clients that don't keep to a server's limits: bodies that never end, connections that
// send nothing, responses that are never read.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// reconnectPause is the pause before a client whose connection was closed opens the next one.
const reconnectPause = 100 * time.Millisecond

// Target is what a crowd connects to. Its fields are set before use.
type Target struct {
	Address string
	// Head is the request line and the headers of a request that has a body, without the length of the body and
	// without the empty line.
	Head string
	// BodyBytes is the maximum size of a body.
	BodyBytes int
	// HeadBytes is the size of a long head, MaxHeadBytes the maximum size of a head.
	HeadBytes, MaxHeadBytes int
	// JSON is set if bodies must be chat requests.
	JSON bool
}

// Kind is a kind of client.
type Kind string

// The kinds of clients. A body that stops short lacks its last byte.
const (
	// LargeChunksShort sends a body in chunks of 64 KiB and stops short, OneChunkShort does so in one chunk,
	// ByteChunksShort in chunks of one byte, and LengthShort sends it with a length.
	LargeChunksShort Kind = "large-chunks-short"
	OneChunkShort    Kind = "one-chunk-short"
	ByteChunksShort  Kind = "byte-chunks-short"
	LengthShort      Kind = "length-short"
	// DeadlineShort is LargeChunksShort with a deadline of half a second.
	DeadlineShort Kind = "deadline-short"
	// SmallShort sends a body of smallBytes and stops short.
	SmallShort Kind = "small-short"
	// WholeBodies sends complete bodies of the maximum size one after the other.
	WholeBodies Kind = "whole-bodies"
	// EndlessChunks sends chunks without end.
	EndlessChunks Kind = "endless-chunks"
	// Announced announces a length and sends nothing more, Silent sends nothing at all.
	Announced Kind = "announced"
	Silent    Kind = "silent"
	// LongHeads sends a long head without its end. ManyHeaders sends a head of the maximum size with many short
	// headers and announces a body, of which it sends nothing.
	LongHeads   Kind = "long-heads"
	ManyHeaders Kind = "many-headers"
	// TooLarge announces a body far over the limit and sends it.
	TooLarge Kind = "too-large"
	// EndlessExtension sends a chunk extension without end, EndlessTrailer a trailer without end.
	EndlessExtension Kind = "endless-extension"
	EndlessTrailer   Kind = "endless-trailer"
	// NeverRead sends one request and reads nothing. Pipelined sends requests one behind the other and reads
	// nothing.
	NeverRead Kind = "never-read"
	Pipelined Kind = "pipelined"
	// BytesBehind sends bytes without end behind a complete request.
	BytesBehind Kind = "bytes-behind"
	// ManyFields sends complete JSON bodies of the maximum size with many small fields, ManyMessages with many
	// small messages, and DeepField with a field that is nested deeply.
	ManyFields   Kind = "many-fields"
	ManyMessages Kind = "many-messages"
	DeepField    Kind = "deep-field"
)

const (
	chunkBytes = 64 << 10
	smallBytes = 12_000
	// longDeadline is the deadline of requests that name one, in milliseconds.
	longDeadline = 60_000
)

// Crowd is a number of clients of one kind. Its exported fields are set before Run.
type Crowd struct {
	Kind   Kind
	Size   int
	Target Target

	// body is a body of the maximum size, chunks the same in chunks without its last byte. headers is a head with many
	// headers.
	body, chunks, headers string
	// settled counts the clients that have not yet sent what they send before they wait.
	settled sync.WaitGroup

	mu sync.Mutex
	// ended is the number of connections that the server has ended.
	ended int
}

// Run runs the clients until the context ends. It calls settled once each of them has sent all that its kind sends
// before it waits, or was refused.
func (cr *Crowd) Run(ctx context.Context, settled func()) {
	cr.body = cr.Target.Body()
	switch cr.Kind {
	case LargeChunksShort, DeadlineShort:
		cr.chunks = InChunks(cr.body[:len(cr.body)-1], chunkBytes)
	case ByteChunksShort:
		cr.chunks = InChunks(cr.body[:len(cr.body)-1], 1)
	case ManyHeaders:
		cr.headers = cr.Target.ManyHeaders()
	}
	cr.settled.Add(cr.Size)
	go func() {
		cr.settled.Wait()
		settled()
	}()
	var wg sync.WaitGroup
	for range cr.Size {
		wg.Go(func() { cr.runClient(ctx) })
	}
	wg.Wait()
}

// Ended returns how many connections the server has ended.
func (cr *Crowd) Ended() int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.ended
}

func (cr *Crowd) runClient(ctx context.Context) {
	first := sync.OnceFunc(cr.settled.Done)
	defer first()
	for ctx.Err() == nil {
		cr.runConnection(ctx, first)
		first()
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// runConnection opens a connection, sends what the kind sends and waits for the server to end it.
func (cr *Crowd) runConnection(ctx context.Context, sent func()) {
	conn, err := (&net.Dialer{Timeout: 3 * time.Second}).DialContext(ctx, "tcp", cr.Target.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	cr.send(conn, sent)
	sent()
	if cr.Kind == NeverRead || cr.Kind == Pipelined {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
	if ctx.Err() == nil {
		cr.mu.Lock()
		cr.ended++
		cr.mu.Unlock()
	}
}

// send sends what the kind sends. It calls sent before it sends anything that has no end.
func (cr *Crowd) send(conn net.Conn, sent func()) {
	ta := cr.Target
	short := ta.BodyBytes - 1
	switch cr.Kind {
	case LargeChunksShort, ByteChunksShort:
		sendAll(conn, ta.head(longDeadline)+chunked, cr.chunks)
	case DeadlineShort:
		sendAll(conn, ta.head(500)+chunked, cr.chunks)
	case OneChunkShort:
		sendAll(conn, ta.head(longDeadline)+chunked, fmt.Sprintf("%x\r\n", ta.BodyBytes), cr.body[:short])
	case LengthShort:
		sendAll(conn, ta.head(longDeadline)+length(ta.BodyBytes), cr.body[:short])
	case SmallShort:
		sendAll(conn, ta.head(longDeadline)+length(smallBytes), cr.body[:smallBytes-1])
	case WholeBodies:
		sendAll(conn, ta.head(longDeadline)+length(ta.BodyBytes), cr.body)
	case EndlessChunks:
		sendAll(conn, ta.head(longDeadline)+chunked)
		sendEndlessly(conn, sent, chunk(cr.body[:chunkBytes]))
	case Announced:
		sendAll(conn, ta.head(longDeadline)+length(ta.BodyBytes))
	case LongHeads:
		sendAll(conn, ta.Head, "X-Long: ", strings.Repeat("x", ta.HeadBytes-len(ta.Head)))
	case ManyHeaders:
		sendAll(conn, cr.headers)
	case TooLarge:
		sendAll(conn, ta.head(longDeadline)+length(100*ta.BodyBytes))
		sendEndlessly(conn, sent, strings.Repeat("x", chunkBytes))
	default:
		cr.sendOther(conn, sent)
	}
}

// sendOther sends what the remaining kinds send.
func (cr *Crowd) sendOther(conn net.Conn, sent func()) {
	ta := cr.Target
	request := ta.head(longDeadline) + length(len(smallBody)) + smallBody
	switch cr.Kind {
	case EndlessExtension:
		sendAll(conn, ta.head(longDeadline)+chunked, "1;")
		sendEndlessly(conn, sent, strings.Repeat("x", chunkBytes))
	case EndlessTrailer:
		sendAll(conn, ta.head(longDeadline)+chunked, chunk("{}"), "0\r\n")
		sendEndlessly(conn, sent, strings.Repeat("Trailer: "+strings.Repeat("x", 100)+"\r\n", 500))
	case NeverRead:
		sendAll(conn, request)
	case Pipelined:
		sendEndlessly(conn, sent, strings.Repeat(request, 100))
	case BytesBehind:
		sendAll(conn, request)
		sendEndlessly(conn, sent, strings.Repeat("x", chunkBytes))
	case ManyFields:
		sendWhole(conn, ta, fields(ta.BodyBytes))
	case ManyMessages:
		sendWhole(conn, ta, messages(ta.BodyBytes))
	case DeepField:
		sendWhole(conn, ta, fmt.Sprintf(`{"model":"m","messages":[{}],"deep":%s1%s}`, strings.Repeat("[", 9000), strings.Repeat("]", 9000)))
	}
}

const (
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
	smallBody = "{}"
)

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// head returns the head of a request with a deadline, without its length.
func (ta Target) head(deadlineMS int) string {
	return fmt.Sprintf("%sX-Deadline-Ms: %d\r\n", ta.Head, deadlineMS)
}

// ManyHeaders returns a head of almost the maximum size with many short headers that announces a body.
func (ta Target) ManyHeaders() string {
	var sb strings.Builder
	sb.WriteString(ta.head(longDeadline))
	end := length(ta.BodyBytes)
	const longest = len("X-ffff:\r\n")
	for i := 0; sb.Len() < ta.MaxHeadBytes-len(end)-longest; i++ {
		fmt.Fprintf(&sb, "X-%x:\r\n", i)
	}
	return sb.String() + end
}

// SmallBody returns a body of a thousand bytes.
func (ta Target) SmallBody() string {
	ta.BodyBytes = 1000
	return ta.Body()
}

// Body returns a body of the maximum size.
func (ta Target) Body() string {
	if !ta.JSON {
		return strings.Repeat("b", ta.BodyBytes)
	}
	const start, end = `{"model":"m","messages":[{"role":"user","content":"`, `"}]}`
	return start + strings.Repeat("b", ta.BodyBytes-len(start)-len(end)) + end
}

// fields returns a chat request of almost a size with many small fields.
func fields(size int) string {
	var sb strings.Builder
	sb.WriteString(`{"model":"m","messages":[{"role":"user","content":"hello"}]`)
	for i := 0; sb.Len() < size-20; i++ {
		fmt.Fprintf(&sb, `,"%d":%d`, i, i%10)
	}
	return sb.String() + "}"
}

// messages returns a chat request of almost a size with many small messages.
func messages(size int) string {
	const start, end = `{"model":"m","messages":[{}`, `]}`
	return start + strings.Repeat(",{}", (size-len(start)-len(end))/len(",{}")) + end
}

// sendAll sends texts. Errors end the sending: the server may have closed the connection.
func sendAll(conn net.Conn, texts ...string) {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func sendWhole(conn net.Conn, ta Target, body string) {
	sendAll(conn, ta.head(longDeadline)+length(len(body)), body)
}

// InChunks returns a body in chunks of a size, without the last chunk.
func InChunks(body string, size int) string {
	var sb strings.Builder
	for rest := body; rest != ""; {
		n := min(size, len(rest))
		sb.WriteString(chunk(rest[:n]))
		rest = rest[n:]
	}
	return sb.String()
}

func sendEndlessly(conn net.Conn, sent func(), text string) {
	sent()
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
