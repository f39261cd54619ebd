// Package metrics holds the counters that every process publishes through
// expvar on its admin port.
package metrics

import (
	"expvar"
	"sync/atomic"
)

// The counters. Each is a map so that a new part of one needs no new name.
var (
	// StoreCalls counts calls to the key-value service by method, and those
	// that failed.
	StoreCalls = expvar.NewMap("linnetrudder_store_calls")
	// Requests counts closed requests by the name of their code.
	Requests = expvar.NewMap("linnetrudder_requests")
	// Attempts counts attempts at an agent by the name of their code.
	Attempts = expvar.NewMap("linnetrudder_attempts")
	// In and Out count what comes and goes on connections between processes.
	In  = newTraffic("in")
	Out = newTraffic("out")
	// Gauges holds the present sizes of what the process keeps.
	Gauges = expvar.NewMap("linnetrudder_gauges")
)

// Traffic counts bytes, frames and messages in one direction. It is counted
// for every token, so its counters are plain numbers.
type Traffic struct {
	control, data, frames, messages atomic.Int64
}

func newTraffic(direction string) *Traffic {
	tr := &Traffic{}
	expvar.Publish("linnetrudder_link_"+direction, expvar.Func(func() any {
		return map[string]int64{
			"control_bytes": tr.control.Load(),
			"data_bytes":    tr.data.Load(),
			"frames":        tr.frames.Load(),
			"messages":      tr.messages.Load(),
		}
	}))
	return tr
}

// AddMessage counts one message: its size, how much of that is callers' data, and
// its frames.
func (tr *Traffic) AddMessage(size, data, frames int) {
	tr.control.Add(int64(size - data))
	tr.data.Add(int64(data))
	tr.frames.Add(int64(frames))
	tr.messages.Add(1)
}
