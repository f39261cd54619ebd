// Package quota divides a server's rate limit among gateways without coordination per request. The
// share of a gateway depends on the number of gateways and on how many units of the limit it holds, one
// unless gateways lend them to each other. If one request for each unit would exceed the limit, a hash
// selects the units that may send. It does no I/O and reads no clock.
package quota

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// transitTime extends the window of a limit for a gateway's own requests: the limit applies to
	// arrivals, and connections differ in latency.
	transitTime = 250 * time.Millisecond
	// usableFraction is the fraction of the limit that all gateways together use. Gateways that
	// have just started may not be counted yet.
	usableFraction = 0.9
	// deviations is the distance of the limit from the expected number of selected gateways in
	// standard deviations. It makes it very unlikely that the selected gateways exceed the limit.
	deviations = 5.5
	// drawInterval is how long a selection of gateways is valid for long-lived limits.
	drawInterval = 10 * time.Second
	// usageRetention is how long requests are counted; it exceeds every window.
	usageRetention = 5 * time.Second
)

// Limit is the rate limit of a server. The zero value is unlimited.
type Limit struct {
	// PerSecond is the rate in requests per second for all gateways together.
	PerSecond float64
	// MaxInWindow bounds the arrivals within any Window; at least 1.
	MaxInWindow float64
	Window      time.Duration
	// LongLived is set for limits without a known end. Their gateways are selected anew every
	// drawInterval.
	LongLived bool
}

// Enabled reports whether there is a limit.
func (li Limit) Enabled() bool { return li.PerSecond > 0 && li.MaxInWindow >= 1 }

// share is the share of a number of units in a limit.
type share struct {
	// probability is the probability that a unit may send at all.
	probability float64
	// maxInWindow bounds the requests within the window, those of a selected unit if only some are, and
	// minInterval is the minimum time between two of them.
	maxInWindow int
	minInterval time.Duration
}

// shareOf returns the share of a number of units if there are as many units as gateways.
func (li Limit) shareOf(units float64, gateways int) share {
	n := float64(max(1, gateways))
	if n <= usableFraction*li.MaxInWindow {
		return share{
			probability: 1, maxInWindow: int(usableFraction * li.MaxInWindow * units / n), minInterval: li.minInterval(n / units),
		}
	}
	// Each selected gateway sends one request: selected + deviations * sqrt(selected) =
	// MaxInWindow.
	root := (math.Sqrt(deviations*deviations+4*li.MaxInWindow) - deviations) / 2
	selected := root * root
	if li.LongLived {
		// The intervals of gateways are offset, so that a window overlaps two selections.
		selected /= 1 + li.span().Seconds()/drawInterval.Seconds()
	}
	return share{probability: selected / n, maxInWindow: 1, minInterval: li.minInterval(selected)}
}

// minInterval returns the minimum time between two requests of one of a number of gateways.
func (li Limit) minInterval(gateways float64) time.Duration {
	return time.Duration(gateways / li.PerSecond * float64(time.Second))
}

// span returns the time for which a gateway's own requests count.
func (li Limit) span() time.Duration { return li.Window + transitTime }

// Usage holds the times of the requests from one gateway to one server. The zero value is empty.
type Usage struct {
	// sent holds the times of recent requests, oldest first.
	sent []time.Time
}

// Add records that a request is sent.
func (us *Usage) Add(now time.Time) {
	for len(us.sent) > 0 && now.Sub(us.sent[0]) >= usageRetention {
		us.sent = us.sent[1:]
	}
	us.sent = append(us.sent, now)
}

// Since returns the time since the latest request, usageRetention if there is none.
func (us *Usage) Since(now time.Time) time.Duration {
	if len(us.sent) == 0 {
		return usageRetention
	}
	return now.Sub(us.sent[len(us.sent)-1])
}

// Idle reports whether all requests have expired.
func (us *Usage) Idle(now time.Time) bool { return us.Since(now) >= usageRetention }

// within counts the requests within a time span before now.
func (us *Usage) within(span time.Duration, now time.Time) int {
	n := 0
	for i := len(us.sent) - 1; i >= 0 && now.Sub(us.sent[i]) < span; i-- {
		n++
	}
	return n
}

// Gateway identifies a gateway that shares a limit.
type Gateway struct {
	// Box is its name, by which gateways are selected.
	Box string
	// FleetSize is an upper estimate of the number of gateways.
	FleetSize int
	// Units is the number of units that it holds, zero for one.
	Units float64
}

// units returns the number of units that the gateway holds.
func (gw Gateway) units() float64 {
	if gw.Units == 0 {
		return 1
	}
	return gw.Units
}

// Wait returns how long a gateway must not send to the server with a key, zero if it may send now.
func (li Limit) Wait(us *Usage, gw Gateway, key string, now time.Time) time.Duration {
	if !li.Enabled() {
		return 0
	}
	sh := li.shareOf(gw.units(), gw.FleetSize)
	if sh.probability < 1 {
		selected, next := li.selected(gw, key, sh.probability, now)
		if selected == 0 {
			return next
		}
		sh.maxInWindow *= selected
		sh.minInterval /= time.Duration(selected)
	}
	if sh.maxInWindow == 0 {
		return li.span()
	}
	n := len(us.sent)
	if n == 0 {
		return 0
	}
	wait := us.sent[n-1].Add(sh.minInterval).Sub(now)
	if us.within(li.span(), now) >= sh.maxInWindow {
		wait = max(wait, us.sent[n-sh.maxInWindow].Add(li.span()).Sub(now))
	}
	return max(0, wait)
}

// selected returns how many of a gateway's units may send, and how long that is valid. A part of a unit is
// selected with a part of the probability.
func (li Limit) selected(gw Gateway, key string, probability float64, now time.Time) (units int, next time.Duration) {
	box := gw.Box
	for i := 0; float64(i) < gw.units(); i++ {
		if i > 0 {
			box = gw.Box + "\x00" + strconv.Itoa(i)
		}
		value, valid := li.draw(box, key, now)
		if value < probability*min(1, gw.units()-float64(i)) {
			units++
		}
		if i == 0 || valid < next {
			next = valid
		}
	}
	return units, next
}

// draw returns a pseudorandom number in [0, 1) for a gateway and a server, and how long it is
// valid.
func (li Limit) draw(box, key string, now time.Time) (value float64, next time.Duration) {
	seed := xxhash.Sum64String(box + "\x00" + key)
	if !li.LongLived {
		return unit(seed), li.span()
	}
	at := uint64(now.UnixNano()) + seed%uint64(drawInterval)
	input := binary.LittleEndian.AppendUint64(nil, seed)
	input = binary.LittleEndian.AppendUint64(input, at/uint64(drawInterval))
	return unit(xxhash.Sum64(input)), drawInterval - time.Duration(at%uint64(drawInterval))
}

// unit maps a hash to [0, 1).
func unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
