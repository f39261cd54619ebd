package pace

import "time"

const (
	// serverMemory and allMemory are how many answers the newest sums reach back, for
	// one server and for all of a kind: some seconds and some minutes of one gateway
	// on the users' sites.
	serverMemory = 10
	allMemory    = 300
	// priorAnswers is the weight of the assumption that a server is as quick as the
	// others, in answers.
	priorAnswers = 3
	// leastWork is added to the work of each answer: what an answer takes beside its
	// prompt, in tokens of the smallest model (16 ms to the first token, at 56.6
	// tokens a ms on the users' servers).
	leastWork = 900
	// quickest and slowest bound what is believed of a server.
	quickest = 0.5
	slowest  = 6
)

// sums are decayed sums of how long answers took, and how long they would have taken
// at a usual pace, both in seconds.
type sums struct{ took, usual float64 }

func (su *sums) add(took, usual, memory float64) {
	keep := 1 - 1/memory
	su.took = keep*su.took + took
	su.usual = keep*su.usual + usual
}

// Relative knows how slow servers are compared with each other, from how long the
// heads of their answers take for so much work: since their hardware is slower,
// since something ails them, or since others send them more. The zero value takes
// all for equal. It is not safe for concurrent use.
type Relative struct {
	// kinds holds, by kind of answer, the time taken and the work in tokens.
	kinds   map[string]*sums
	servers map[string]*sums
}

// Observe notes an answer of a kind, whose prompt was so much work in tokens.
func (re *Relative) Observe(server, kind string, work float64, took time.Duration) {
	if re.kinds == nil {
		re.kinds, re.servers = map[string]*sums{}, map[string]*sums{}
	}
	if re.kinds[kind] == nil {
		re.kinds[kind] = &sums{}
	}
	if re.servers[server] == nil {
		re.servers[server] = &sums{}
	}
	all := re.kinds[kind]
	all.add(took.Seconds(), work+leastWork, allMemory)
	usual := all.took / all.usual * (work + leastWork)
	re.servers[server].add(took.Seconds(), usual, serverMemory)
}

// Factor returns how many times as long as usual a server takes.
func (re *Relative) Factor(server string) float64 {
	su := re.servers[server]
	if su == nil || su.usual <= 0 {
		return 1
	}
	// The prior counts as so many answers of this server's usual size.
	prior := priorAnswers * su.usual / serverMemory
	return min(slowest, max(quickest, (su.took+prior)/(su.usual+prior)))
}

// Forget drops a server that is gone.
func (re *Relative) Forget(server string) { delete(re.servers, server) }
