package rollout

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// positionDelay is the delay between consecutive gateways in the sequence. A phase stored by
	// one mostly reaches the next within it, since a watch batches changes for at most 0.3 s.
	positionDelay = 300 * time.Millisecond
	// maxPositions is the number of different delays in the sequence. All gateways from the third
	// on wait equally long, so that a phase is stored soon even if the first ones are down.
	maxPositions = 3
	// maxSimultaneousGateways is the number of gateways up to which all store a later phase at
	// once.
	maxSimultaneousGateways = 8
	// spreadPerGateway is the time per gateway over which the writes of a later phase are spread if
	// there are more, maxSpread its upper limit. With many gateways the first write still happens
	// within tens of milliseconds, and most of the others receive it before their own is due.
	// Without the spread, 103 gateways wrote each phase 103 times.
	spreadPerGateway = 10 * time.Millisecond
	maxSpread        = time.Second
)

// StoreDelay returns how long after a phase is due a gateway stores it unless it was stored in the
// meantime. Any gateway may store a phase, and the store accepts one write. The first phase is
// stored in a sequence of gateways that depends on the order, so that not all of them write. Later
// phases have no sequence: some gateways learn of an order a second late, and waiting for one of
// those could miss the deadline. If there are many gateways, each has a delay of its own instead.
//
// boxes are the gateways in the sequence, gateways is the number of all gateways.
func StoreDelay(box string, boxes []string, gateways int, order uint64, ph Phase) time.Duration {
	key := "\x00" + strconv.FormatUint(order, 10)
	if ph != Waiting {
		return spreadDelay(box+key+string(ph), gateways)
	}
	own := xxhash.Sum64String(box + key)
	position := 0
	for _, other := range boxes {
		if other != box && xxhash.Sum64String(other+key) < own {
			position++
		}
	}
	if !slices.Contains(boxes, box) {
		position = maxPositions
	}
	return positionDelay * time.Duration(min(position, maxPositions-1))
}

// spreadDelay returns a gateway's delay within the time over which the writes of all gateways are
// spread.
func spreadDelay(key string, gateways int) time.Duration {
	if gateways <= maxSimultaneousGateways {
		return 0
	}
	spread := min(maxSpread, spreadPerGateway*time.Duration(gateways))
	return time.Duration(float64(spread) * unitHash("", key))
}
