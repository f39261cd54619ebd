// Package lending moves units of shared quotas between gateways. Each gateway owns one unit. One with
// little demand lends a part of it to the gateway that it reports to, which grants it to those with more
// demand, or lends it on. Loans are leases: whatever messages are lost or delayed, all gateways together
// never hold more units than there are gateways. It does no I/O and reads no clock.
package lending

import "time"

const (
	// memberTerm is how long a loan lasts that a gateway without borrowers makes, collectorTerm one that
	// a gateway makes from the loans of others, so that it ends before theirs do. Each is counted from
	// the reply that the lender last received.
	memberTerm    = 1500 * time.Millisecond
	collectorTerm = 1100 * time.Millisecond
	// rootGrantTTL is how long a grant lasts by a gateway that reports to no other, grantTTL by one that
	// does, so that it ends before the grants to this one do.
	rootGrantTTL = 800 * time.Millisecond
	grantTTL     = 500 * time.Millisecond
	// wishTTL is how long the wish of a borrower counts after its last report.
	wishTTL = 500 * time.Millisecond
	// MinUnits is what a gateway keeps of its unit.
	MinUnits = 0.1
	// minLoan is the least part of a unit that is lent or granted.
	minLoan = 0.05
)

// Stamp is a time of the process that issued it. It is only meaningful there.
type Stamp struct {
	// Process distinguishes successive processes on a box.
	Process uint64 `cbor:"1,keyasint,omitempty"`
	// At is the time since the process started, in nanoseconds.
	At time.Duration `cbor:"2,keyasint,omitempty"`
}

// Offer is what a gateway lends to the one that it reports to, or wants from it. Its fields are exported
// because the codec needs them.
type Offer struct {
	// Lent is the number of units lent until Term after the reply with the Stamp was received.
	Lent  float64       `cbor:"1,keyasint,omitempty"`
	Term  time.Duration `cbor:"2,keyasint,omitempty"`
	Stamp Stamp         `cbor:"3,keyasint,omitempty"`
	// Wish is the number of units that it wants to borrow.
	Wish float64 `cbor:"4,keyasint,omitempty"`
}

// Reply answers an Offer. Its fields are exported because the codec needs them.
type Reply struct {
	// Stamp is when the offer was handled.
	Stamp Stamp `cbor:"1,keyasint,omitempty"`
	// Granted is the number of units granted for TTL.
	Granted float64       `cbor:"2,keyasint,omitempty"`
	TTL     time.Duration `cbor:"3,keyasint,omitempty"`
}

// Book holds the loans of one gateway. Its exported fields are set before use. It is not safe for
// concurrent use.
type Book struct {
	// Process identifies this process, Started is when it started.
	Process uint64
	Started time.Time

	// lent holds the units lent to other gateways, granted those granted to others, borrowed those that
	// others granted to this one, and loans those that others lent to this one; each by box.
	lent, granted, borrowed, loans map[string]leases
	// wishes holds what borrowers want.
	wishes map[string]wish
	// lender is the gateway that this one reports to, stamp its latest reply's and stampAt when that was
	// received.
	lender  string
	stamp   Stamp
	stampAt time.Time
}

type wish struct {
	units float64
	at    time.Time
}

// Units returns the number of units that this gateway may use.
func (bo *Book) Units(now time.Time) float64 {
	return max(MinUnits, bo.capacity(now)-bo.spent(now))
}

// capacity returns the number of units that this gateway holds at a time, its own included.
func (bo *Book) capacity(at time.Time) float64 {
	units := 1.0
	for _, le := range bo.loans {
		units += le.most(at)
	}
	for _, le := range bo.borrowed {
		units += le.most(at)
	}
	return units
}

// spent returns the number of units that others may use.
func (bo *Book) spent(at time.Time) float64 {
	units := 0.0
	for _, le := range bo.lent {
		units += le.most(at)
	}
	for _, le := range bo.granted {
		units += le.most(at)
	}
	return units
}

// IsActive reports whether any units are lent or borrowed.
func (bo *Book) IsActive(now time.Time) bool {
	return bo.spent(now) > 0 || bo.capacity(now) > 1
}

// Offer returns the offer to send to the gateway that this one reports to. need is the number of units
// that this one needs itself.
func (bo *Book) Offer(lender string, need float64, now time.Time) Offer {
	if lender != bo.lender {
		bo.lender, bo.stamp, bo.stampAt = lender, Stamp{}, time.Time{}
	}
	need = max(MinUnits, need) + bo.wished(now)
	held := 1.0
	for _, le := range bo.loans {
		held += le.most(now)
	}
	if need > held {
		return Offer{Wish: need - held}
	}
	return bo.lend(held-need, now)
}

// lend lends up to a number of units.
func (bo *Book) lend(units float64, now time.Time) Offer {
	if bo.stampAt.IsZero() {
		return Offer{}
	}
	term := memberTerm
	if len(bo.loans) > 0 || len(bo.wishes) > 0 {
		term = collectorTerm
	}
	until := bo.stampAt.Add(term)
	// What is lent to the same gateway already is replaced by the new loan, not added to it.
	others := bo.spent(now) - bo.lent[bo.lender].most(now)
	units = min(units, bo.capacity(until)-others-MinUnits)
	if units < minLoan || !until.After(now) {
		return Offer{}
	}
	bo.lent = put(bo.lent, bo.lender, lease{units, until})
	return Offer{Lent: units, Term: term, Stamp: bo.stamp}
}

// wished returns the number of units that borrowers want.
func (bo *Book) wished(now time.Time) float64 {
	units := 0.0
	for _, wi := range bo.wishes {
		if now.Sub(wi.at) < wishTTL {
			units += wi.units
		}
	}
	return units
}

// HandleReply handles the reply to an offer that was sent at a time.
func (bo *Book) HandleReply(lender string, re Reply, sent, now time.Time) {
	if lender != bo.lender {
		return
	}
	bo.stamp, bo.stampAt = re.Stamp, now
	if re.Granted > 0 {
		bo.borrowed = put(bo.borrowed, lender, lease{re.Granted, sent.Add(re.TTL)})
	}
}

// HandleOffer handles an offer of a gateway that reports to this one. need is the number of units that
// this one needs itself, isRoot is set if it reports to no other.
func (bo *Book) HandleOffer(box string, of Offer, need float64, isRoot bool, now time.Time) Reply {
	bo.expire(now)
	re := Reply{Stamp: Stamp{Process: bo.Process, At: now.Sub(bo.Started)}}
	if of.Lent > 0 && of.Lent <= maxUnits && of.Term <= memberTerm && of.Stamp.Process == bo.Process {
		bo.loans = put(bo.loans, box, lease{of.Lent, bo.Started.Add(of.Stamp.At).Add(of.Term)})
	}
	if of.Wish <= 0 || of.Wish > maxUnits {
		delete(bo.wishes, box)
		return re
	}
	if bo.wishes == nil {
		bo.wishes = map[string]wish{}
	}
	bo.wishes[box] = wish{of.Wish, now}
	ttl := grantTTL
	if isRoot {
		ttl = rootGrantTTL
	}
	if units := bo.grantable(box, of.Wish, need, ttl, now); units >= minLoan {
		bo.granted = put(bo.granted, box, lease{units, now.Add(ttl)})
		re.Granted, re.TTL = units, ttl
	}
	return re
}

// maxUnits bounds the units in a message, far above the number of gateways.
const maxUnits = 10_000

// grantable returns how many units can be granted to a borrower: its part of what is left beyond this
// gateway's own need, in proportion to the wishes. Capacity at the end of the grant counts, since it may
// only decrease until then.
func (bo *Book) grantable(box string, wished, need float64, ttl time.Duration, now time.Time) float64 {
	others := bo.spent(now) - bo.granted[box].most(now)
	capacity := bo.capacity(now.Add(ttl))
	lent := 0.0
	for _, le := range bo.lent {
		lent += le.most(now)
	}
	spare := max(0, capacity-lent-max(MinUnits, min(1, need)))
	excess := max(0, need-1) + bo.wished(now)
	return min(wished, wished*spare/excess, capacity-others-MinUnits)
}

// expire drops the leases that are over.
func (bo *Book) expire(now time.Time) {
	for _, all := range []map[string]leases{bo.lent, bo.granted, bo.borrowed, bo.loans} {
		for box, le := range all {
			if all[box] = le.valid(now); len(all[box]) == 0 {
				delete(all, box)
			}
		}
	}
	for box, wi := range bo.wishes {
		if now.Sub(wi.at) >= wishTTL {
			delete(bo.wishes, box)
		}
	}
}

// lease is a number of units until a time.
type lease struct {
	units float64
	until time.Time
}

// leases are successive leases between two gateways, of which the largest valid one counts.
type leases []lease

// most returns the number of units at a time.
func (le leases) most(at time.Time) float64 {
	units := 0.0
	for _, ls := range le {
		if at.Before(ls.until) {
			units = max(units, ls.units)
		}
	}
	return units
}

func (le leases) valid(now time.Time) leases {
	valid := le[:0]
	for _, ls := range le {
		if now.Before(ls.until) {
			valid = append(valid, ls)
		}
	}
	return valid
}

// put adds a lease. Those that it covers are dropped.
func put(all map[string]leases, box string, added lease) map[string]leases {
	if all == nil {
		all = map[string]leases{}
	}
	kept := leases{added}
	for _, ls := range all[box] {
		if ls.units > added.units || ls.until.After(added.until) {
			kept = append(kept, ls)
		}
	}
	all[box] = kept
	return all
}
