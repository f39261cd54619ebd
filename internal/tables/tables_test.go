// Package tables checks the tables of the docs against the code. With -update
// it writes them.
package tables

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

var update = flag.Bool("update", false, "write the tables")

func check(t *testing.T, path, want string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(want), 0o600))
	}
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run go test ./internal/tables -update")
}

func TestCodes(t *testing.T) {
	var sb strings.Builder
	sb.WriteString("# Result codes\n\nEvery answer that is an error, every refusal and every failed command carries\n" +
		"one of these numbers. \"Run\" is what a caller may conclude of its request.\n" +
		"\"Come back\" is the least time after which the same request may do better; an\n" +
		"answer may name a longer one. A dash means that it will not.\n\n" +
		"| code | name | HTTP | run | come back | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	seen := map[string]bool{}
	for _, ro := range result.Rows() {
		back := "-"
		if ro.RetryAfter() > 0 {
			back = ro.RetryAfter().String()
		}
		fmt.Fprintf(&sb, "| %d | %s | %d | %s | %s | %s |\n", ro.Code(), ro.Name(), ro.Status(), ro.Run(), back, ro.Text())
		require.False(t, seen[ro.Name()] || seen[fmt.Sprint(ro.Code())], ro.Name())
		seen[ro.Name()], seen[fmt.Sprint(ro.Code())] = true, true
	}
	check(t, "../../docs/codes.md", sb.String())
}

func TestEvents(t *testing.T) {
	var sb strings.Builder
	sb.WriteString("# Events\n\nEvery process logs these events and keeps the newest for the time line\n" +
		"(`linnetrudderctl timeline`). Events of requests and attempts (200 to 399) are\n" +
		"logged at level debug, all others at level info.\n\n| event | name | meaning |\n| --- | --- | --- |\n")
	seen := map[event.ID]bool{}
	for _, ro := range event.Rows() {
		fmt.Fprintf(&sb, "| %d | %s | %s |\n", ro.ID(), ro.Name(), ro.Text())
		require.False(t, seen[ro.ID()], ro.Name())
		seen[ro.ID()] = true
	}
	check(t, "../../docs/events.md", sb.String())
}
