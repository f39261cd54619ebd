// Package order decides when an agent orders its backend server to load or
// unload versions, so that what the server holds follows the configuration. An
// order carries a fencing number that grows with each lease on the server; a
// holder whose lease is over, as after a freeze, gives no order, and a new one
// waits the old lease out, since not every server checks the number. Reconciler
// does no I/O and reads no clock.
package order

import (
	"slices"
	"time"
)

// Prefix is where the leases live in the key-value service.
const Prefix = "linnetrudder/leases/"

const (
	// leaseDuration is how long a lease lasts. It is taken only when there is an
	// order to give, and not renewed.
	leaseDuration = 30 * time.Second
	// clockMargin is what clocks may differ by, and how long an order may be under
	// way.
	clockMargin = 5 * time.Second
	// retryDelay is the time between two tries after one failed.
	retryDelay = 2 * time.Second
)

// Lease is the right to give orders to one server, as it is stored.
type Lease struct {
	// Holder is the holder's name, another one each time a process starts.
	Holder string `json:"holder"`
	// Fence grows by one with each lease.
	Fence uint64    `json:"fence"`
	Until time.Time `json:"until"`
}

// ActionKind is what the shell must do.
type ActionKind string

// The things to do.
const (
	// ListVersions asks the server what it holds.
	ListVersions ActionKind = "look"
	// ReadLease reads the lease from the store.
	ReadLease ActionKind = "read"
	// AcquireLease writes the lease by compare-and-swap.
	AcquireLease ActionKind = "take"
	// Load and Unload order the server.
	Load   ActionKind = "load"
	Unload ActionKind = "unload"
)

// Action is one thing to do.
type Action struct {
	do      ActionKind
	version string
	lease   Lease
	index   uint64
}

// Kind returns what to do.
func (ac Action) Kind() ActionKind { return ac.do }

// Version returns the version of an order.
func (ac Action) Version() string { return ac.version }

// Lease returns the lease to write, or the one that an order is given under.
func (ac Action) Lease() Lease { return ac.lease }

// Index returns what the stored lease's index must be.
func (ac Action) Index() uint64 { return ac.index }

// Reconciler keeps one server's versions. Its exported fields are set before use;
// it is not safe for concurrent use.
type Reconciler struct {
	// Holder names this process.
	Holder string

	// desired is what the configuration says, loaded what the server said.
	desired, loaded []string
	// listed is false until the server said what it holds after the last
	// order.
	listed bool
	// lease is the newest one read or taken; index is its place in the store.
	// read is false until the store was asked since the last failure.
	lease Lease
	index uint64
	leaseRead  bool
	// busy is true while an action is under way.
	busy      bool
	notBefore time.Time
}

// SetDesired says which versions the server is to hold.
func (re *Reconciler) SetDesired(versions []string) { re.desired = slices.Clone(versions) }

// HasVersion reports whether the server is known to hold a version.
func (re *Reconciler) HasVersion(version string) bool { return slices.Contains(re.loaded, version) }

// Next returns what to do now, if anything. running says whether work of a
// version is in progress; such a version is not unloaded.
func (re *Reconciler) Next(running func(version string) bool, now time.Time) (Action, bool) {
	if re.busy || now.Before(re.notBefore) {
		return Action{}, false
	}
	ac, ok := re.next(running, now)
	re.busy = ok
	return ac, ok
}

func (re *Reconciler) next(running func(string) bool, now time.Time) (Action, bool) {
	if !re.listed {
		return Action{do: ListVersions}, true
	}
	do, version := re.nextOrder(running)
	switch {
	case version == "":
		return Action{}, false
	case !re.leaseRead:
		return Action{do: ReadLease}, true
	case re.ownsLease(now):
		return Action{do: do, version: version, lease: re.lease}, true
	case now.Before(re.lease.Until.Add(clockMargin)) && re.lease.Holder != re.Holder:
		re.notBefore = re.lease.Until.Add(clockMargin)
		return Action{}, false
	}
	lease := Lease{Holder: re.Holder, Fence: re.lease.Fence + 1, Until: now.Add(leaseDuration)}
	return Action{do: AcquireLease, lease: lease, index: re.index}, true
}

// ownsLease reports whether the lease is held here for long enough to give an
// order.
func (re *Reconciler) ownsLease(now time.Time) bool {
	return re.lease.Holder == re.Holder && now.Add(clockMargin).Before(re.lease.Until)
}

// nextOrder returns the next order that brings the server closer to what is
// wanted: first loads, in the order of the configuration.
func (re *Reconciler) nextOrder(running func(string) bool) (ActionKind, string) {
	for _, version := range re.desired {
		if !slices.Contains(re.loaded, version) {
			return Load, version
		}
	}
	for _, version := range re.loaded {
		if !slices.Contains(re.desired, version) && !running(version) {
			return Unload, version
		}
	}
	return "", ""
}

// HandleList takes the server's word on what it holds.
func (re *Reconciler) HandleList(held []string, err error, now time.Time) {
	if re.finishAction(err, now) {
		re.loaded = slices.Clone(held)
		re.listed = true
	}
}

// HandleLease takes the lease as the store holds it; a missing one is the zero value
// with index zero.
func (re *Reconciler) HandleLease(lease Lease, index uint64, err error, now time.Time) {
	if re.finishAction(err, now) {
		re.lease, re.index, re.leaseRead = lease, index, true
	}
}

// HandleAcquire takes the outcome of a Take. Whether it was made or not, the store is
// read again: its answer has the index, and shows a write whose answer was
// lost.
func (re *Reconciler) HandleAcquire(err error, now time.Time) {
	re.leaseRead = false
	re.finishAction(err, now)
}

// HandleOrder takes the outcome of an order. A server that refuses it has seen a
// higher fencing number, so the lease is read again.
func (re *Reconciler) HandleOrder(err error, now time.Time) {
	re.listed = false
	if !re.finishAction(err, now) {
		re.leaseRead = false
	}
}

func (re *Reconciler) finishAction(err error, now time.Time) bool {
	re.busy = false
	if err != nil {
		re.notBefore = now.Add(retryDelay)
	}
	return err == nil
}
