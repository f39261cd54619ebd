// Package link keeps one WebSocket connection between an entry and an agent:
// it proves the peer, sends frames in batches and notices a silent peer.
package link

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Handler takes what arrives on a link.
type Handler interface {
	// HandleFrame is called for each frame in order.
	HandleFrame(li *Link, fr *wire.Frame)
	// Heartbeat returns the heartbeat to send now.
	Heartbeat(li *Link) *wire.Frame
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
	// maxDataFrames bounds the frames of answers that wait to be sent; their
	// senders wait for room.
	maxDataFrames = 128
	// maxControlFrames bounds the other frames that wait; a peer so far behind
	// loses the link.
	maxControlFrames = 8192
	// batchBytes is the size at which a batch is sent.
	batchBytes = 64 << 10
	// maxRetainedBytes is the size up to which a write buffer is kept for the next
	// batch.
	maxRetainedBytes = 8 << 10
	// maxMissedHeartbeats is how many heartbeats may be missed.
	maxMissedHeartbeats = 3
)

var (
	errPeerTimeout = eris.New("peer is silent")
	errPeerTooSlow   = eris.New("peer reads too slowly")
)

// Link is one open connection. Its exported fields are set before Run.
type Link struct {
	// Conn is the open connection.
	Conn *websocket.Conn
	// Peer is who was proved to be at the other end.
	Peer Peer
	// Name is unique among the links that a process has had, so that a peer
	// that starts anew is not taken for what it was before.
	Name string
	// Handler takes the frames.
	Handler Handler
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration

	once sync.Once
	// dataQueue holds frames of answers.
	dataQueue chan *wire.Frame
	// mu guards control, which holds all other frames; ready has room for one
	// word that there are some.
	mu      sync.Mutex
	controlQueue []*wire.Frame
	ready   chan struct{}
	// done is closed when the link has ended.
	done chan struct{}
	// overflow gets the word that too many control frames wait.
	overflow chan struct{}
}

func (li *Link) init() {
	li.once.Do(func() {
		li.dataQueue = make(chan *wire.Frame, maxDataFrames)
		li.ready = make(chan struct{}, 1)
		li.done = make(chan struct{})
		li.overflow = make(chan struct{}, 1)
	})
}

// Run serves the link until it breaks or the context ends, and returns why.
func (li *Link) Run(ctx context.Context) error {
	li.init()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	li.Conn.SetReadLimit(wire.MaxMessageBytes)
	watchdog := time.AfterFunc(maxMissedHeartbeats*li.HeartbeatInterval, func() { stop(errPeerTimeout) })
	defer watchdog.Stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		stop(li.write(ctx))
		close(li.done)
		_ = li.Conn.CloseNow()
	})
	stop(li.read(ctx, watchdog))
	wg.Wait()
	return context.Cause(ctx)
}

// Send queues a frame ahead of answers. A peer that reads so slowly that too
// many wait loses the link. It reports whether the frame was queued.
func (li *Link) Send(fr *wire.Frame) bool {
	li.init()
	select {
	case <-li.done:
		return false
	default:
	}
	li.mu.Lock()
	full := len(li.controlQueue) >= maxControlFrames
	if !full {
		li.controlQueue = append(li.controlQueue, fr)
	}
	li.mu.Unlock()
	if full {
		notify(li.overflow)
		return false
	}
	notify(li.ready)
	return true
}

// notify leaves a word in a channel that has room for one.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SendWait queues a frame and waits for room; it serves answers, whose
// source can be slowed down. It reports whether the frame was queued.
func (li *Link) SendWait(ctx context.Context, fr *wire.Frame) bool {
	li.init()
	select {
	case li.dataQueue <- fr:
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

// read hands frames on. Each message puts off the end that a silent peer
// comes to.
func (li *Link) read(ctx context.Context, watchdog *time.Timer) error {
	for {
		_, msg, err := li.Conn.Read(ctx)
		if err != nil {
			return eris.Wrap(err, "read")
		}
		watchdog.Reset(maxMissedHeartbeats * li.HeartbeatInterval)
		frames, err := wire.Decode(msg)
		metrics.In.Message(len(msg), dataBytes(frames), len(frames))
		for _, fr := range frames {
			li.Handler.HandleFrame(li, fr)
		}
		if err != nil {
			return err
		}
	}
}

// write sends what is queued and the heartbeats, in one goroutine: a process
// has many links.
func (li *Link) write(ctx context.Context) error {
	var ba batch
	ti := time.NewTicker(li.HeartbeatInterval)
	defer ti.Stop()
	for {
		ba.reset()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-li.overflow:
			return errPeerTooSlow
		case <-li.ready:
		case fr := <-li.dataQueue:
			ba.add(fr)
		case <-ti.C:
			ba.add(li.Handler.Heartbeat(li))
		}
		li.fill(&ba)
		if err := ba.err; err != nil {
			return err
		}
		if len(ba.frames) == 0 {
			continue
		}
		metrics.Out.Message(ba.buf.Len(), dataBytes(ba.frames), len(ba.frames))
		if err := li.Conn.Write(ctx, websocket.MessageBinary, ba.buf.Bytes()); err != nil {
			return eris.Wrap(err, "write")
		}
	}
}

// fill adds all control frames that wait, and answers up to the batch's size.
func (li *Link) fill(ba *batch) {
	li.mu.Lock()
	control := li.controlQueue
	li.controlQueue = nil
	li.mu.Unlock()
	for _, fr := range control {
		ba.add(fr)
	}
	for ba.buf.Len() < batchBytes {
		select {
		case fr := <-li.dataQueue:
			ba.add(fr)
		default:
			return
		}
	}
}

// batch is the frames of one message.
type batch struct {
	frames []*wire.Frame
	buf    bytes.Buffer
	err    error
}

func (ba *batch) reset() {
	ba.frames = ba.frames[:0]
	ba.buf.Reset()
	if ba.buf.Cap() > maxRetainedBytes {
		ba.buf = bytes.Buffer{}
	}
}

func (ba *batch) add(fr *wire.Frame) {
	if ba.err == nil {
		ba.err = wire.Append(&ba.buf, fr)
		ba.frames = append(ba.frames, fr)
	}
}

// dataBytes returns the callers' part of a message, so that the budget for
// control can be watched. The few bytes around a part of an answer count as
// data too: they would not be there without it.
func dataBytes(frames []*wire.Frame) int {
	data := 0
	for _, fr := range frames {
		if len(fr.Body) > 0 {
			data += len(fr.Body) + dataFrameOverheadBytes
		}
		if fr.Open != nil {
			data += len(fr.Open.Body)
		}
	}
	return data
}

// dataFrameOverheadBytes is the size of a data frame without its body.
const dataFrameOverheadBytes = 20
