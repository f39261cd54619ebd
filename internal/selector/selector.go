// Package selector implements label selectors. A selector is encoded as JSON and supports equality, set
// membership, negation and conjunction.
package selector

import (
	"slices"
	"strings"
)

// Labels are the labels that operators set on an object, by name.
type Labels map[string]string

// Selector is a condition on labels. All of its parts must be met; the zero value matches everything.
type Selector struct {
	// Equal holds the labels that must be present, with their exact values.
	Equal map[string]string `json:"equal,omitempty"`
	// In holds the labels that must be present, with the lists of their allowed values.
	In map[string][]string `json:"in,omitempty"`
	// Not is a selector that must not match, or nil.
	Not *Selector `json:"not,omitempty"`
	// And holds selectors that must all match.
	And []Selector `json:"and,omitempty"`
}

// Match reports whether the labels match the selector.
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

// InvalidPath returns the path of the first invalid part of the selector, which has an empty label name
// or an empty list of values, or "" if the selector is valid.
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
