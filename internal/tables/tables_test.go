// Package tables checks that the tables in the docs match the code. With -update it regenerates them.
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

var update = flag.Bool("update", false, "regenerate the tables")

func requireTable(t *testing.T, path, want string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(want), 0o600))
	}
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run go test ./internal/tables -update")
}

func TestCodesTable(t *testing.T) {
	var sb strings.Builder
	sb.WriteString("# Result codes\n\nEvery error answer, every refusal and every failed command carries one of these\n" +
		"numbers. \"Run\" states whether the request has run on a backend server. \"Retry\n" +
		"after\" is the least time after which the same request may succeed; an answer may\n" +
		"name a longer one. A dash means that it should not be retried unchanged.\n\n" +
		"| code | name | HTTP | run | retry after | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	seen := map[string]bool{}
	for _, ro := range result.Rows() {
		retryAfter := "-"
		if ro.RetryAfter() > 0 {
			retryAfter = ro.RetryAfter().String()
		}
		fmt.Fprintf(&sb, "| %d | %s | %d | %s | %s | %s |\n", ro.Code(), ro.Name(), ro.Status(), ro.Run(), retryAfter, ro.Text())
		require.False(t, seen[ro.Name()] || seen[fmt.Sprint(ro.Code())], ro.Name())
		seen[ro.Name()], seen[fmt.Sprint(ro.Code())] = true, true
	}
	requireTable(t, "../../docs/codes.md", sb.String())
}

func TestEventsTable(t *testing.T) {
	var sb strings.Builder
	sb.WriteString("# Events\n\nEvery process logs these events and records the newest in its timeline\n" +
		"(`linnetrudderctl timeline`). Events of requests and attempts (200 to 399) are\n" +
		"logged at level debug, all others at level info.\n\n| event | name | meaning |\n| --- | --- | --- |\n")
	seen := map[event.ID]bool{}
	for _, ro := range event.Rows() {
		fmt.Fprintf(&sb, "| %d | %s | %s |\n", ro.ID(), ro.Name(), ro.Text())
		require.False(t, seen[ro.ID()], ro.Name())
		seen[ro.ID()] = true
	}
	requireTable(t, "../../docs/events.md", sb.String())
}
