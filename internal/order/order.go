// Package order decides when an agent orders its backend server to load or
// unload versions, so that what the server holds follows the configuration. An
// order carries a fencing number that grows with each lease on the server; a
// holder whose lease is over, as after a freeze, gives no order, and a new one
// waits the old lease out, since not every server checks the number. Keeper
// does no I/O and reads no clock.
package order

import (
	"slices"
	"time"
)

// Prefix is where the leases live in the key-value service.
const Prefix = "linnetrudder/leases/"

const (
	// leaseFor is how long a lease lasts. It is taken only when there is an
	// order to give, and not renewed.
	leaseFor = 30 * time.Second
	// margin is what clocks may differ by, and how long an order may be under
	// way.
	margin = 5 * time.Second
	// retryPause is the time between two tries after one failed.
	retryPause = 2 * time.Second
)

// Lease is the right to give orders to one server, as it is stored.
type Lease struct {
	// Holder is the holder's name, another one each time a process starts.
	Holder string `json:"holder"`
	// Fence grows by one with each lease.
	Fence uint64    `json:"fence"`
	Until time.Time `json:"until"`
}

// Do is what the shell must do.
type Do string

// The things to do.
const (
	// Look asks the server what it holds.
	Look Do = "look"
	// Read reads the lease from the store.
	Read Do = "read"
	// Take writes the lease by compare-and-swap.
	Take Do = "take"
	// Load and Unload order the server.
	Load   Do = "load"
	Unload Do = "unload"
)

// Action is one thing to do.
type Action struct {
	do      Do
	version string
	lease   Lease
	index   uint64
}

// Do returns what to do.
func (ac Action) Do() Do { return ac.do }

// Version returns the version of an order.
func (ac Action) Version() string { return ac.version }

// Lease returns the lease to write, or the one that an order is given under.
func (ac Action) Lease() Lease { return ac.lease }

// Index returns what the stored lease's index must be.
func (ac Action) Index() uint64 { return ac.index }

// Keeper keeps one server's versions. Its exported fields are set before use;
// it is not safe for concurrent use.
type Keeper struct {
	// Holder names this process.
	Holder string

	// wanted is what the configuration says, held what the server said.
	wanted, held []string
	// looked is false until the server said what it holds after the last
	// order.
	looked bool
	// lease is the newest one read or taken; index is its place in the store.
	// read is false until the store was asked since the last failure.
	lease Lease
	index uint64
	read  bool
	// busy is true while an action is under way.
	busy      bool
	notBefore time.Time
}

// Want says which versions the server is to hold.
func (ke *Keeper) Want(versions []string) { ke.wanted = slices.Clone(versions) }

// Holds reports whether the server is known to hold a version.
func (ke *Keeper) Holds(version string) bool { return slices.Contains(ke.held, version) }

// Next returns what to do now, if anything. running says whether work of a
// version is in progress; such a version is not unloaded.
func (ke *Keeper) Next(running func(version string) bool, now time.Time) (Action, bool) {
	if ke.busy || now.Before(ke.notBefore) {
		return Action{}, false
	}
	ac, ok := ke.next(running, now)
	ke.busy = ok
	return ac, ok
}

func (ke *Keeper) next(running func(string) bool, now time.Time) (Action, bool) {
	if !ke.looked {
		return Action{do: Look}, true
	}
	do, version := ke.difference(running)
	switch {
	case version == "":
		return Action{}, false
	case !ke.read:
		return Action{do: Read}, true
	case ke.mine(now):
		return Action{do: do, version: version, lease: ke.lease}, true
	case now.Before(ke.lease.Until.Add(margin)) && ke.lease.Holder != ke.Holder:
		ke.notBefore = ke.lease.Until.Add(margin)
		return Action{}, false
	}
	lease := Lease{Holder: ke.Holder, Fence: ke.lease.Fence + 1, Until: now.Add(leaseFor)}
	return Action{do: Take, lease: lease, index: ke.index}, true
}

// mine reports whether the lease is held here for long enough to give an
// order.
func (ke *Keeper) mine(now time.Time) bool {
	return ke.lease.Holder == ke.Holder && now.Add(margin).Before(ke.lease.Until)
}

// difference returns the next order that brings the server closer to what is
// wanted: first loads, in the order of the configuration.
func (ke *Keeper) difference(running func(string) bool) (Do, string) {
	for _, version := range ke.wanted {
		if !slices.Contains(ke.held, version) {
			return Load, version
		}
	}
	for _, version := range ke.held {
		if !slices.Contains(ke.wanted, version) && !running(version) {
			return Unload, version
		}
	}
	return "", ""
}

// Looked takes the server's word on what it holds.
func (ke *Keeper) Looked(held []string, err error, now time.Time) {
	if ke.done(err, now) {
		ke.held = slices.Clone(held)
		ke.looked = true
	}
}

// Have takes the lease as the store holds it; a missing one is the zero value
// with index zero.
func (ke *Keeper) Have(lease Lease, index uint64, err error, now time.Time) {
	if ke.done(err, now) {
		ke.lease, ke.index, ke.read = lease, index, true
	}
}

// Took takes the outcome of a Take. Whether it was made or not, the store is
// read again: its answer has the index, and shows a write whose answer was
// lost.
func (ke *Keeper) Took(err error, now time.Time) {
	ke.read = false
	ke.done(err, now)
}

// Ordered takes the outcome of an order. A server that refuses it has seen a
// higher fencing number, so the lease is read again.
func (ke *Keeper) Ordered(err error, now time.Time) {
	ke.looked = false
	if !ke.done(err, now) {
		ke.read = false
	}
}

func (ke *Keeper) done(err error, now time.Time) bool {
	ke.busy = false
	if err != nil {
		ke.notBefore = now.Add(retryPause)
	}
	return err == nil
}
