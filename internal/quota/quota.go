// Package quota divides a server's rate limit among gateways without coordination per request. The
// share of a gateway depends on the number of gateways; where one request each would exceed the
// limit, a hash selects those that send. It does no I/O and reads no clock.
package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// transitTime extends a limit's window for a gateway's own requests: the limit applies to
	// arrivals, and connections differ in latency.
	transitTime = 250 * time.Millisecond
	// safePart is the part of the limit that all gateways together use. Gateways that have just
	// started may not be counted yet.
	safePart = 0.9
	// deviations keeps the total of a random draw below the limit.
	deviations = 5.5
	// drawTime is how long a draw holds under a limit without an end.
	drawTime = 10 * time.Second
	// useKept is how long requests are counted; it exceeds every window.
	useKept = 5 * time.Second
)

// Limit is the rate limit of a server. The zero value is no limit.
type Limit struct {
	// PerSecond is the rate in requests per second for all gateways together.
	PerSecond float64
	// MaxInWindow bounds the arrivals within any Window; at least one.
	MaxInWindow float64
	Window      time.Duration
	// LongLived limits may hold for long, so that the gateways that send are drawn repeatedly.
	LongLived bool
}

// Enabled reports whether there is a limit.
func (li Limit) Enabled() bool { return li.PerSecond > 0 && li.MaxInWindow >= 1 }

// share is one gateway's share of a limit.
type share struct {
	// chance is the probability that a gateway sends anything.
	chance float64
	// most bounds the requests of a gateway that sends within the window, gap is the least
	// time between two.
	most int
	gap  time.Duration
}

// shareOf divides a limit among a number of gateways.
func (li Limit) shareOf(gateways int) share {
	n := float64(max(1, gateways))
	if n <= safePart*li.MaxInWindow {
		return share{chance: 1, most: int(safePart * li.MaxInWindow / n), gap: li.gap(n)}
	}
	// One request of each drawn gateway: drawn + deviations * sqrt(drawn) = Most.
	root := (math.Sqrt(deviations*deviations+4*li.MaxInWindow) - deviations) / 2
	drawn := root * root
	if li.LongLived {
		// Gateways start their draws at different times, so that a window overlaps two draws.
		drawn /= 1 + li.span().Seconds()/drawTime.Seconds()
	}
	return share{chance: drawn / n, most: 1, gap: li.gap(drawn)}
}

// gap returns the least time between two requests of one of a number of gateways.
func (li Limit) gap(gateways float64) time.Duration {
	return time.Duration(gateways / li.PerSecond * float64(time.Second))
}

// span is the time for which a gateway's own requests count.
func (li Limit) span() time.Duration { return li.Window + transitTime }

// Usage holds the requests that one gateway sent to one server. The zero value is empty.
type Usage struct {
	// sent holds the times of recent requests, oldest first.
	sent []time.Time
}

// Add records that a request is sent.
func (us *Usage) Add(now time.Time) {
	for len(us.sent) > 0 && now.Sub(us.sent[0]) >= useKept {
		us.sent = us.sent[1:]
	}
	us.sent = append(us.sent, now)
}

// Since returns how long ago the newest request was sent, useKept if none counts.
func (us *Usage) Since(now time.Time) time.Duration {
	if len(us.sent) == 0 {
		return useKept
	}
	return now.Sub(us.sent[len(us.sent)-1])
}

// Idle reports whether no request counts any longer.
func (us *Usage) Idle(now time.Time) bool { return us.Since(now) >= useKept }

// within counts the requests sent within a span.
func (us *Usage) within(span time.Duration, now time.Time) int {
	n := 0
	for i := len(us.sent) - 1; i >= 0 && now.Sub(us.sent[i]) < span; i-- {
		n++
	}
	return n
}

// Gateway identifies a gateway that shares a limit.
type Gateway struct {
	// Box is its name, by which gateways are drawn.
	Box string
	// FleetSize is the number of gateways, estimated from above.
	FleetSize int
}

// Wait returns how long a gateway with a use sends nothing to the server of a key, zero if it may send
// now.
func (li Limit) Wait(us *Usage, gw Gateway, key string, now time.Time) time.Duration {
	if !li.Enabled() {
		return 0
	}
	sh := li.shareOf(gw.FleetSize)
	if sh.chance < 1 {
		lot, next := li.draw(gw.Box, key, now)
		if lot >= sh.chance {
			return next
		}
	}
	n := len(us.sent)
	if n == 0 {
		return 0
	}
	wait := us.sent[n-1].Add(sh.gap).Sub(now)
	if us.within(li.span(), now) >= sh.most {
		wait = max(wait, us.sent[n-sh.most].Add(li.span()).Sub(now))
	}
	return max(0, wait)
}

// draw returns a number from 0 to 1 for a gateway and a server, and how long until the next draw.
func (li Limit) draw(box, key string, now time.Time) (lot float64, next time.Duration) {
	seed := xxhash.Sum64String(box + "\x00" + key)
	if !li.LongLived {
		return unit(seed), li.span()
	}
	at := uint64(now.UnixNano()) + seed%uint64(drawTime)
	turn := binary.LittleEndian.AppendUint64(nil, seed)
	turn = binary.LittleEndian.AppendUint64(turn, at/uint64(drawTime))
	return unit(xxhash.Sum64(turn)), drawTime - time.Duration(at%uint64(drawTime))
}

// unit maps a hash to a number from 0 to 1.
func unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
