// Package routing holds the routing table of a gateway: which requests belong
// to which route, which services answer a route, and whose keys are accepted.
// A table is immutable; a newer configuration is a newer table.
package routing

import "time"

// Kind says what may be repeated on a route.
type Kind string

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming answers are server-sent events.
	Streaming Kind = "streaming"
)

// Document is a whole configuration as an adapter decodes it. Its fields are
// exported because it is data without behaviour.
type Document struct {
	// Version grows with every configuration.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route is one rule of the table.
type Route struct {
	Name string
	// Host and Prefix select requests; Prefix starts and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Target is the latency within which an answer has its full worth.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is in time.
	Gap time.Duration
	// Attempts is the most backend servers that may run one request.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued on another backend server.
	Resumable bool
	// Models are the models that may answer, smallest first; empty for a plain
	// service.
	Models []string
	// Split divides the route between services; the weights are positive.
	Split []Share
}

// Idempotent reports whether a request of the route may run more than once.
func (ro *Route) Idempotent() bool {
	return ro.Kind == Safe || ro.Kind == Streaming && ro.Resumable
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Costs holds the cost of 1,000 generated tokens by model.
	Costs map[string]float64
	// ColdFor is how long a server is cold after a start, ColdPerSecond how many requests
	// a second it bears then from all gateways together; zero for no bound.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Team is a customer and the keys that prove it.
type Team struct {
	Name string
	Keys []string
	// Priority comes before the route's; nil if the team has none.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
