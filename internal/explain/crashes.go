package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

// endsUnder tells which servers ended under copies of a request until it ended itself, and
// since when it was blocked at its box.
func (st *Explainer) endsUnder(end *line) []string {
	if end.Print == "" {
		return nil
	}
	slices.SortStableFunc(st.copies, func(a, b line) int { return a.Time.Compare(b.Time) })
	var told, servers, copies []string
	for i := range st.copies {
		li := &st.copies[i]
		switch {
		case li.Time.After(end.Time):
		case li.Event == event.RequestBlocked && li.Print == end.Print && li.Box == end.Box:
			told = append(told, fmt.Sprintf("It had been blocked at %s for %s.", end.Box, since(li, end)))
		case li.Event == event.ServerEnded:
			servers, copies = li.name(end.Print, servers, copies)
		}
	}
	if len(servers) == 0 {
		return told
	}
	under := fmt.Sprintf("Servers that ended just after they began a copy of it: %s (requests %s).",
		strings.Join(servers, ", "), strings.Join(copies, ", "))
	return append([]string{under}, told...)
}

// name adds a server that ended under copies of a request, and their ids, each once.
func (li *line) name(wanted string, servers, copies []string) (withServer, withCopies []string) {
	for _, suspect := range li.Prints {
		id, suspected, _ := strings.Cut(suspect, " ")
		if suspected != wanted {
			continue
		}
		if !slices.Contains(servers, li.Server) {
			servers = append(servers, li.Server)
		}
		if !slices.Contains(copies, id) {
			copies = append(copies, id)
		}
	}
	return servers, copies
}
