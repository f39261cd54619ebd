package rollout

import "slices"

const (
	// badServers is the part of the servers tried that must have given bad
	// answers: a bad version is bad everywhere, while a failing server of a good
	// one is alone or with few (the users' disruptions strike up to a fifth).
	badServers = 0.3
	// badConcentrated is that part where a trial is gathered on few servers: a fifth of them
	// fails by themselves on bad days, and of eight two do more often than not.
	badConcentrated = 0.5
	// suspectRate is the part of a server's answers from which bad ones count
	// against it.
	suspectRate = 0.2
	// fewestBad is the least number of such servers, if there are so many.
	fewestBad = 2
)

// spread counts the outcomes of each server of the new version, to tell a bad version
// from bad servers. The zero value knows none.
type spread struct{ servers map[string]serverOutcomes }

// serverOutcomes counts what one server answered.
type serverOutcomes struct{ tried, bad int }

// suspect reports whether the server's bad answers are more than chance ones.
func (so serverOutcomes) suspect() bool {
	return so.bad > 0 && float64(so.bad) >= suspectRate*float64(so.tried)
}

func (sp *spread) mark(server string, bad bool) {
	if sp.servers == nil {
		sp.servers = map[string]serverOutcomes{}
	}
	so := sp.servers[server]
	so.tried++
	if bad {
		so.bad++
	}
	sp.servers[server] = so
}

// markAll notes servers that gave another gateway bad answers.
func (sp *spread) markAll(servers []string) {
	for _, server := range servers {
		sp.mark(server, true)
	}
}

// suspects returns the servers that count as bad, in order.
func (sp *spread) suspects() []string {
	var list []string
	for server, so := range sp.servers {
		if so.suspect() {
			list = append(list, server)
		}
	}
	slices.Sort(list)
	return list
}

// wide reports whether bad answers came from enough of the servers.
func (sp *spread) wide(concentrated bool) bool {
	part := badServers
	if concentrated {
		part = badConcentrated
	}
	bad, seen := len(sp.suspects()), len(sp.servers)
	return bad >= min(fewestBad, seen) && float64(bad) >= part*float64(seen)
}
