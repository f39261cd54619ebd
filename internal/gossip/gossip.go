// Package gossip decides which facts a gateway propagates to other gateways, and for how long.
// Facts are included in the load reports: from a gateway to its collector, between collectors, and
// from a collector to its gateways. It does no I/O and reads no clock.
package gossip

import (
	"maps"
	"time"
)

const (
	// FactLifetime is how long a fact is propagated. Reports are sent ten times per second, so a
	// few may be lost.
	FactLifetime = time.Second
	// MaxFactsPerReport bounds the facts of one kind in one report, at about 25 B each.
	MaxFactsPerReport = 64
	// maxNoticeDuration bounds Notice.Duration.
	maxNoticeDuration = time.Hour
	// MaxHops is the maximum number of gateways that a fact passes. Without a bound it would
	// circulate indefinitely, since its age does not include the transfer times.
	MaxHops = 3
)

// Direction is the direction of a report.
type Direction string

// The directions.
const (
	// ToCollector is from a gateway to its collector.
	ToCollector Direction = "to collector"
	// BetweenCollectors is from one collector to another.
	BetweenCollectors Direction = "between collectors"
	// ToMember is from a collector to a gateway that reports to it.
	ToMember Direction = "to member"
)

// maxHops returns the maximum number of gateways that a fact may have passed. Collectors exchange
// only the facts that their own groups observed.
func (di Direction) maxHops() uint8 {
	switch di {
	case ToCollector:
		return 0
	case BetweenCollectors:
		return 1
	default:
		return MaxHops - 1
	}
}

// Fact is a propagated fact.
type Fact struct {
	key  string
	hops uint8
}

// Key returns the name under which the fact was added.
func (fa Fact) Key() string { return fa.key }

// Hops returns how many gateways the fact has passed.
func (fa Fact) Hops() uint8 { return fa.hops }

// activeFact is the state of a fact that is being propagated.
type activeFact struct {
	at   time.Time
	hops uint8
}

// FactSet holds the facts of one kind that are being propagated. The zero value is empty. It is not
// safe for concurrent use.
type FactSet struct{ facts map[string]activeFact }

// Add starts to propagate a fact that has passed a number of gateways, zero if it was observed
// here. If the fact is present already, its lifetime starts again.
func (fs *FactSet) Add(key string, hops uint8, now time.Time) {
	if fs.facts == nil {
		fs.facts = map[string]activeFact{}
	}
	fs.facts[key] = activeFact{at: now, hops: hops}
}

// Due returns the facts for a report.
func (fs *FactSet) Due(di Direction, now time.Time) []Fact {
	var list []Fact
	for key, af := range fs.facts {
		if af.hops <= di.maxHops() && now.Sub(af.at) < FactLifetime && len(list) < MaxFactsPerReport {
			list = append(list, Fact{key: key, hops: af.hops})
		}
	}
	return list
}

// Active reports whether a fact is still being propagated.
func (fs *FactSet) Active(key string) bool {
	_, ok := fs.facts[key]
	return ok
}

// Forget stops propagating a fact.
func (fs *FactSet) Forget(key string) { delete(fs.facts, key) }

// Tick drops the facts that are no longer propagated.
func (fs *FactSet) Tick(now time.Time) {
	maps.DeleteFunc(fs.facts, func(_ string, af activeFact) bool { return now.Sub(af.at) >= FactLifetime })
}

// Notice propagates a state that a server reported. Its fields are exported for encoding.
type Notice struct {
	// Server is the key of a server instance.
	Server string `cbor:"1,keyasint"`
	// Age is the time since the report.
	Age time.Duration `cbor:"2,keyasint"`
	// Hops is how many gateways the notice has passed.
	Hops uint8 `cbor:"3,keyasint,omitempty"`
	// Duration is how long the state lasts, counted from the report; zero if it has no end.
	Duration time.Duration `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether a notice from another process is well-formed.
func (no *Notice) Valid() bool {
	return no.Server != "" && no.Age >= 0 && no.Hops < MaxHops && no.Duration >= 0 && no.Duration <= maxNoticeDuration
}
