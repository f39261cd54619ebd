// Package order decides when an agent orders its backend server to load or unload versions, so that
// the versions loaded on the server follow the configuration.
//
// Orders are given under a lease on the server, with a fencing number that grows with each lease.
// Since not every server checks the number, a holder whose lease has expired, for instance while
// its process was frozen, gives no order, and a new holder waits until the previous lease has
// expired. Reconciler does no I/O and reads no clock.
package order

import (
	"slices"
	"time"
)

// Prefix is the key prefix of the leases in the key-value service.
const Prefix = "linnetrudder/leases/"

const (
	// leaseDuration is the duration of a lease. A lease is acquired only when there is an order to
	// give, and not renewed.
	leaseDuration = 30 * time.Second
	// clockMargin is the maximum difference between two machines' clocks, and the maximum duration of
	// an order.
	clockMargin = 5 * time.Second
	// retryDelay is the time until the next action after a failed one.
	retryDelay = 2 * time.Second
)

// Lease is the stored form of the right to give orders to one server.
type Lease struct {
	// Holder is the name of the holding process, a new one at each start of the process.
	Holder string `json:"holder"`
	// Fence is the fencing number. It grows by one with each lease.
	Fence uint64    `json:"fence"`
	Until time.Time `json:"until"`
}

// ActionKind is the kind of an action that the agent takes for the Reconciler.
type ActionKind string

// The kinds of actions.
const (
	// ListVersions asks the server for its loaded versions.
	ListVersions ActionKind = "look"
	// ReadLease reads the lease from the store.
	ReadLease ActionKind = "read"
	// AcquireLease writes the lease by compare-and-swap.
	AcquireLease ActionKind = "take"
	// Load and Unload are the orders to the server.
	Load   ActionKind = "load"
	Unload ActionKind = "unload"
)

// Action is an action that the agent takes for the Reconciler.
type Action struct {
	kind    ActionKind
	version string
	lease   Lease
	index   uint64
}

// Kind returns the kind of the action.
func (ac Action) Kind() ActionKind { return ac.kind }

// Version returns the version to load or unload.
func (ac Action) Version() string { return ac.version }

// Lease returns the lease to write, or the lease that the order is given under.
func (ac Action) Lease() Lease { return ac.lease }

// Index returns the modify index of the stored lease that AcquireLease expects.
func (ac Action) Index() uint64 { return ac.index }

// Reconciler brings the loaded versions of one server in line with the configuration. Its exported
// fields are set before use; it is not safe for concurrent use.
type Reconciler struct {
	// Holder is the name under which this process acquires leases.
	Holder string

	// desired holds the versions in the configuration, loaded those that the server listed last.
	desired, loaded []string
	// listed is false until the server has listed its versions after the last order.
	listed bool
	// lease is the lease as last read or written, index its modify index in the store.
	lease Lease
	index uint64
	// leaseRead is false at first, and after each write of the lease and each failed order, until the
	// lease has been read.
	leaseRead bool
	// busy is true while an action is in progress.
	busy bool
	// notBefore is the earliest time of the next action.
	notBefore time.Time
}

// SetDesired sets the versions that the server is to have loaded.
func (re *Reconciler) SetDesired(versions []string) { re.desired = slices.Clone(versions) }

// HasVersion reports whether the server listed the version when it was last asked.
func (re *Reconciler) HasVersion(version string) bool { return slices.Contains(re.loaded, version) }

// Next returns the next action, if there is one now. running reports whether requests of a version
// are in progress; such a version is not unloaded.
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
		return Action{kind: ListVersions}, true
	}
	kind, version := re.nextOrder(running)
	switch {
	case version == "":
		return Action{}, false
	case !re.leaseRead:
		return Action{kind: ReadLease}, true
	case re.ownsLease(now):
		return Action{kind: kind, version: version, lease: re.lease}, true
	case now.Before(re.lease.Until.Add(clockMargin)) && re.lease.Holder != re.Holder:
		re.notBefore = re.lease.Until.Add(clockMargin)
		return Action{}, false
	}
	lease := Lease{Holder: re.Holder, Fence: re.lease.Fence + 1, Until: now.Add(leaseDuration)}
	return Action{kind: AcquireLease, lease: lease, index: re.index}, true
}

// ownsLease reports whether this process holds the lease for at least another clockMargin, which is
// enough to give an order.
func (re *Reconciler) ownsLease(now time.Time) bool {
	return re.lease.Holder == re.Holder && now.Add(clockMargin).Before(re.lease.Until)
}

// nextOrder returns the next order towards the desired versions: loads first, in the order of the
// configuration.
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

// HandleList processes the server's list of loaded versions.
func (re *Reconciler) HandleList(versions []string, err error, now time.Time) {
	if re.finishAction(err, now) {
		re.loaded = slices.Clone(versions)
		re.listed = true
	}
}

// HandleLease processes the stored lease. A missing lease is the zero value with index zero.
func (re *Reconciler) HandleLease(lease Lease, index uint64, err error, now time.Time) {
	if re.finishAction(err, now) {
		re.lease, re.index, re.leaseRead = lease, index, true
	}
}

// HandleAcquire processes the outcome of an AcquireLease. The lease is read again in any case,
// since only a read returns the index, and shows whether a write with a lost answer was made.
func (re *Reconciler) HandleAcquire(err error, now time.Time) {
	re.leaseRead = false
	re.finishAction(err, now)
}

// HandleOrder processes the outcome of an order. The lease is read again after a failure, since a
// server that refuses an order has seen a higher fencing number.
func (re *Reconciler) HandleOrder(err error, now time.Time) {
	re.listed = false
	if !re.finishAction(err, now) {
		re.leaseRead = false
	}
}

// finishAction records the outcome of an action and reports whether it succeeded.
func (re *Reconciler) finishAction(err error, now time.Time) bool {
	re.busy = false
	if err != nil {
		re.notBefore = now.Add(retryDelay)
	}
	return err == nil
}
