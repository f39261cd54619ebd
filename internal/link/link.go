// Package link keeps one WebSocket connection between an entry and an agent:
// it proves the peer, sends frames in batches and notices a silent peer.
package link

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Handler takes what arrives on a link.
type Handler interface {
	// Frame is called for each frame in order.
	Frame(li *Link, fr *wire.Frame)
	// Beat returns the heartbeat to send now.
	Beat(li *Link) *wire.Frame
}

// Peer is the process at the other end.
type Peer struct {
	box, dataCentre string
}

// Box returns the peer's box.
func (pe Peer) Box() string { return pe.box }

// DataCentre returns the peer's data centre.
func (pe Peer) DataCentre() string { return pe.dataCentre }

const (
	// queueFrames bounds the frames that wait to be sent.
	queueFrames = 1024
	// batchBytes is the size at which a batch is sent.
	batchBytes = 64 << 10
	// missedBeats is how many heartbeats may be missed.
	missedBeats = 3
)

var (
	errSilent = eris.New("peer is silent")
	errSlow   = eris.New("peer reads too slowly")
)

// Link is one open connection. Its exported fields are set before Run.
type Link struct {
	// Conn is the open connection.
	Conn *websocket.Conn
	// Peer is who was proved to be at the other end.
	Peer Peer
	// Handler takes the frames.
	Handler Handler
	// Heartbeat is the time between two heartbeats.
	Heartbeat time.Duration

	once  sync.Once
	queue chan *wire.Frame
	// done is closed when the link has ended.
	done chan struct{}
	// slow gets the word that the queue ran over.
	slow chan struct{}
	// heard is when the last message came, in nanoseconds since 1970.
	heard atomic.Int64
}

func (li *Link) init() {
	li.once.Do(func() {
		li.queue = make(chan *wire.Frame, queueFrames)
		li.done = make(chan struct{})
		li.slow = make(chan struct{}, 1)
	})
}

// Run serves the link until it breaks or the context ends, and returns why.
func (li *Link) Run(ctx context.Context) error {
	li.init()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	li.Conn.SetReadLimit(wire.MaxMessage)
	li.heard.Store(time.Now().UnixNano())
	var wg sync.WaitGroup
	parts := []func(context.Context) error{li.read, li.write, li.beat, li.overrun}
	for _, part := range parts {
		wg.Go(func() { stop(part(ctx)) })
	}
	<-ctx.Done()
	close(li.done)
	_ = li.Conn.CloseNow()
	wg.Wait()
	return context.Cause(ctx)
}

// Send queues a frame. A peer that reads so slowly that the queue is full
// loses the link. It reports whether the frame was queued.
func (li *Link) Send(fr *wire.Frame) bool {
	li.init()
	select {
	case <-li.done:
		return false
	default:
	}
	select {
	case li.queue <- fr:
		return true
	default:
		select {
		case li.slow <- struct{}{}:
		default:
		}
		return false
	}
}

// SendWait queues a frame and waits for room; it serves answers, whose
// source can be slowed down. It reports whether the frame was queued.
func (li *Link) SendWait(ctx context.Context, fr *wire.Frame) bool {
	li.init()
	select {
	case li.queue <- fr:
		return true
	case <-li.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Done is closed when the link has ended.
func (li *Link) Done() <-chan struct{} {
	li.init()
	return li.done
}

func (li *Link) read(ctx context.Context) error {
	for {
		_, msg, err := li.Conn.Read(ctx)
		if err != nil {
			return eris.Wrap(err, "read")
		}
		li.heard.Store(time.Now().UnixNano())
		frames, err := wire.Decode(msg)
		count("in", frames, len(msg))
		for _, fr := range frames {
			li.Handler.Frame(li, fr)
		}
		if err != nil {
			return err
		}
	}
}

func (li *Link) write(ctx context.Context) error {
	var buf bytes.Buffer
	batch := make([]*wire.Frame, 0, queueFrames)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fr := <-li.queue:
			batch = append(batch[:0], fr)
		}
		buf.Reset()
		for i := 0; i < len(batch); i++ {
			if err := wire.Append(&buf, batch[i]); err != nil {
				return err
			}
			if next, ok := li.next(buf.Len()); ok {
				batch = append(batch, next)
			}
		}
		count("out", batch, buf.Len())
		if err := li.Conn.Write(ctx, websocket.MessageBinary, buf.Bytes()); err != nil {
			return eris.Wrap(err, "write")
		}
	}
}

// overrun ends the link once its queue ran over.
func (li *Link) overrun(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-li.slow:
		return errSlow
	}
}

// next returns a frame that waits, unless the batch is large enough.
func (li *Link) next(size int) (*wire.Frame, bool) {
	if size >= batchBytes {
		return nil, false
	}
	select {
	case fr := <-li.queue:
		return fr, true
	default:
		return nil, false
	}
}

func (li *Link) beat(ctx context.Context) error {
	ti := time.NewTicker(li.Heartbeat)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ti.C:
			silent := now.UnixNano() - li.heard.Load()
			if silent > missedBeats*li.Heartbeat.Nanoseconds() {
				return errSilent
			}
			li.Send(li.Handler.Beat(li))
		}
	}
}

// count splits a message's bytes into control and data, so that the budget
// for control can be watched.
func count(direction string, frames []*wire.Frame, size int) {
	data := 0
	for _, fr := range frames {
		data += len(fr.Body)
		if fr.Open != nil {
			data += len(fr.Open.Body)
		}
	}
	metrics.LinkBytes.Add(direction+"_data", int64(data))
	metrics.LinkBytes.Add(direction+"_control", int64(size-data))
	metrics.LinkFrames.Add(direction, int64(len(frames)))
	metrics.LinkFrames.Add(direction+"_messages", 1)
}
