// Package metrics holds the counters and gauges that every process publishes through expvar on its
// admin port.
package metrics

import (
	"expvar"
	"sync/atomic"
)

// The metrics. Those with a breakdown are maps, so that a new key needs no new metric name.
var (
	// StoreCalls counts calls to the key-value service by method, and failed calls as "failed".
	StoreCalls = expvar.NewMap("linnetrudder_store_calls")
	// Requests counts completed requests by the name of their result code.
	Requests = expvar.NewMap("linnetrudder_requests")
	// Attempts counts attempts at an agent by the name of their result code.
	Attempts = expvar.NewMap("linnetrudder_attempts")
	// In and Out count the traffic received and sent on connections between processes.
	In  = newTraffic("in")
	Out = newTraffic("out")
	// Intake counts the connections and unfinished requests of callers that were ended, by the reason.
	Intake = expvar.NewMap("linnetrudder_intake_ended")
	// Gauges holds the current sizes of the process's data structures.
	Gauges = expvar.NewMap("linnetrudder_gauges")
)

// Traffic counts bytes, frames and messages in one direction. It is updated for every token, so it
// uses atomic integers rather than an expvar map.
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

// AddMessage counts a message of size bytes with the given number of frames, of which data bytes are
// callers' data and the rest is control data.
func (tr *Traffic) AddMessage(size, data, frames int) {
	tr.control.Add(int64(size - data))
	tr.data.Add(int64(data))
	tr.frames.Add(int64(frames))
	tr.messages.Add(1)
}
