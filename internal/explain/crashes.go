package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

// crashes describes which servers crashed, before the request ended, while they ran requests with its
// fingerprint, and how long that fingerprint had been blocked at the box.
func (ex *Explainer) crashes(end *record) []string {
	if end.Fingerprint == "" {
		return nil
	}
	slices.SortStableFunc(ex.crashRecords, func(a, b record) int { return a.Time.Compare(b.Time) })
	var sentences, servers, requests []string
	for i := range ex.crashRecords {
		rc := &ex.crashRecords[i]
		switch {
		case rc.Time.After(end.Time):
		case rc.Event == event.RequestBlocked && rc.blocks(end) && rc.Box == end.Box:
			sentences = append(sentences, rc.blockSentence(end))
		case rc.Event == event.ServerEnded:
			servers, requests = rc.addSuspects(end.Fingerprint, servers, requests)
		}
	}
	if len(servers) == 0 {
		return sentences
	}
	crashed := fmt.Sprintf("Servers that crashed just after they started an identical request: %s (requests %s).",
		strings.Join(servers, ", "), strings.Join(requests, ", "))
	return append([]string{crashed}, sentences...)
}

// blockSentence describes a block that applies to a request.
func (rc *record) blockSentence(end *record) string {
	if rc.Part == "" {
		return fmt.Sprintf("It had been blocked at %s for %s.", end.Box, since(rc, end))
	}
	whose := "of team " + rc.Team
	if rc.AllTeams {
		whose = "of all teams"
	}
	return fmt.Sprintf("Part %s of its prompt, in requests %s, had been blocked at %s for %s: %d servers had crashed under %d different requests with it; blocked by %s until %s.",
		rc.Part, whose, end.Box, since(rc, end), rc.Crashes, rc.Requests, rc.By, rc.Until.UTC().Format(time.RFC3339))
}

// addSuspects returns the two lists with the server of a crash record, and the IDs of the requests
// with the given fingerprint that it was running, added. It adds no duplicates.
func (rc *record) addSuspects(fingerprint string, servers, requests []string) (allServers, allRequests []string) {
	for _, suspect := range rc.Fingerprints {
		id, suspected, _ := strings.Cut(suspect, " ")
		if suspected != fingerprint {
			continue
		}
		if !slices.Contains(servers, rc.Server) {
			servers = append(servers, rc.Server)
		}
		if !slices.Contains(requests, id) {
			requests = append(requests, id)
		}
	}
	return servers, requests
}
