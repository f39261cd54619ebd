// Package selector implements label selectors. A selector is encoded as JSON and supports equality, set
// membership, negation and conjunction.
package selector

import (
	"slices"
	"strings"
)

// Labels are the labels that operators set on an object, by name.
type Labels map[string]string

// Selector is a condition on labels. It matches if all of its fields do; the zero value matches all
// labels.
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
		if path := se.Not.InvalidPath(); path != "" {
			return "not." + path
		}
	}
	for i := range se.And {
		if path := se.And[i].InvalidPath(); path != "" {
			return "and." + path
		}
	}
	return ""
}
