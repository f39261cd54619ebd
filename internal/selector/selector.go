// Package selector matches labels. A selector is written as JSON and has
// equality, membership, negation and conjunction.
package selector

import (
	"slices"
	"strings"
)

// Labels are the names and values that operators give to an object.
type Labels map[string]string

// Selector is one condition on labels. The zero value matches everything.
type Selector struct {
	// Equal holds labels that must be present with exactly this value.
	Equal map[string]string `json:"equal,omitempty"`
	// In holds labels whose value must be one of a list.
	In map[string][]string `json:"in,omitempty"`
	// Not must not match. It is nil if nothing is excluded.
	Not *Selector `json:"not,omitempty"`
	// And must match as a whole.
	And []Selector `json:"and,omitempty"`
}

// Match reports whether the labels meet every part of the selector.
func (se *Selector) Match(la Labels) bool {
	for na, want := range se.Equal {
		if got, ok := la[na]; !ok || got != want {
			return false
		}
	}
	for na, set := range se.In {
		got, ok := la[na]
		if !ok || !slices.Contains(set, got) {
			return false
		}
	}
	if se.Not != nil && se.Not.Match(la) {
		return false
	}
	for i := range se.And {
		if !se.And[i].Match(la) {
			return false
		}
	}
	return true
}

// InvalidPath returns the path of the first part that can never match, or "".
func (se *Selector) InvalidPath() string {
	for na := range se.Equal {
		if strings.TrimSpace(na) == "" {
			return "equal"
		}
	}
	for na, set := range se.In {
		if len(set) == 0 || strings.TrimSpace(na) == "" {
			return "in." + na
		}
	}
	if se.Not != nil {
		if pr := se.Not.InvalidPath(); pr != "" {
			return "not." + pr
		}
	}
	for i := range se.And {
		if pr := se.And[i].InvalidPath(); pr != "" {
			return "and." + pr
		}
	}
	return ""
}
