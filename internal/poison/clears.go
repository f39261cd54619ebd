package poison

import "time"

const (
	// clearRetention is the minimum time for which it is known that servers survived requests with a
	// part; the maximum is twice that.
	clearRetention = time.Minute
	// maxClears bounds the parts in each of the two generations, some 0.4 MB.
	maxClears = 4096
)

// Clear records that a server completed a request with a part and survived it. Its fields are exported
// because the codec needs them.
type Clear struct {
	Part Part `cbor:"1,keyasint"`
	// Age is the time since the response began. A part that crashes servers does so from the beginning
	// of a response on, so that the clear says nothing of responses that began later.
	Age time.Duration `cbor:"2,keyasint"`
}

// clearTable holds when the latest response began that a server completed and survived, by part. The
// zero value is empty.
type clearTable struct {
	current, previous map[Part]time.Time
	// rotated is when the current generation began.
	rotated time.Time
}

// add records a clear of a part for its team, and for all teams. It reports whether it is later than
// those known.
func (ct *clearTable) add(pa Part, began, now time.Time) bool {
	all := ct.put(pa.forAllTeams(), began, now)
	return ct.put(pa, began, now) || all
}

func (ct *clearTable) put(pa Part, began, now time.Time) bool {
	if !began.After(ct.latest(pa)) {
		return false
	}
	if ct.current == nil || now.Sub(ct.rotated) >= clearRetention || len(ct.current) >= maxClears {
		ct.current, ct.previous, ct.rotated = map[Part]time.Time{}, ct.current, now
	}
	ct.current[pa] = began
	return true
}

// latest returns when the latest known response with a part began, zero if none is known.
func (ct *clearTable) latest(pa Part) time.Time {
	if at, ok := ct.current[pa]; ok {
		return at
	}
	return ct.previous[pa]
}

// expire drops what is older than its retention period.
func (ct *clearTable) expire(now time.Time) {
	if now.Sub(ct.rotated) >= 2*clearRetention {
		ct.current, ct.previous = nil, nil
	}
}
