package trial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/balance"
	"github.com/linnetrudder/linnetrudder/internal/budget"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/gate"
	"github.com/linnetrudder/linnetrudder/internal/selector"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Rush is the input of the load experiment: requests for one version on a few
// servers.
type LoadScenario struct {
	// Load is the requests over what the servers can do.
	Load float64
	// Burst is how many times its share the first team sends.
	FirstTeamWeight float64
	// LostAt is when half the servers are lost; zero for never. They come back
	// after a third of the time.
	HalfLostAt time.Duration
	Duration   time.Duration
	Seed       uint64
}

// The shape of the pool.
const (
	rushServers = 12
	rushSlots   = 4
	rushEntries = 3
	rushTeams   = 5
	// rushService is the mean time that a request holds its slot.
	rushService = time.Second
	// rushDeadline is how long a caller waits for the start.
	rushDeadline = 2 * time.Second
	// rushQueue bounds the queue of a server.
	rushQueue = 64
	// rushRetries is how often a caller of the naive system tries again.
	rushRetries = 3
)

// RushOutcome is what came of it.
type LoadOutcome struct {
	Strategy string
	// Goodput is the requests that started in time, over what the servers can
	// do.
	Goodput float64
	// Wasted is the slot time spent on requests whose callers had gone.
	WastedSlotTime float64
	// Others is the part of the other teams' requests that started in time.
	OtherTeamsServed float64
	// Refused is the mean time until a refused caller knows, in seconds.
	RefusalLatency float64
}

func (ru LoadOutcome) String() string {
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.3f |", ru.Strategy, ru.Goodput, ru.WastedSlotTime, ru.OtherTeamsServed, ru.RefusalLatency)
}

// Loads runs both strategies on the same rush.
func CompareLoads(ru LoadScenario) []LoadOutcome {
	return []LoadOutcome{ru.run("round robin, endless queues", &turns{}), ru.run("linnetrudder", newPool())}
}

// job is one request in the experiment.
type job struct {
	team     int
	arrived  time.Time
	deadline time.Time
	service  time.Duration
	entry    int
	tries    int
	tried    []string
	started  bool
}

// occurrence is something that happens at a time.
type occurrence struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type agenda []occurrence

func (ag agenda) Len() int { return len(ag) }
func (ag agenda) Less(i, j int) bool {
	if !ag[i].at.Equal(ag[j].at) {
		return ag[i].at.Before(ag[j].at)
	}
	return ag[i].seq < ag[j].seq
}
func (ag agenda) Swap(i, j int) { ag[i], ag[j] = ag[j], ag[i] }
func (ag *agenda) Push(x any)   { *ag = append(*ag, x.(occurrence)) }
func (ag *agenda) Pop() any {
	last := len(*ag) - 1
	oc := (*ag)[last]
	*ag = (*ag)[:last]
	return oc
}

// stage is the experiment's clock and books.
type stage struct {
	agenda agenda
	seq    int
	ra     *rand.Rand
	up     [rushServers]bool
	// good, wasted and the rest are the sums of the outcome.
	good, wasted, refused, refusedFor float64
	others, othersGood                float64
}

func (st *stage) at(when time.Time, do func(now time.Time)) {
	st.seq++
	heap.Push(&st.agenda, occurrence{when, st.seq, do})
}

// began books a job that got a slot.
func (st *stage) began(jo *job, now time.Time) {
	if now.After(jo.deadline) {
		st.wasted += jo.service.Seconds()
		return
	}
	if jo.started {
		st.wasted += jo.service.Seconds()
		return
	}
	jo.started = true
	st.good += jo.service.Seconds()
	if jo.team != 0 {
		st.othersGood++
	}
}

// gaveUp books a refusal.
func (st *stage) gaveUp(jo *job, now time.Time) {
	st.refused++
	st.refusedFor += now.Sub(jo.arrived).Seconds()
}

// system is what jobs are given to.
type system interface {
	arrive(st *stage, jo *job, now time.Time)
	// lose and regain switch a server.
	lose(st *stage, server int, now time.Time)
	regain(st *stage, server int, now time.Time)
}

func (ru LoadScenario) run(name string, sy system) LoadOutcome {
	begin := time.Unix(1_800_000_000, 0)
	st := &stage{ra: rand.New(rand.NewPCG(ru.Seed, 13))}
	for i := range st.up {
		st.up[i] = true
	}
	rate := ru.Load * rushServers * rushSlots / rushService.Seconds()
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		if now.Sub(begin) > ru.Duration {
			return
		}
		jo := ru.job(st, now)
		if jo.team != 0 {
			st.others++
		}
		sy.arrive(st, jo, now)
		st.at(now.Add(time.Duration(st.ra.ExpFloat64()/rate*float64(time.Second))), arrive)
	}
	st.at(begin, arrive)
	if ru.HalfLostAt > 0 {
		for i := range rushServers / 2 {
			st.at(begin.Add(ru.HalfLostAt), func(now time.Time) { st.up[i] = false; sy.lose(st, i, now) })
			st.at(begin.Add(ru.HalfLostAt+ru.Duration/3), func(now time.Time) { st.up[i] = true; sy.regain(st, i, now) })
		}
	}
	for st.agenda.Len() > 0 {
		oc := heap.Pop(&st.agenda).(occurrence)
		oc.do(oc.at)
	}
	capacity := rushServers * rushSlots * ru.Duration.Seconds()
	if ru.HalfLostAt > 0 {
		capacity *= 1 - 1.0/6
	}
	return LoadOutcome{
		Strategy: name, Goodput: st.good / capacity, WastedSlotTime: st.wasted / capacity,
		OtherTeamsServed: st.othersGood / st.others, RefusalLatency: st.refusedFor / math.Max(1, st.refused),
	}
}

func (ru LoadScenario) job(st *stage, now time.Time) *job {
	// The first team sends Burst times what each of the others does.
	team := 0
	if draw := st.ra.Float64() * (ru.FirstTeamWeight + rushTeams - 1); draw >= ru.FirstTeamWeight {
		team = 1 + int(draw-ru.FirstTeamWeight)
	}
	// Service times are log-normal with the mean rushService.
	const sigma = 0.5
	service := math.Exp(st.ra.NormFloat64()*sigma - sigma*sigma/2)
	return &job{
		team: min(team, rushTeams-1), arrived: now, deadline: now.Add(rushDeadline),
		service: time.Duration(service * float64(rushService)), entry: st.ra.IntN(rushEntries),
	}
}

// turns is the naive system: servers in turn, queues without an end, callers
// that give up at their deadline and try again.
type turns struct {
	next    int
	queues  [rushServers][]*job
	running [rushServers]int
}

func (tu *turns) arrive(st *stage, jo *job, now time.Time) {
	server := tu.next % rushServers
	tu.next++
	tu.queues[server] = append(tu.queues[server], jo)
	tu.fill(st, server, now)
	st.at(jo.deadline, func(now time.Time) {
		if jo.started {
			return
		}
		st.gaveUp(jo, now)
		if jo.tries < rushRetries {
			again := &job{team: jo.team, arrived: now, deadline: now.Add(rushDeadline), service: jo.service, tries: jo.tries + 1}
			tu.arrive(st, again, now)
		}
	})
}

func (tu *turns) fill(st *stage, server int, now time.Time) {
	for st.up[server] && tu.running[server] < rushSlots && len(tu.queues[server]) > 0 {
		jo := tu.queues[server][0]
		tu.queues[server] = tu.queues[server][1:]
		tu.running[server]++
		st.began(jo, now)
		st.at(now.Add(jo.service), func(now time.Time) {
			tu.running[server]--
			tu.fill(st, server, now)
		})
	}
}

func (*turns) lose(*stage, int, time.Time) {}
func (tu *turns) regain(st *stage, server int, now time.Time) {
	tu.fill(st, server, now)
}

// pool is the system: a board and a retry budget at each entry, a gate at each
// server.
type pool struct {
	boards  [rushEntries]balance.Balancer
	budgets [rushEntries]budget.Teams
	gates   [rushServers]gate.Gate
	jobs    map[gate.Key]*job
	stream  uint64
}

// wireDelay is the way from an entry to an agent.
const wireDelay = 500 * time.Microsecond

func newPool() *pool {
	po := &pool{jobs: map[gate.Key]*job{}}
	doc := &config.Document{
		Models:   []config.Model{{Name: "m"}},
		Versions: []config.Version{{Model: "m", Name: "v1", State: config.Serving}},
		Grants:   []config.Grant{{Versions: &selector.Selector{}}},
	}
	for t := range rushTeams {
		doc.Teams = append(doc.Teams, config.Team{Name: teamName(t)})
	}
	for i := range rushServers {
		doc.Servers = append(doc.Servers, config.Server{
			Name: serverName(i), DataCentre: "dc", Slots: rushSlots, Versions: []string{"m@v1"},
		})
	}
	sn := config.Compile(1, doc)
	begin := time.Unix(1_800_000_000, 0)
	for i := range po.gates {
		po.gates[i] = gate.Gate{Server: serverName(i), MaxQueued: rushQueue}
		po.gates[i].Reconfigure(sn, begin)
		po.gates[i].Confirm(1, begin)
	}
	for e := range po.boards {
		po.boards[e] = balance.Balancer{DataCentre: "dc"}
		for i := range rushServers {
			po.boards[e].LinkUp(serverName(i), "dc")
		}
		po.boards[e].Reconfigure(sn)
		po.budgets[e] = budget.Teams{Ratio: 0.1}
	}
	return po
}

func serverName(i int) string { return fmt.Sprintf("s%d", i) }

func serverNumber(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name, "s%d", &n)
	return n
}

func (po *pool) arrive(st *stage, jo *job, now time.Time) {
	po.budgets[jo.entry].For(teamName(jo.team)).Deposit(now)
	po.send(st, jo, now)
}

func (po *pool) send(st *stage, jo *job, now time.Time) {
	server, ok := po.boards[jo.entry].Pick("m@v1", jo.tried, st.ra.Uint64())
	if !ok {
		st.gaveUp(jo, now)
		return
	}
	jo.tried = append(jo.tried, server)
	jo.tries++
	po.boards[jo.entry].AttemptSent(server)
	po.stream++
	key := gate.Key{Link: fmt.Sprint(jo.entry), Stream: po.stream}
	po.jobs[key] = jo
	i := serverNumber(server)
	st.at(now.Add(wireDelay), func(now time.Time) {
		if !st.up[i] {
			po.refused(st, jo, now)
			return
		}
		at := &wire.Attempt{Team: teamName(jo.team), Version: "m@v1", WaitMS: max(0, jo.deadline.Sub(now).Milliseconds())}
		po.act(st, i, po.gates[i].Submit(key, at, now), now)
		po.watch(st, i, jo)
	})
}

// watch lets the gate see the deadline of a job that may wait.
func (po *pool) watch(st *stage, i int, jo *job) {
	st.at(jo.deadline.Add(time.Millisecond), func(now time.Time) {
		if st.up[i] && !jo.started {
			po.act(st, i, po.gates[i].Tick(now), now)
		}
	})
}

func (po *pool) act(st *stage, i int, acs []gate.Action, now time.Time) {
	for _, ac := range acs {
		jo := po.jobs[ac.Key()]
		lo := po.gates[i].Load()
		if ac.Kind() == gate.Start {
			st.began(jo, now)
			st.at(now.Add(wireDelay), func(time.Time) { po.boards[jo.entry].SetLoad(serverName(i), lo) })
			st.at(now.Add(jo.service), func(now time.Time) { po.ended(st, i, ac.Key(), now) })
			continue
		}
		delete(po.jobs, ac.Key())
		st.at(now.Add(wireDelay), func(now time.Time) {
			po.boards[jo.entry].SetLoad(serverName(i), lo)
			po.refused(st, jo, now)
		})
	}
}

func (po *pool) ended(st *stage, i int, key gate.Key, now time.Time) {
	jo := po.jobs[key]
	delete(po.jobs, key)
	po.act(st, i, po.gates[i].Ended(key, now), now)
	lo := po.gates[i].Load()
	st.at(now.Add(wireDelay), func(time.Time) { po.boards[jo.entry].SetLoad(serverName(i), lo) })
}

// maxTries is how often the route tries servers.
const maxTries = 4

func (po *pool) refused(st *stage, jo *job, now time.Time) {
	if jo.tries >= maxTries || !now.Before(jo.deadline) || !po.budgets[jo.entry].For(teamName(jo.team)).Take(now) {
		st.gaveUp(jo, now)
		return
	}
	po.send(st, jo, now)
}

func (po *pool) lose(_ *stage, i int, _ time.Time) {
	for e := range po.boards {
		po.boards[e].LinkDown(serverName(i))
	}
}

func (po *pool) regain(_ *stage, i int, now time.Time) {
	// An agent that comes back asks a peer whether its configuration is fresh.
	po.gates[i].Tick(now)
	po.gates[i].Confirm(1, now)
	for e := range po.boards {
		po.boards[e].LinkUp(serverName(i), "dc")
	}
}
