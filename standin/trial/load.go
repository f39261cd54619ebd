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
	poolServers    = 12
	slotsPerServer = 4
	poolEntries    = 3
	poolTeams      = 5
	// rushService is the mean time that a request holds its slot.
	meanServiceTime = time.Second
	// rushDeadline is how long a caller waits for the start.
	startDeadline = 2 * time.Second
	// rushQueue bounds the queue of a server.
	maxServerQueue = 64
	// rushRetries is how often a caller of the naive system tries again.
	naiveRetries = 3
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
	return []LoadOutcome{ru.run("round robin, endless queues", &roundRobin{}), ru.run("linnetrudder", newPool())}
}

// job is one request in the experiment.
type job struct {
	team         int
	arrived      time.Time
	deadline     time.Time
	service      time.Duration
	entry        int
	attempts     int
	triedServers []string
	started      bool
}

// occurrence is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type eventQueue []event

func (ag eventQueue) Len() int { return len(ag) }
func (ag eventQueue) Less(i, j int) bool {
	if !ag[i].at.Equal(ag[j].at) {
		return ag[i].at.Before(ag[j].at)
	}
	return ag[i].seq < ag[j].seq
}
func (ag eventQueue) Swap(i, j int) { ag[i], ag[j] = ag[j], ag[i] }
func (ag *eventQueue) Push(x any)   { *ag = append(*ag, x.(event)) }
func (ag *eventQueue) Pop() any {
	last := len(*ag) - 1
	oc := (*ag)[last]
	*ag = (*ag)[:last]
	return oc
}

// stage is the experiment's clock and books.
type simulator struct {
	events eventQueue
	seq    int
	ra     *rand.Rand
	up     [poolServers]bool
	// good, wasted and the rest are the sums of the outcome.
	usefulSeconds, wastedSeconds, refusals, refusalSeconds float64
	otherTeamRequests, otherTeamStarts                     float64
}

func (st *simulator) schedule(when time.Time, do func(now time.Time)) {
	st.seq++
	heap.Push(&st.events, event{when, st.seq, do})
}

// began books a job that got a slot.
func (st *simulator) recordStart(jo *job, now time.Time) {
	if now.After(jo.deadline) {
		st.wastedSeconds += jo.service.Seconds()
		return
	}
	if jo.started {
		st.wastedSeconds += jo.service.Seconds()
		return
	}
	jo.started = true
	st.usefulSeconds += jo.service.Seconds()
	if jo.team != 0 {
		st.otherTeamStarts++
	}
}

// gaveUp books a refusal.
func (st *simulator) recordRefusal(jo *job, now time.Time) {
	st.refusals++
	st.refusalSeconds += now.Sub(jo.arrived).Seconds()
}

// system is what jobs are given to.
type dispatcher interface {
	dispatch(st *simulator, jo *job, now time.Time)
	// lose and regain switch a server.
	serverDown(st *simulator, server int, now time.Time)
	serverUp(st *simulator, server int, now time.Time)
}

func (ru LoadScenario) run(name string, sy dispatcher) LoadOutcome {
	begin := time.Unix(1_800_000_000, 0)
	st := &simulator{ra: rand.New(rand.NewPCG(ru.Seed, 13))}
	for i := range st.up {
		st.up[i] = true
	}
	rate := ru.Load * poolServers * slotsPerServer / meanServiceTime.Seconds()
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		if now.Sub(begin) > ru.Duration {
			return
		}
		jo := ru.job(st, now)
		if jo.team != 0 {
			st.otherTeamRequests++
		}
		sy.dispatch(st, jo, now)
		st.schedule(now.Add(time.Duration(st.ra.ExpFloat64()/rate*float64(time.Second))), arrive)
	}
	st.schedule(begin, arrive)
	if ru.HalfLostAt > 0 {
		for i := range poolServers / 2 {
			st.schedule(begin.Add(ru.HalfLostAt), func(now time.Time) { st.up[i] = false; sy.serverDown(st, i, now) })
			st.schedule(begin.Add(ru.HalfLostAt+ru.Duration/3), func(now time.Time) { st.up[i] = true; sy.serverUp(st, i, now) })
		}
	}
	for st.events.Len() > 0 {
		oc := heap.Pop(&st.events).(event)
		oc.run(oc.at)
	}
	capacity := poolServers * slotsPerServer * ru.Duration.Seconds()
	if ru.HalfLostAt > 0 {
		capacity *= 1 - 1.0/6
	}
	return LoadOutcome{
		Strategy: name, Goodput: st.usefulSeconds / capacity, WastedSlotTime: st.wastedSeconds / capacity,
		OtherTeamsServed: st.otherTeamStarts / st.otherTeamRequests, RefusalLatency: st.refusalSeconds / math.Max(1, st.refusals),
	}
}

func (ru LoadScenario) job(st *simulator, now time.Time) *job {
	// The first team sends Burst times what each of the others does.
	team := 0
	if draw := st.ra.Float64() * (ru.FirstTeamWeight + poolTeams - 1); draw >= ru.FirstTeamWeight {
		team = 1 + int(draw-ru.FirstTeamWeight)
	}
	// Service times are log-normal with the mean rushService.
	const sigma = 0.5
	service := math.Exp(st.ra.NormFloat64()*sigma - sigma*sigma/2)
	return &job{
		team: min(team, poolTeams-1), arrived: now, deadline: now.Add(startDeadline),
		service: time.Duration(service * float64(meanServiceTime)), entry: st.ra.IntN(poolEntries),
	}
}

// turns is the naive system: servers in turn, queues without an end, callers
// that give up at their deadline and try again.
type roundRobin struct {
	next    int
	queues  [poolServers][]*job
	running [poolServers]int
}

func (tu *roundRobin) dispatch(st *simulator, jo *job, now time.Time) {
	server := tu.next % poolServers
	tu.next++
	tu.queues[server] = append(tu.queues[server], jo)
	tu.startQueued(st, server, now)
	st.schedule(jo.deadline, func(now time.Time) {
		if jo.started {
			return
		}
		st.recordRefusal(jo, now)
		if jo.attempts < naiveRetries {
			again := &job{team: jo.team, arrived: now, deadline: now.Add(startDeadline), service: jo.service, attempts: jo.attempts + 1}
			tu.dispatch(st, again, now)
		}
	})
}

func (tu *roundRobin) startQueued(st *simulator, server int, now time.Time) {
	for st.up[server] && tu.running[server] < slotsPerServer && len(tu.queues[server]) > 0 {
		jo := tu.queues[server][0]
		tu.queues[server] = tu.queues[server][1:]
		tu.running[server]++
		st.recordStart(jo, now)
		st.schedule(now.Add(jo.service), func(now time.Time) {
			tu.running[server]--
			tu.startQueued(st, server, now)
		})
	}
}

func (*roundRobin) serverDown(*simulator, int, time.Time) {}
func (tu *roundRobin) serverUp(st *simulator, server int, now time.Time) {
	tu.startQueued(st, server, now)
}

// pool is the system: a board and a retry budget at each entry, a gate at each
// server.
type systemPool struct {
	balancers [poolEntries]balance.Balancer
	budgets   [poolEntries]budget.Teams
	gates     [poolServers]gate.Gate
	jobs      map[gate.Key]*job
	stream    uint64
}

// wireDelay is the way from an entry to an agent.
const networkDelay = 500 * time.Microsecond

func newPool() *systemPool {
	po := &systemPool{jobs: map[gate.Key]*job{}}
	doc := &config.Document{
		Models:   []config.Model{{Name: "m"}},
		Versions: []config.Version{{Model: "m", Name: "v1", State: config.Serving}},
		Grants:   []config.Grant{{Versions: &selector.Selector{}}},
	}
	for t := range poolTeams {
		doc.Teams = append(doc.Teams, config.Team{Name: teamName(t)})
	}
	for i := range poolServers {
		doc.Servers = append(doc.Servers, config.Server{
			Name: serverName(i), DataCentre: "dc", Slots: slotsPerServer, Versions: []string{"m@v1"},
		})
	}
	sn := config.Compile(1, doc)
	begin := time.Unix(1_800_000_000, 0)
	for i := range po.gates {
		po.gates[i] = gate.Gate{Server: serverName(i), MaxQueued: maxServerQueue}
		po.gates[i].Reconfigure(sn, begin)
		po.gates[i].Confirm(1, begin)
	}
	for e := range po.balancers {
		po.balancers[e] = balance.Balancer{DataCentre: "dc"}
		for i := range poolServers {
			po.balancers[e].LinkUp(serverName(i), "dc")
		}
		po.balancers[e].Reconfigure(sn)
		po.budgets[e] = budget.Teams{Ratio: 0.1}
	}
	return po
}

func serverName(i int) string { return fmt.Sprintf("s%d", i) }

func serverIndex(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name, "s%d", &n)
	return n
}

func (po *systemPool) dispatch(st *simulator, jo *job, now time.Time) {
	po.budgets[jo.entry].For(teamName(jo.team)).Deposit(now)
	po.send(st, jo, now)
}

func (po *systemPool) send(st *simulator, jo *job, now time.Time) {
	server, ok := po.balancers[jo.entry].Pick("m@v1", jo.triedServers, st.ra.Uint64())
	if !ok {
		st.recordRefusal(jo, now)
		return
	}
	jo.triedServers = append(jo.triedServers, server)
	jo.attempts++
	po.balancers[jo.entry].AttemptSent(server)
	po.stream++
	key := gate.Key{Link: fmt.Sprint(jo.entry), Stream: po.stream}
	po.jobs[key] = jo
	i := serverIndex(server)
	st.schedule(now.Add(networkDelay), func(now time.Time) {
		if !st.up[i] {
			po.retryOrRefuse(st, jo, now)
			return
		}
		at := &wire.Attempt{Team: teamName(jo.team), Version: "m@v1", WaitMS: max(0, jo.deadline.Sub(now).Milliseconds())}
		po.applyActions(st, i, po.gates[i].Submit(key, at, now), now)
		po.checkDeadline(st, i, jo)
	})
}

// watch lets the gate see the deadline of a job that may wait.
func (po *systemPool) checkDeadline(st *simulator, i int, jo *job) {
	st.schedule(jo.deadline.Add(time.Millisecond), func(now time.Time) {
		if st.up[i] && !jo.started {
			po.applyActions(st, i, po.gates[i].Tick(now), now)
		}
	})
}

func (po *systemPool) applyActions(st *simulator, i int, acs []gate.Action, now time.Time) {
	for _, ac := range acs {
		jo := po.jobs[ac.Key()]
		lo := po.gates[i].Load()
		if ac.Kind() == gate.Start {
			st.recordStart(jo, now)
			st.schedule(now.Add(networkDelay), func(time.Time) { po.balancers[jo.entry].SetLoad(serverName(i), lo) })
			st.schedule(now.Add(jo.service), func(now time.Time) { po.finish(st, i, ac.Key(), now) })
			continue
		}
		delete(po.jobs, ac.Key())
		st.schedule(now.Add(networkDelay), func(now time.Time) {
			po.balancers[jo.entry].SetLoad(serverName(i), lo)
			po.retryOrRefuse(st, jo, now)
		})
	}
}

func (po *systemPool) finish(st *simulator, i int, key gate.Key, now time.Time) {
	jo := po.jobs[key]
	delete(po.jobs, key)
	po.applyActions(st, i, po.gates[i].Ended(key, now), now)
	lo := po.gates[i].Load()
	st.schedule(now.Add(networkDelay), func(time.Time) { po.balancers[jo.entry].SetLoad(serverName(i), lo) })
}

// maxTries is how often the route tries servers.
const maxAttempts = 4

func (po *systemPool) retryOrRefuse(st *simulator, jo *job, now time.Time) {
	if jo.attempts >= maxAttempts || !now.Before(jo.deadline) || !po.budgets[jo.entry].For(teamName(jo.team)).Take(now) {
		st.recordRefusal(jo, now)
		return
	}
	po.send(st, jo, now)
}

func (po *systemPool) serverDown(_ *simulator, i int, _ time.Time) {
	for e := range po.balancers {
		po.balancers[e].LinkDown(serverName(i))
	}
}

func (po *systemPool) serverUp(_ *simulator, i int, now time.Time) {
	// An agent that comes back asks a peer whether its configuration is fresh.
	po.gates[i].Tick(now)
	po.gates[i].Confirm(1, now)
	for e := range po.balancers {
		po.balancers[e].LinkUp(serverName(i), "dc")
	}
}
