package transport

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
)

const (
	// minSilentPeers is the number of peers that are silent on reused connections within silenceWindow
	// from which on all idle connections are taken for silent. One silent peer has failed by itself.
	minSilentPeers = 2
	silenceWindow  = time.Second
	// dropInterval is the shortest time between two decisions to close the idle connections: peers that
	// are only slow would otherwise get all their connections anew again and again.
	dropInterval = 5 * time.Second
	// maxPeers is the number of peers from which on those that have not responded for answerTTL are
	// forgotten.
	maxPeers  = 1024
	answerTTL = time.Minute
)

// silenceDetector decides when idle connections are taken for silent. The zero value is ready to use.
type silenceDetector struct {
	// silent holds when each peer was last silent, answered when it last responded.
	silent, answered map[string]time.Time
	droppedAt        time.Time
}

// handleResponse records that a peer has responded on any connection.
func (sd *silenceDetector) handleResponse(peer string, now time.Time) {
	if sd.answered == nil {
		sd.answered = map[string]time.Time{}
	}
	if len(sd.answered) > maxPeers {
		maps.DeleteFunc(sd.answered, func(_ string, at time.Time) bool { return now.Sub(at) >= answerTTL })
	}
	sd.answered[peer] = now
}

// handleSilence records that a request to a peer on a reused connection has no response yet. It reports
// whether to close the idle connections to all peers. A peer that has responded to another request since
// is slow.
func (sd *silenceDetector) handleSilence(peer string, sent, now time.Time) (drop bool) {
	if sd.answered[peer].After(sent) {
		return false
	}
	if sd.silent == nil {
		sd.silent = map[string]time.Time{}
	}
	maps.DeleteFunc(sd.silent, func(_ string, at time.Time) bool { return now.Sub(at) >= silenceWindow })
	sd.silent[peer] = now
	if len(sd.silent) < minSilentPeers || now.Sub(sd.droppedAt) < dropInterval {
		return false
	}
	sd.droppedAt = now
	clear(sd.silent)
	return true
}

// Pool is a round tripper that reuses connections to many peers. It closes its idle connections when
// several peers do not answer on reused ones: what made those silent, such as a firewall that lost its
// state, most likely concerns the idle ones as well. It is created with NewPool.
type Pool struct {
	*Transport
	mu       sync.Mutex
	detector silenceDetector
}

// NewPool returns a pool whose connections are opened by a transport.
func NewPool(tr *Transport) *Pool { return &Pool{Transport: tr} }

type patienceKey struct{}

// WithPatience returns a context for a request whose response is usually begun well within a time. A
// request on a reused connection that takes longer counts as silent; it is not cancelled.
func WithPatience(ctx context.Context, patience time.Duration) context.Context {
	return context.WithValue(ctx, patienceKey{}, patience)
}

// RoundTrip sends a request and returns the head of its response.
func (po *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	patience, ok := req.Context().Value(patienceKey{}).(time.Duration)
	if !ok || patience <= 0 {
		return po.Transport.RoundTrip(req)
	}
	var reused atomic.Bool
	sent := clock.Now()
	timer := time.AfterFunc(patience, func() {
		if reused.Load() {
			po.handleSilence(req.URL.Host, sent, clock.Now())
		}
	})
	defer timer.Stop()
	resp, err := po.roundTrip(req, func(info httptrace.GotConnInfo) { reused.Store(info.Reused) })
	if err == nil {
		po.mu.Lock()
		defer po.mu.Unlock()
		po.detector.handleResponse(req.URL.Host, clock.Now())
	}
	return resp, err
}

func (po *Pool) handleSilence(peer string, sent, now time.Time) {
	po.mu.Lock()
	drop := po.detector.handleSilence(peer, sent, now)
	po.mu.Unlock()
	if drop {
		idleConnectionsDropped.Inc()
		po.CloseIdleConnections()
	}
}
