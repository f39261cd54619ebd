// Package routing implements the routing table of a gateway: which requests belong to which route,
// which services handle a route, and which API keys are accepted. A table is immutable; a newer
// configuration creates a new table.
package routing

import "time"

// Kind determines whether the requests of a route may be repeated.
type Kind string

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming responses are server-sent events.
	Streaming Kind = "streaming"
)

// Document is a complete configuration as decoded by an adapter. Its fields are exported because it
// is encoded.
type Document struct {
	// Version increases with every configuration.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route is an entry of the routing table.
type Route struct {
	Name string
	// Host and Prefix match requests. Prefix starts and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Target is the latency up to which an answer has its full value.
	Target time.Duration
	// Gap is the longest interval between two events of a stream that counts as in time.
	Gap time.Duration
	// Attempts is the maximum number of backend servers that may run a request.
	Attempts int
	// Priority is the priority of requests; 0 is the most urgent.
	Priority int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be resumed on another backend server.
	Resumable bool
	// Models lists the models that may answer, smallest first; empty for a plain service.
	Models []string
	// Split distributes requests over services. The weights are positive.
	Split []Share
}

// Idempotent reports whether a request of the route may run more than once.
func (ro *Route) Idempotent() bool {
	return ro.Kind == Safe || ro.Kind == Streaming && ro.Resumable
}

// Share is the weight of a service in a split.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Costs holds the cost of 1,000 generated tokens by model.
	Costs map[string]float64
	// ColdFor is how long a server is cold after its start. ColdPerSecond is the total rate of
	// requests from all gateways that a cold server can handle; zero for no limit.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Engine describes the model engine of the servers, nil for a plain service.
	Engine *Engine `cbor:",omitempty"`
}

// Engine describes the model engine that the servers of a service run. A field is zero if the
// operators give no value.
type Engine struct {
	// Slots is the number of requests that a server runs at once.
	Slots int
	// MemoryTokens is the number of tokens that the memory of a server holds, for running requests
	// and cached prompts together. TokenBytes is the size of a token in memory.
	MemoryTokens, TokenBytes int
	// LinkMbps is the capacity in Mbit/s of the link over which servers copy memory to each other.
	LinkMbps float64
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	// Moves is set if a running request can be moved to another server, Backups if its memory can be
	// copied to another server while it runs.
	Moves, Backups bool
	// HandleTTL is how long a server keeps a copy of a request's memory that nobody uses.
	HandleTTL time.Duration
	// CacheWatchers is the number of processes that may watch the cached prompts of a server.
	CacheWatchers int
	// MaxPin and MaxHold are the longest times for which memory can be pinned or held.
	MaxPin, MaxHold time.Duration
}

// Team is a customer and its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; nil if the team has none.
	Priority *int
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
