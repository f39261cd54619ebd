// Package soak runs real gateways as separate processes between simulated clients, backend servers
// and a key-value service, injects faults from outside, and checks what clients and servers observe
// against the gateways' guarantees. The faults and their times are derived from a seed; which requests
// they affect differs from run to run.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault. Its values appear in printed plans.
type FaultKind string

// The kinds of fault.
const (
	// Kill kills a gateway's process, Stop shuts it down gracefully, Pause suspends it for the
	// duration of the fault. Reload makes it load a truncated settings file and then the valid one
	// again.
	Kill   FaultKind = "kill"
	Stop   FaultKind = "stop"
	Pause  FaultKind = "pause"
	Reload FaultKind = "reload"
	// SignalSeries sends a gateway SIGTERM, with SIGHUP and a further SIGTERM while it stops, and starts it again.
	SignalSeries FaultKind = "signal-series"
	// CallersReset resets the connections of a gateway's clients.
	CallersReset FaultKind = "callers-reset"
	// StorePartition closes a gateway's connections to the key-value service, new ones at once.
	// StoreStall stalls the traffic in both directions, StoreStallResponses only the responses, and
	// StoreDelay delays the traffic.
	StorePartition      FaultKind = "store-cut"
	StoreStall          FaultKind = "store-silent"
	StoreStallResponses FaultKind = "store-mute"
	StoreDelay          FaultKind = "store-delay"
	// StoreDown makes the service refuse all requests, StoreHang leave all requests unanswered and
	// StoreDropsResponses apply writes without responding. StoreCompaction drops its event history,
	// StoreLeaseExpiry expires all leases.
	StoreDown           FaultKind = "store-down"
	StoreHang           FaultKind = "store-hang"
	StoreDropsResponses FaultKind = "store-loses"
	StoreCompaction     FaultKind = "store-forgets"
	StoreLeaseExpiry    FaultKind = "store-lapse"
	// StoreRestore restores the service, at the end of the fault, from a snapshot that was made at
	// its start; the lost entries are written again at most maxRewriteDelay later.
	StoreRestore FaultKind = "store-restored"
	// ConnectionsSilent makes the open connections of all gateways to the key-value service and to backend
	// servers silent for good; new ones work.
	ConnectionsSilent FaultKind = "connections-silent"
	// ServerCrash stops a backend server without notice, ServerDrain drains it first.
	ServerCrash FaultKind = "server-crash"
	ServerDrain FaultKind = "server-drain"
	// ServerErrors makes a backend server fail a fraction of its requests, ServerDropsResponses
	// execute a fraction without responding, ServerWrongRequestID respond to a fraction with another
	// request's id, and ServerSlow respond slowly.
	ServerErrors         FaultKind = "server-grey"
	ServerDropsResponses FaultKind = "server-loses"
	ServerWrongRequestID FaultKind = "server-garbles"
	ServerSlow           FaultKind = "server-slow"
	// ServerReset resets the connections to a backend server, ServerStall stalls their traffic.
	ServerReset FaultKind = "server-reset"
	ServerStall FaultKind = "server-silent"
	// ServerAnnouncesShutdown makes a server announce its shutdown in its responses some time before
	// its entry does, ServerShedsLoad reject all requests with a Retry-After.
	ServerAnnouncesShutdown FaultKind = "server-announces"
	ServerShedsLoad         FaultKind = "server-sheds"
	// Poison makes a client send copies of a request that crashes the servers that execute it.
	Poison FaultKind = "poison"
	// PoisonPart makes a client send requests of which no two are alike, with one part of their prompts
	// that crashes the servers that begin a response to it.
	PoisonPart FaultKind = "poison-part"
	// LargeConfig publishes a configuration with many more routes.
	LargeConfig FaultKind = "configure-large"
	// ConfigChange publishes a new version of the configuration, KeyRevocation revokes an API key. RouteRemoval removes
	// the route of removedPath, which a part of the requests uses in its plans.
	ConfigChange  FaultKind = "configure"
	KeyRevocation FaultKind = "revoke"
	RouteRemoval  FaultKind = "remove-route"
)

// gatewayKinds affect one gateway, storeKinds the key-value service and serverKinds one backend
// server; operatorKinds are changes made by an operator. A kind that is listed twice is drawn twice as
// often.
var (
	gatewayKinds  = []FaultKind{Kill, Stop, Stop, Pause, Reload, CallersReset, StorePartition, StoreStall, StoreStallResponses, StoreDelay}
	storeKinds    = []FaultKind{StoreDown, StoreHang, StoreDropsResponses, StoreCompaction, StoreLeaseExpiry}
	serverKinds   = []FaultKind{ServerCrash, ServerDrain, ServerErrors, ServerDropsResponses, ServerWrongRequestID, ServerSlow, ServerReset, ServerStall}
	operatorKinds = []FaultKind{ConfigChange, KeyRevocation}
)

// Fault is one fault of a plan.
type Fault struct {
	Kind FaultKind
	// Target is the index of the affected gateway or backend server.
	Target int
	// Start and End are relative to the start of the run.
	Start, End time.Duration
}

func (fa Fault) String() string {
	return fmt.Sprintf("%s %d %s to %s", fa.Kind, fa.Target, fa.Start, fa.End)
}

// Plan is the list of faults that is generated from a seed.
type Plan struct {
	Seed              uint64
	Gateways, Servers int
	// DataCentres is the number of data centres that the gateways are in, one if it is zero.
	DataCentres int
	// Faults are ordered by their start. Those that GeneratePlan draws end by FaultsEnd; the run
	// ends at End.
	Faults         []Fault
	FaultsEnd, End time.Duration
	// Operations is set if half of the callers perform operations.
	Operations bool
	// BriefStops is set if the grace period is shorter than the timeout of the routes.
	BriefStops bool
	// MissedEnds is set if backend servers learn late that a gateway has ended a connection, some by a reset only.
	MissedEnds bool
	// Crowds are the clients that don't keep to the limits.
	Crowds []ClientCrowd
}

const (
	// warmUp is the time before the first fault, faultFreeTail the time after the last.
	warmUp        = time.Second
	faultFreeTail = 5 * time.Second
	// maxFaultDuration bounds the duration of a fault.
	maxFaultDuration = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. It is shorter than most
	// faults last, so that they overlap.
	meanFaultInterval = 450 * time.Millisecond
)

// WithPoison adds a request that crashes the servers that execute it. It has a random source of its
// own, so that the other faults of the seed remain the same.
func (pl Plan) WithPoison() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+1))
	from := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)/2))
	pl.Faults = append(slices.Clone(pl.Faults), Fault{Kind: Poison, Start: from, End: pl.End})
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// WithPoisonPart adds requests with a part of their prompts that crashes servers. It has a random source
// of its own, so that the other faults of the seed remain the same.
func (pl Plan) WithPoisonPart() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+5))
	from := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)/2))
	pl.Faults = append(slices.Clone(pl.Faults), Fault{Kind: PoisonPart, Start: from, End: pl.End})
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// hasPoisonPart reports whether the plan has requests with a part that crashes servers.
func (pl Plan) hasPoisonPart() bool {
	return slices.ContainsFunc(pl.Faults, func(fa Fault) bool { return fa.Kind == PoisonPart })
}

// removedPath is the path of a route that RouteRemoval removes.
const removedPath = "/removed/x"

// removesRoute reports whether the plan removes the route of removedPath.
func (pl Plan) removesRoute() bool {
	return slices.ContainsFunc(pl.Faults, func(fa Fault) bool { return fa.Kind == RouteRemoval })
}

// seriesInterval is the mean time between the faults that WithOperations adds.
const seriesInterval = 700 * time.Millisecond

// WithOperations adds callers that perform operations, with bodies and retries, on connections that they use until
// they are closed, and gateways that are stopped, reloaded and reconfigured in overlapping series. It has a random
// source of its own, so that the other faults of the seed remain the same.
func (pl Plan) WithOperations() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+8))
	pl.Faults, pl.Operations = slices.Clone(pl.Faults), true
	for at := warmUp; at < pl.FaultsEnd; at += time.Duration(rn.ExpFloat64() * float64(seriesInterval)) {
		ki := []FaultKind{SignalSeries, SignalSeries, Reload, ConfigChange, Kill, Pause}[rn.IntN(6)]
		until := min(pl.FaultsEnd, at+time.Duration(rn.Int64N(int64(time.Second))))
		pl.Faults = append(pl.Faults, Fault{Kind: ki, Target: rn.IntN(pl.Gateways), Start: at, End: until})
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// reportFaultsPerKind is how many faults of each kind WithReports adds.
const reportFaultsPerKind = 2

// WithReports adds servers that report their shutdown or a pause in their responses. It has a random
// source of its own, so that the other faults of the seed remain the same.
func (pl Plan) WithReports() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+2))
	pl.Faults = slices.Clone(pl.Faults)
	for range reportFaultsPerKind {
		for _, ki := range []FaultKind{ServerAnnouncesShutdown, ServerShedsLoad} {
			pl.Faults = append(pl.Faults, pl.drawServerFault(rn, ki))
		}
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// drawServerFault draws the times and the server of a fault.
func (pl Plan) drawServerFault(rn *rand.Rand, ki FaultKind) Fault {
	from := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)))
	until := min(pl.FaultsEnd, from+time.Duration(rn.Int64N(int64(maxFaultDuration))))
	return Fault{Kind: ki, Target: rn.IntN(pl.Servers), Start: from, End: until}
}

// restoreCount is how many restores WithRestores adds.
const restoreCount = 3

// WithRestores adds restores of the key-value service from snapshots up to maxFaultDuration old. Up to
// maxRewriteDelay after each restore a server is drained and a key is revoked. It has a random source
// of its own, so that the other faults of the seed remain the same.
func (pl Plan) WithRestores() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+3))
	pl.Faults = slices.Clone(pl.Faults)
	for range restoreCount {
		from := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)))
		until := min(pl.FaultsEnd, from+time.Duration(rn.Int64N(int64(maxFaultDuration))))
		pl.Faults = append(pl.Faults, Fault{Kind: StoreRestore, Start: from, End: until})
		for _, ki := range []FaultKind{ServerDrain, KeyRevocation} {
			at := until + time.Duration(rn.Int64N(int64(maxRewriteDelay)))
			pl.Faults = append(pl.Faults, Fault{Kind: ki, Target: rn.IntN(pl.Servers), Start: at, End: at})
		}
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// silenceCount is how many silences WithSilences adds.
const silenceCount = 3

// WithSilences adds moments at which open connections become silent, each followed by a change of the
// configuration and the revocation of a key. It has a random source of its own, so that the other faults
// of the seed remain the same.
func (pl Plan) WithSilences() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+4))
	pl.Faults = slices.Clone(pl.Faults)
	for range silenceCount {
		at := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)))
		for _, ki := range []FaultKind{ConnectionsSilent, ConfigChange, KeyRevocation} {
			pl.Faults = append(pl.Faults, Fault{Kind: ki, Start: at, End: at})
			at += requestInterval
		}
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// WithMissedEnds makes backend servers learn late that a gateway has ended a connection: the packets that say so are lost
// on the way to one half of them, and the other half takes the end of a stream for one direction's.
func (pl Plan) WithMissedEnds() Plan {
	pl.MissedEnds = true
	return pl
}

// largeConfigCount is how many large configurations WithLargeConfigs adds.
const largeConfigCount = 3

// WithLargeConfigs adds configurations with many more routes, each followed by a server that drains. All
// gateways but the first two have small links to the key-value service. It has a random source of its
// own, so that the other faults of the seed remain the same.
func (pl Plan) WithLargeConfigs() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+6))
	pl.Faults = slices.Clone(pl.Faults)
	for range largeConfigCount {
		at := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)))
		pl.Faults = append(pl.Faults, Fault{Kind: LargeConfig, Start: at, End: at},
			Fault{Kind: ServerDrain, Target: rn.IntN(pl.Servers), Start: at + requestInterval, End: at + requestInterval})
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// hasLargeConfigs reports whether the plan has large configurations.
func (pl Plan) hasLargeConfigs() bool {
	return slices.ContainsFunc(pl.Faults, func(fa Fault) bool { return fa.Kind == LargeConfig })
}

// GeneratePlan generates the plan of a seed for a number of gateways and servers, with faults that
// start within faultTime after the warm-up.
func GeneratePlan(seed uint64, gateways, servers int, faultTime time.Duration) Plan {
	rn := rand.New(rand.NewPCG(seed, seed))
	pl := Plan{Seed: seed, Gateways: gateways, Servers: servers, FaultsEnd: warmUp + faultTime}
	pl.End = pl.FaultsEnd + faultFreeTail
	for at := warmUp; at < pl.FaultsEnd; at += time.Duration(rn.ExpFloat64() * float64(meanFaultInterval)) {
		fa := Fault{Start: at, End: min(pl.FaultsEnd, at+time.Duration(rn.Int64N(int64(maxFaultDuration))))}
		switch draw := rn.IntN(10); {
		case draw < 4:
			fa.Kind, fa.Target = gatewayKinds[rn.IntN(len(gatewayKinds))], rn.IntN(gateways)
		case draw < 6:
			fa.Kind = storeKinds[rn.IntN(len(storeKinds))]
		case draw < 9:
			fa.Kind, fa.Target = serverKinds[rn.IntN(len(serverKinds))], rn.IntN(servers)
		default:
			fa.Kind = operatorKinds[rn.IntN(len(operatorKinds))]
		}
		pl.Faults = append(pl.Faults, fa)
		if rn.IntN(4) == 0 {
			// One in four faults is repeated 300 ms later, to test series of faults.
			fa.Start += 300 * time.Millisecond
			fa.End = min(pl.FaultsEnd, fa.End+300*time.Millisecond)
			if fa.Start < pl.FaultsEnd {
				pl.Faults = append(pl.Faults, fa)
			}
		}
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}
