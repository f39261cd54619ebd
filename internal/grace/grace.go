// Package grace implements a grace period for names that are missing from the key-value service,
// which may have lost them: whoever wrote them may write them again before they are treated as
// removed. It does no I/O and reads no clock.
package grace

import (
	"slices"
	"time"
)

// Set holds names, each with a deadline. The zero value is empty. It is not safe for concurrent
// use.
type Set struct{ deadlines map[string]time.Time }

// Add adds a name with a deadline; a name that is in the set keeps its deadline.
func (se *Set) Add(name string, until time.Time) {
	if se.deadlines == nil {
		se.deadlines = map[string]time.Time{}
	}
	if _, ok := se.deadlines[name]; !ok {
		se.deadlines[name] = until
	}
}

// Remove removes a name, for instance because it was written again.
func (se *Set) Remove(name string) { delete(se.deadlines, name) }

// Contains reports whether a name is in the set.
func (se *Set) Contains(name string) bool {
	_, ok := se.deadlines[name]
	return ok
}

// Expire removes the names whose deadline has passed and returns them in order.
func (se *Set) Expire(now time.Time) []string {
	var expired []string
	for name, until := range se.deadlines {
		if !now.Before(until) {
			expired = append(expired, name)
			delete(se.deadlines, name)
		}
	}
	slices.Sort(expired)
	return expired
}
