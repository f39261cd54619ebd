// Package link implements the WebSocket connection between an entry and an agent. It authenticates
// the peer, sends frames in batches and detects an unresponsive peer.
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

// Handler handles the frames that arrive on a link.
type Handler interface {
	// HandleFrame is called for each frame, in the order of arrival.
	HandleFrame(li *Link, fr *wire.Frame)
	// Heartbeat returns the heartbeat to send now.
	Heartbeat(li *Link) *wire.Frame
}

// Peer identifies the process at the other end of a link.
type Peer struct {
	box, dataCentre string
}

// Box returns the peer's box.
func (pe Peer) Box() string { return pe.box }

// DataCentre returns the peer's data centre.
func (pe Peer) DataCentre() string { return pe.dataCentre }

const (
	// maxDataFrames is the capacity of the queue for data frames, which carry responses. If it is
	// full, senders block.
	maxDataFrames = 128
	// maxControlFrames is the capacity of the queue for all other frames. If it is full, the link is
	// closed.
	maxControlFrames = 8192
	// batchBytes is the size from which on no more data frames are added to a batch.
	batchBytes = 64 << 10
	// maxRetainedBytes is the maximum capacity of a write buffer that is reused for the next batch.
	maxRetainedBytes = 8 << 10
	// maxMissedHeartbeats is the number of heartbeat intervals without any message after which the
	// link is closed.
	maxMissedHeartbeats = 3
)

var (
	errPeerTimeout = eris.New("no message from peer within the heartbeat timeout")
	errPeerTooSlow = eris.New("peer reads too slowly: queue of control frames is full")
)

// Link is an open connection. Its exported fields must be set before Run.
type Link struct {
	// Conn is the WebSocket connection.
	Conn *websocket.Conn
	// Peer is the authenticated process at the other end.
	Peer Peer
	// Name is unique among all links of a process over its lifetime, so that a restarted peer is not
	// confused with its predecessor.
	Name string
	// Handler handles the received frames.
	Handler Handler
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration

	once sync.Once
	// dataQueue holds the data frames to send.
	dataQueue chan *wire.Frame
	// mu guards controlQueue, which holds all other frames to send. ready signals that it is not
	// empty; its capacity is one.
	mu           sync.Mutex
	controlQueue []*wire.Frame
	ready        chan struct{}
	// done is closed when the link is closed.
	done chan struct{}
	// overflow signals that the control queue is full.
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

// Run serves the link until it fails or the context is cancelled, and returns the cause.
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

// Send queues a control frame, which is sent before all data frames. If the queue is full because the
// peer reads too slowly, the link is closed. Send reports whether the frame was queued.
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

// notify sends to a channel with a capacity of one, unless a notification is already pending.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SendWait queues a data frame and blocks while the queue is full. It is meant for responses, whose
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

// Done returns a channel that is closed when the link is closed.
func (li *Link) Done() <-chan struct{} {
	li.init()
	return li.done
}

// read passes received frames to the handler. Each message resets the watchdog, which closes the
// link of an unresponsive peer.
func (li *Link) read(ctx context.Context, watchdog *time.Timer) error {
	for {
		_, msg, err := li.Conn.Read(ctx)
		if err != nil {
			return eris.Wrap(err, "read")
		}
		watchdog.Reset(maxMissedHeartbeats * li.HeartbeatInterval)
		frames, err := wire.Decode(msg)
		metrics.In.AddMessage(len(msg), dataBytes(frames), len(frames))
		for _, fr := range frames {
			li.Handler.HandleFrame(li, fr)
		}
		if err != nil {
			return err
		}
	}
}

// write sends queued frames and heartbeats. It uses only one goroutine for both because a process has
// many links.
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
		metrics.Out.AddMessage(ba.buf.Len(), dataBytes(ba.frames), len(ba.frames))
		if err := li.Conn.Write(ctx, websocket.MessageBinary, ba.buf.Bytes()); err != nil {
			return eris.Wrap(err, "write")
		}
	}
}

// fill adds all queued control frames to the batch, and then queued data frames until the batch has
// batchBytes.
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

// batch collects the frames of one message.
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

// dataBytes returns the number of bytes in a message that carry callers' data, so that the budget
// for control traffic can be monitored. The overhead of a data frame counts as data too, since it
// would not exist without the data.
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

// dataFrameOverheadBytes is the approximate size of a data frame without its body.
const dataFrameOverheadBytes = 20
