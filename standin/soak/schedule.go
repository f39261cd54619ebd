// Package soak runs real gateways as separate processes between stand-in callers,
// backend servers and a key-value service, injects faults from outside, and checks
// what callers and servers see against what is promised. The faults and their times
// come from a seed; which requests they hit does not repeat exactly.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	// Kill ends a gateway's process at once, Stop as planned, Pause stops it for a
	// while. Reload changes its settings file, half of the time to one that is not
	// valid.
	Kill   FaultKind = "kill"
	Stop   FaultKind = "stop"
	Pause  FaultKind = "pause"
	Reload FaultKind = "reload"
	// CallersReset resets the connections of a gateway's callers.
	CallersReset FaultKind = "callers-reset"
	// StoreCut breaks a gateway's way to the key-value service, StoreSilent holds up
	// what passes on it, StoreMute only what comes back, StoreDelay puts it off.
	StorePartition      FaultKind = "store-cut"
	StoreStall          FaultKind = "store-silent"
	StoreStallResponses FaultKind = "store-mute"
	StoreDelay          FaultKind = "store-delay"
	// StoreDown lets the service refuse everybody, StoreHang answer nobody,
	// StoreLoses make writes that it does not answer, StoreForgets drop its history
	// and StoreLapse end all leases.
	StoreDown           FaultKind = "store-down"
	StoreHang           FaultKind = "store-hang"
	StoreDropsResponses FaultKind = "store-loses"
	StoreCompaction     FaultKind = "store-forgets"
	StoreLeaseExpiry    FaultKind = "store-lapse"
	// StoreRestored lets the service go back to a copy that was made when the fault began; soon
	// after its end what was lost is written again.
	StoreRestore FaultKind = "store-restored"
	// ServerCrash ends a backend server without a word, ServerDrain as planned.
	ServerCrash FaultKind = "server-crash"
	ServerDrain FaultKind = "server-drain"
	// ServerGrey lets it fail part of its requests, ServerLoses run some and answer
	// them not, ServerGarbles give some another request's answer, ServerSlow take long.
	ServerErrors         FaultKind = "server-grey"
	ServerDropsResponses FaultKind = "server-loses"
	ServerWrongRequestID FaultKind = "server-garbles"
	ServerSlow           FaultKind = "server-slow"
	// ServerReset resets the connections to it, ServerSilent holds up what passes.
	ServerReset FaultKind = "server-reset"
	ServerStall FaultKind = "server-silent"
	// ServerAnnounces lets a server announce its shutdown in its answers some time before its
	// entry says so, ServerSheds reject everything and ask for a pause.
	ServerAnnouncesShutdown FaultKind = "server-announces"
	ServerShedsLoad         FaultKind = "server-sheds"
	// Poison lets a caller send one request again and again under which servers end.
	Poison FaultKind = "poison"
	// Configure changes the configuration, Revoke takes a key away.
	ConfigChange  FaultKind = "configure"
	KeyRevocation FaultKind = "revoke"
)

// gatewayKinds strike one gateway, storeKinds the key-value service, serverKinds
// one backend server, operatorKinds are an operator's changes.
var (
	gatewayKinds  = []FaultKind{Kill, Stop, Stop, Pause, Reload, CallersReset, StorePartition, StoreStall, StoreStallResponses, StoreDelay}
	storeKinds    = []FaultKind{StoreDown, StoreHang, StoreDropsResponses, StoreCompaction, StoreLeaseExpiry}
	serverKinds   = []FaultKind{ServerCrash, ServerDrain, ServerErrors, ServerDropsResponses, ServerWrongRequestID, ServerSlow, ServerReset, ServerStall}
	operatorKinds = []FaultKind{ConfigChange, KeyRevocation}
)

// Fault is one fault of a run.
type Fault struct {
	Kind FaultKind
	// Target is the number of the gateway or the backend server that is struck.
	Target int
	// From and Until are counted from the start of the run.
	Start, End time.Duration
}

// String describes the fault.
func (fa Fault) String() string {
	return fmt.Sprintf("%s %d %s to %s", fa.Kind, fa.Target, fa.Start, fa.End)
}

// Plan is what a seed draws.
type Plan struct {
	Seed              uint64
	Gateways, Servers int
	// Faults are ordered by their start. All are over by Calm, and the run ends at End.
	Faults         []Fault
	FaultsEnd, End time.Duration
}

const (
	// warmUp is the time before the first fault, calmFor that after the last.
	warmUp        = time.Second
	faultFreeTail = 5 * time.Second
	// longestFault bounds a fault.
	maxFaultDuration = 4 * time.Second
	// gap is the usual time between the starts of two faults: they overlap.
	meanFaultInterval = 450 * time.Millisecond
)

// WithPoison adds a request under which servers end, drawn apart, so that all other faults of
// a seed stay.
func (pl Plan) WithPoison() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+1))
	from := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)/2))
	pl.Faults = append(slices.Clone(pl.Faults), Fault{Kind: Poison, Start: from, End: pl.End})
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// reportFaults is how many faults WithReports adds of each kind.
const reportFaultsPerKind = 2

// WithReports adds servers that report their shutdown or a pause in their answers, drawn apart.
func (pl Plan) WithReports() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+2))
	pl.Faults = slices.Clone(pl.Faults)
	for range reportFaultsPerKind {
		for _, ki := range []FaultKind{ServerAnnouncesShutdown, ServerShedsLoad} {
			from := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)))
			until := min(pl.FaultsEnd, from+time.Duration(rn.Int64N(int64(maxFaultDuration))))
			pl.Faults = append(pl.Faults, Fault{Kind: ki, Target: rn.IntN(pl.Servers), Start: from, End: until})
		}
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// restores is how often WithRestores lets the service go back.
const restoreCount = 3

// WithRestores lets the key-value service go back to a copy some seconds old, drawn apart. Soon
// after each of them a server leaves and a key is revoked.
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

// Draw draws a plan for so many gateways and servers, with faults for a time.
func GeneratePlan(seed uint64, gateways, servers int, trouble time.Duration) Plan {
	rn := rand.New(rand.NewPCG(seed, seed))
	pl := Plan{Seed: seed, Gateways: gateways, Servers: servers, FaultsEnd: warmUp + trouble}
	pl.End = pl.FaultsEnd + faultFreeTail
	for at := warmUp; at < pl.FaultsEnd; at += time.Duration(rn.ExpFloat64() * float64(meanFaultInterval)) {
		fa := Fault{Start: at, End: min(pl.FaultsEnd, at+time.Duration(rn.Int64N(int64(maxFaultDuration))))}
		switch part := rn.IntN(10); {
		case part < 4:
			fa.Kind, fa.Target = gatewayKinds[rn.IntN(len(gatewayKinds))], rn.IntN(gateways)
		case part < 6:
			fa.Kind = storeKinds[rn.IntN(len(storeKinds))]
		case part < 9:
			fa.Kind, fa.Target = serverKinds[rn.IntN(len(serverKinds))], rn.IntN(servers)
		default:
			fa.Kind = operatorKinds[rn.IntN(len(operatorKinds))]
		}
		pl.Faults = append(pl.Faults, fa)
		if rn.IntN(4) == 0 {
			// Series: the same again soon.
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
