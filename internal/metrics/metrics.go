// Package metrics holds the counters that every process publishes through
// expvar on its admin port.
package metrics

import "expvar"

// The counters. Each is a map so that a new part of one needs no new name.
var (
	// StoreCalls counts calls to the key-value service by method, and those
	// that failed.
	StoreCalls = expvar.NewMap("linnetrudder_store_calls")
	// Requests counts closed requests by the name of their code.
	Requests = expvar.NewMap("linnetrudder_requests")
	// Attempts counts attempts at an agent by the name of their code.
	Attempts = expvar.NewMap("linnetrudder_attempts")
	// LinkBytes counts bytes on connections between processes: control and
	// data, in and out.
	LinkBytes = expvar.NewMap("linnetrudder_link_bytes")
	// LinkFrames counts frames by kind.
	LinkFrames = expvar.NewMap("linnetrudder_link_frames")
	// Gauges holds the present sizes of what the process keeps.
	Gauges = expvar.NewMap("linnetrudder_gauges")
)
