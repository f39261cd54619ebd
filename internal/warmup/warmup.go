// Package warmup bounds what backend servers get that are cold: for some seconds after a
// start they bear a part of their usual load only, and the bound holds for the requests
// of all gateways together, which can't ask each other before each one. Each gateway
// therefore takes a part that depends on how many gateways there are, and where a whole
// request for each would be too many, some of them, drawn by a hash, take none. It does no
// I/O and reads no clock.
package warmup

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the span in which a gateway's own requests to a cold server are counted.
	// The bound is on those that arrive within a second; a quarter is for connections that
	// take unlike times.
	window = 1250 * time.Millisecond
	// safePart is the part of the bound that gateways may reach if all of them send at the
	// same moment: some that have just started may not be counted yet.
	safePart = 0.9
	// deviations is how many standard deviations of the number of gateways that were drawn
	// lie below the bound: 1.6 in a million draws exceed a bound of 26 (reckoned).
	deviations = 5.5
)

// Limit is what a cold server of a service bears. The zero value bounds nothing.
type Limit struct {
	// PerSecond is the rate of requests that it bears, from all gateways together.
	PerSecond float64
	// Most is how many requests may reach it within any second.
	Most float64
	// For is how long it is cold after a start.
	For time.Duration
}

// bounds reports whether there is a limit.
func (li Limit) bounds() bool { return li.PerSecond > 0 && li.Most >= 1 }

// share is one gateway's part of a limit.
type share struct {
	// chance is the part of the gateways that send anything.
	chance float64
	// most is how many requests each of them may send within the window, gap the least
	// time between two.
	most int
	gap  time.Duration
}

// shareOf parts a limit among so many gateways.
func (li Limit) shareOf(gateways int) share {
	n := float64(max(1, gateways))
	if n <= safePart*li.Most {
		return share{chance: 1, most: int(safePart * li.Most / n), gap: li.gap(n)}
	}
	// So many are drawn, of whom each sends one: drawn + deviations * sqrt(drawn) = Most.
	root := (math.Sqrt(deviations*deviations+4*li.Most) - deviations) / 2
	drawn := root * root
	return share{chance: drawn / n, most: 1, gap: li.gap(drawn)}
}

// gap returns the least time between two requests of each of so many gateways.
func (li Limit) gap(gateways float64) time.Duration {
	return time.Duration(gateways / li.PerSecond * float64(time.Second))
}

// server is what is known of one server.
type server struct {
	// until is when it is warm.
	until time.Time
	// sent holds when the newest own requests were sent, oldest first.
	sent []time.Time
}

// Tracker knows which servers are cold and what was sent to them. Its exported fields are
// set before use; the zero value knows of no cold server. It is not safe for concurrent use.
type Tracker struct {
	// Box is the gateway's own, by which the gateways that send are drawn.
	Box string

	servers map[string]*server
}

// Heard takes that a server is cold for so long. What was heard before is never
// shortened: it may have been told of a later moment. It reports whether the server was
// warm until now.
func (tr *Tracker) Heard(key string, left time.Duration, now time.Time) (cooled bool) {
	if left <= 0 {
		return false
	}
	if tr.servers == nil {
		tr.servers = map[string]*server{}
	}
	se := tr.servers[key]
	if se == nil {
		se = &server{}
		tr.servers[key] = se
		cooled = true
	}
	if until := now.Add(left); until.After(se.until) {
		se.until = until
	}
	return cooled
}

// Left returns how long a server is still cold, zero if it is warm.
func (tr *Tracker) Left(key string, now time.Time) time.Duration {
	if se := tr.servers[key]; se != nil {
		return max(0, se.until.Sub(now))
	}
	return 0
}

// Allows reports whether this gateway, one of so many, may send a request to a server now.
func (tr *Tracker) Allows(key string, li Limit, gateways int, now time.Time) bool {
	se := tr.servers[key]
	if se == nil || !now.Before(se.until) || !li.bounds() {
		return true
	}
	sh := li.shareOf(gateways)
	if sh.chance < 1 && draw(tr.Box, key) >= sh.chance {
		return false
	}
	se.expire(now)
	n := len(se.sent)
	return n == 0 || se.recent(now) < sh.most && now.Sub(se.sent[n-1]) >= sh.gap
}

// Sent notes that a request is sent to a server.
func (tr *Tracker) Sent(key string, now time.Time) {
	if se := tr.servers[key]; se != nil && now.Before(se.until) {
		se.sent = append(se.sent, now)
	}
}

// Forget drops a server that is gone.
func (tr *Tracker) Forget(key string) { delete(tr.servers, key) }

// Tick drops the servers that are warm and returns them.
func (tr *Tracker) Tick(now time.Time) (warm []string) {
	for key, se := range tr.servers {
		if !now.Before(se.until) {
			delete(tr.servers, key)
			warm = append(warm, key)
		}
	}
	return warm
}

// expire drops what was sent before the window, but for the newest, from which the gap is
// counted.
func (se *server) expire(now time.Time) {
	for len(se.sent) > 1 && now.Sub(se.sent[0]) >= window {
		se.sent = se.sent[1:]
	}
}

// recent returns how many requests were sent within the window.
func (se *server) recent(now time.Time) int {
	if n := len(se.sent); n != 1 || now.Sub(se.sent[0]) < window {
		return n
	}
	return 0
}

// draw returns a number from 0 to 1 that is the same whenever the two are.
func draw(box, key string) float64 {
	return float64(xxhash.Sum64String(box+"\x00"+key)>>11) / (1 << 53)
}
