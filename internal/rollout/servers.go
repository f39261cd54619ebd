package rollout

import "slices"

const (
	// badServerPart is the minimum part of the tried servers that must have given bad answers. A
	// bad version is bad on all servers, while failing servers of a good version are few: the
	// users' disruptions affect up to a fifth.
	badServerPart = 0.3
	// badServerPartConcentrated is that part for a concentrated trial. Under disruptions a fifth of
	// the servers fail on their own, so that two of eight do more often than not.
	badServerPartConcentrated = 0.5
	// badServerRate is the part of a server's answers that must be bad for the server to count as
	// bad.
	badServerRate = 0.2
	// minBadServers is the minimum number of bad servers, unless fewer were tried.
	minBadServers = 2
)

// serverSet counts the outcomes of each server of the new version, to tell a bad version from bad
// servers. The zero value is empty.
type serverSet struct{ servers map[string]serverCounts }

// serverCounts counts the outcomes of one server.
type serverCounts struct{ tried, bad int }

// isBad reports whether the server's bad answers exceed what chance explains.
func (so serverCounts) isBad() bool {
	return so.bad > 0 && float64(so.bad) >= badServerRate*float64(so.tried)
}

func (sp *serverSet) add(server string, bad bool) {
	if sp.servers == nil {
		sp.servers = map[string]serverCounts{}
	}
	so := sp.servers[server]
	so.tried++
	if bad {
		so.bad++
	}
	sp.servers[server] = so
}

// addBad records servers that gave bad answers to another gateway.
func (sp *serverSet) addBad(servers []string) {
	for _, server := range servers {
		sp.add(server, true)
	}
}

// bad returns the servers that count as bad, sorted.
func (sp *serverSet) bad() []string {
	var list []string
	for server, so := range sp.servers {
		if so.isBad() {
			list = append(list, server)
		}
	}
	slices.Sort(list)
	return list
}

// widespread reports whether enough of the servers gave bad answers.
func (sp *serverSet) widespread(concentrated bool) bool {
	part := badServerPart
	if concentrated {
		part = badServerPartConcentrated
	}
	bad, seen := len(sp.bad()), len(sp.servers)
	return bad >= min(minBadServers, seen) && float64(bad) >= part*float64(seen)
}
