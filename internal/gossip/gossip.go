// Package gossip decides which facts a gateway propagates to other gateways, and for how long.
// Facts travel with the reports of load: from a gateway to its collector, between collectors, and
// from a collector to its gateways. It does no I/O and reads no clock.
package gossip

import (
	"maps"
	"time"
)

const (
	// FactLifetime is how long a fact is propagated. Reports are sent ten times per second, so
	// that a few of them may be lost.
	FactLifetime = time.Second
	// MaxFactsPerReport bounds the facts of one kind in one report, at about 25 B each.
	MaxFactsPerReport = 64
	// longestNotice bounds how long a notice may hold.
	longestNotice = time.Hour
	// MaxHops is how many gateways a fact may pass. Without a bound it would circulate
	// forever: each gateway adds the transfer time to its age unnoticed.
	MaxHops = 3
)

// Direction is the role of the gateway that a report goes to.
type Direction string

// The peers.
const (
	// ToCollector is a gateway's collector.
	ToCollector Direction = "to collector"
	// BetweenCollectors is another collector.
	BetweenCollectors Direction = "between collectors"
	// ToMember is a gateway that reports to this collector.
	ToMember Direction = "to member"
)

// hops returns the most gateways that a fact for the peer may have passed. Collectors exchange only what
// their own groups learned.
func (pe Direction) hops() uint8 {
	switch pe {
	case ToCollector:
		return 0
	case BetweenCollectors:
		return 1
	default:
		return MaxHops - 1
	}
}

// Fact is a fact to propagate.
type Fact struct {
	key  string
	hops uint8
}

// Key returns the name under which the fact was learned.
func (fa Fact) Key() string { return fa.key }

// Hops returns how many gateways the fact has passed.
func (fa Fact) Hops() uint8 { return fa.hops }

// learned is a fact that is being propagated.
type learned struct {
	at   time.Time
	hops uint8
}

// FactSet holds the facts of one kind that are being propagated. The zero value is empty. It is not
// safe for concurrent use.
type FactSet struct{ facts map[string]learned }

// Add begins to propagate a fact that has passed a number of gateways, zero if it was observed here.
// A fact that is learned again is propagated for another KeepFor.
func (sp *FactSet) Add(key string, hops uint8, now time.Time) {
	if sp.facts == nil {
		sp.facts = map[string]learned{}
	}
	sp.facts[key] = learned{at: now, hops: hops}
}

// Due returns the facts for a report to a peer.
func (sp *FactSet) Due(to Direction, now time.Time) []Fact {
	var list []Fact
	for key, le := range sp.facts {
		if le.hops <= to.hops() && now.Sub(le.at) < FactLifetime && len(list) < MaxFactsPerReport {
			list = append(list, Fact{key: key, hops: le.hops})
		}
	}
	return list
}

// Active reports whether a fact is still being propagated.
func (sp *FactSet) Active(key string) bool {
	_, ok := sp.facts[key]
	return ok
}

// Forget stops propagating a fact.
func (sp *FactSet) Forget(key string) { delete(sp.facts, key) }

// Tick drops the facts that are no longer propagated.
func (sp *FactSet) Tick(now time.Time) {
	maps.DeleteFunc(sp.facts, func(_ string, le learned) bool { return now.Sub(le.at) >= FactLifetime })
}

// Notice propagates one report of a server. Its fields are exported because the codec needs
// them.
type Notice struct {
	// Server is the key of one life of a server.
	Server string `cbor:"1,keyasint"`
	// Age is how long ago it was observed.
	Age time.Duration `cbor:"2,keyasint"`
	// Hops is how many gateways the notice has passed.
	Hops uint8 `cbor:"3,keyasint,omitempty"`
	// Duration is for how long it holds, counted from Age; zero if it has no end.
	Duration time.Duration `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether a notice from another process is well-formed.
func (no *Notice) Valid() bool {
	return no.Server != "" && no.Age >= 0 && no.Hops < MaxHops && no.Duration >= 0 && no.Duration <= longestNotice
}
