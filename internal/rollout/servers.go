package rollout

import (
	"math"
	"slices"
)

const (
	// badServerFraction is the minimum fraction of the tried servers that must have given bad
	// responses. A bad version is bad on all servers, while failing servers of a good version are
	// few: the users' disruptions affect up to a fifth.
	badServerFraction = 0.3
	// badServerFractionConcentrated is that fraction for a concentrated trial. Under disruptions a
	// fifth of the servers fail on their own, so that two of eight do more often than not.
	badServerFractionConcentrated = 0.5
	// badServerRate is the fraction of a server's responses that must be bad for the server to
	// count as bad.
	badServerRate = 0.2
	// minBadServers is the minimum number of bad servers, unless fewer were tried.
	minBadServers = 2
)

// serverSet counts the outcomes of each server of the new version, to tell a bad version from bad
// servers. The zero value is empty.
type serverSet struct{ servers map[string]serverCounts }

// serverCounts counts the outcomes of one server.
type serverCounts struct{ tried, bad int }

// isBad reports whether the server's bad responses exceed what chance explains.
func (sc serverCounts) isBad() bool {
	return sc.bad > 0 && float64(sc.bad) >= badServerRate*float64(sc.tried)
}

func (ss *serverSet) add(server string, bad bool) {
	if ss.servers == nil {
		ss.servers = map[string]serverCounts{}
	}
	sc := ss.servers[server]
	sc.tried++
	if bad {
		sc.bad++
	}
	ss.servers[server] = sc
}

// addBad records servers that gave bad responses to another gateway.
func (ss *serverSet) addBad(servers []string) {
	for _, server := range servers {
		ss.add(server, true)
	}
}

// bad returns the servers that count as bad, sorted.
func (ss *serverSet) bad() []string {
	var list []string
	for server, sc := range ss.servers {
		if sc.isBad() {
			list = append(list, server)
		}
	}
	slices.Sort(list)
	return list
}

// widespread reports whether enough of the servers gave bad responses. tried is the number of servers that
// gave any on all gateways, as far as it is known: others report only those with bad ones.
func (ss *serverSet) widespread(concentrated bool, tried float64) bool {
	fraction := badServerFraction
	if concentrated {
		fraction = badServerFractionConcentrated
	}
	bad, seen := len(ss.bad()), len(ss.servers)
	return bad >= min(minBadServers, seen) && float64(bad) >= fraction*max(tried, float64(seen))
}

// expectedTried returns how many of a number of servers are expected to have given any of the responses.
func expectedTried(servers, responses int) float64 {
	if servers == 0 {
		return 0
	}
	return float64(servers) * (1 - math.Pow(1-1/float64(servers), float64(responses)))
}
