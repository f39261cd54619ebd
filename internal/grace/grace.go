// Package grace keeps what the key-value service no longer holds for a while, since it may have
// lost it and whoever wrote it may write it again. It does no I/O and reads no clock.
package grace

import (
	"slices"
	"time"
)

// Set holds names until a deadline each. The zero value is empty. It is not safe for concurrent
// use.
type Set struct{ deadlines map[string]time.Time }

// Add keeps a name until a deadline; one that is held already keeps its own.
func (se *Set) Add(name string, until time.Time) {
	if se.deadlines == nil {
		se.deadlines = map[string]time.Time{}
	}
	if _, ok := se.deadlines[name]; !ok {
		se.deadlines[name] = until
	}
}

// Remove forgets a name, as once it was written again.
func (se *Set) Remove(name string) { delete(se.deadlines, name) }

// Contains reports whether a name is held.
func (se *Set) Contains(name string) bool {
	_, ok := se.deadlines[name]
	return ok
}

// Expire forgets the names whose deadline is over and returns them in order.
func (se *Set) Expire(now time.Time) []string {
	var over []string
	for name, until := range se.deadlines {
		if !now.Before(until) {
			over = append(over, name)
			delete(se.deadlines, name)
		}
	}
	slices.Sort(over)
	return over
}
