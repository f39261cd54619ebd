package poison

import (
	"maps"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/gossip"
)

// CrashNotice propagates that a server's process has crashed. Its fields are exported because the codec
// needs them.
type CrashNotice struct {
	// Server is the key of the server instance.
	Server string `cbor:"1,keyasint"`
	// Age is the time since the crash, or since it was noticed if TimeUnknown is set.
	Age         time.Duration `cbor:"2,keyasint"`
	TimeUnknown bool          `cbor:"3,keyasint,omitempty"`
	// Hops is how many processes the notice has passed.
	Hops uint8 `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether a notice from another process is well-formed.
func (cn CrashNotice) Valid() bool {
	return cn.Server != "" && cn.Age >= 0 && cn.Hops < gossip.MaxHops
}

// Crashes holds the crashes that are propagated to other processes, whose requests may have caused them
// although none of their connections broke. The zero value holds none. It is not safe for concurrent
// use.
type Crashes struct {
	facts gossip.FactSet
	// times holds when each server crashed.
	times map[string]crashTime
}

// crashTime is when a server crashed, or when that was noticed if the time of the crash is not known.
type crashTime struct {
	at      time.Time
	unknown bool
}

// Add starts to propagate a crash. It reports whether it was not known.
func (cs *Crashes) Add(cn CrashNotice, now time.Time) bool {
	if cs.facts.Active(cn.Server) {
		return false
	}
	if cs.times == nil {
		cs.times = map[string]crashTime{}
	}
	cs.facts.Add(cn.Server, cn.Hops, now)
	cs.times[cn.Server] = crashTime{now.Add(-cn.Age), cn.TimeUnknown}
	return true
}

// Notices returns the notices that are due in a direction.
func (cs *Crashes) Notices(di gossip.Direction, now time.Time) []CrashNotice {
	var list []CrashNotice
	for _, fa := range cs.facts.Due(di, now) {
		ct := cs.times[fa.Key()]
		list = append(list, CrashNotice{Server: fa.Key(), Age: max(0, now.Sub(ct.at)), TimeUnknown: ct.unknown, Hops: fa.Hops()})
	}
	return list
}

// Expire drops the crashes that are no longer propagated.
func (cs *Crashes) Expire(now time.Time) {
	cs.facts.Tick(now)
	maps.DeleteFunc(cs.times, func(server string, _ crashTime) bool { return !cs.facts.Active(server) })
}
