package backpressure

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/gossip"
)

// Notice propagates the rate limit of a server to another gateway. Its fields are exported for
// encoding.
type Notice struct {
	// Server is the key of a server instance.
	Server string `cbor:"1,keyasint"`
	// PerSecond is the limit in requests per second, nil if the server no longer reports one.
	PerSecond *float64 `cbor:"2,keyasint,omitempty"`
	// Age is the time since the server reported it.
	Age time.Duration `cbor:"3,keyasint"`
	// Hops is how many gateways the notice has passed.
	Hops uint8 `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether a notice from another process is well-formed.
func (no *Notice) Valid() bool {
	return no.Server != "" && no.Age >= 0 && no.Hops < gossip.MaxHops && (no.PerSecond == nil || *no.PerSecond >= 0)
}

// Receive applies a notice from another gateway.
func (tr *Tracker) Receive(no Notice, now time.Time) Change {
	if !no.Valid() {
		return Unchanged
	}
	return tr.apply(no.Server, update{perSecond: no.PerSecond, at: now.Add(-no.Age), hops: no.Hops + 1}, now)
}

// Notices returns the notices for a report to another gateway.
func (tr *Tracker) Notices(di gossip.Direction, now time.Time) []Notice {
	var list []Notice
	for _, fa := range tr.facts.Due(di, now) {
		no := Notice{Server: fa.Key(), Age: max(0, now.Sub(tr.reported[fa.Key()])), Hops: fa.Hops()}
		if li := tr.limits[fa.Key()]; li != nil {
			rate := li.perSecond
			no.PerSecond = &rate
		}
		list = append(list, no)
	}
	return list
}
