package selector

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatch(t *testing.T) {
	labels := Labels{"tier": "cheap", "stage": "new"}
	equal := func(name, value string) Selector { return Selector{Equal: map[string]string{name: value}} }
	not := func(se Selector) Selector { return Selector{Not: &se} }
	for _, tc := range []struct {
		name string
		se   Selector
		want bool
	}{
		{"everything", Selector{}, true},
		{"equal", equal("tier", "cheap"), true},
		{"another value", equal("tier", "strong"), false},
		{"no such label", equal("region", "x"), false},
		{"one of", Selector{In: map[string][]string{"tier": {"cheap", "mid"}}}, true},
		{"none of", Selector{In: map[string][]string{"tier": {"mid"}}}, false},
		{"one of, no such label", Selector{In: map[string][]string{"region": {""}}}, false},
		{"not", not(equal("stage", "new")), false},
		{"not another", not(equal("stage", "old")), true},
		{"not everything", not(Selector{}), false},
		{"and", Selector{And: []Selector{equal("tier", "cheap"), not(equal("stage", "old"))}}, true},
		{"and, one fails", Selector{And: []Selector{equal("tier", "cheap"), equal("stage", "old")}}, false},
	} {
		require.Equal(t, tc.want, tc.se.Match(labels), tc.name)
	}
}

func TestInvalidPath(t *testing.T) {
	empty := Selector{In: map[string][]string{"a": nil}}
	nested := Selector{Not: &Selector{And: []Selector{empty}}}
	require.Equal(t, "in.a", empty.InvalidPath())
	require.Equal(t, "not.and.in.a", nested.InvalidPath())
	require.Empty(t, (&Selector{}).InvalidPath())
}
