package rollout

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnPause is how long each of the first gateways in line waits for the one
	// before it: a stored phase mostly reaches them within that (a watch gathers
	// changes for 0.3 s at the most).
	turnPause = 300 * time.Millisecond
	// turns is how many waits there are. Whoever stands further back waits as long as
	// the third, so that a phase is stored soon also if the first ones are gone.
	turns = 3
	// fewGateways is how many gateways store a later phase at once, whatever the others do.
	fewGateways = 8
	// spreadEach is the time for each gateway over which the writes of a later phase are
	// spread where there are more, mostSpread the most of it: the first of many comes after
	// some hundredths of a second all the same, and the others mostly hear of it before
	// their time. 103 gateways wrote each phase 103 times.
	spreadEach = 10 * time.Millisecond
	mostSpread = time.Second
)

// StoreDelay returns how long after a phase is due a gateway stores it, if it was not
// stored meanwhile. All gateways could store it, and the store lets one of them win;
// at the beginning they take turns so that not all of them call, in a line that
// differs by order. Later phases wait for nobody: some hear of an order a second later than
// others, and to wait for one of those would miss the deadline. Of many gateways each
// waits for a time of its own instead.
//
// boxes are those that take turns, gateways is how many there are.
func StoreDelay(box string, boxes []string, gateways int, order uint64, ph Phase) time.Duration {
	key := "\x00" + strconv.FormatUint(order, 10)
	if ph != Waiting {
		return ownTime(box+key+string(ph), gateways)
	}
	own := xxhash.Sum64String(box + key)
	before := 0
	for _, other := range boxes {
		if other != box && xxhash.Sum64String(other+key) < own {
			before++
		}
	}
	if !slices.Contains(boxes, box) {
		before = turns
	}
	return turnPause * time.Duration(min(before, turns-1))
}

// ownTime returns a gateway's own time within that over which the writes of so many are
// spread.
func ownTime(key string, gateways int) time.Duration {
	if gateways <= fewGateways {
		return 0
	}
	spread := min(mostSpread, spreadEach*time.Duration(gateways))
	return time.Duration(float64(spread) * place("", key))
}
