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
)

// Turn returns how long after a phase is due a gateway stores it, if it was not
// stored meanwhile. All gateways could store it, and the store lets one of them win;
// at the beginning they take turns so that not all of them call, in a line that
// differs by order. Later phases are stored by whoever is due first, at once: some
// hear of an order a second later than others, and to wait for one of those would miss
// the deadline.
func Turn(box string, boxes []string, order uint64, ph Phase) time.Duration {
	if ph != Waiting {
		return 0
	}
	key := "\x00" + strconv.FormatUint(order, 10)
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
