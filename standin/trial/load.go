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

// LoadScenario is the input of the load experiment: requests for one version to a small pool of
// servers.
type LoadScenario struct {
	// Load is the offered load divided by the capacity of the servers.
	Load float64
	// FirstTeamWeight is how many times as many requests the first team sends as each other team.
	FirstTeamWeight float64
	// HalfLostAt is when half of the servers become unreachable; zero for never. They return after
	// a third of Duration.
	HalfLostAt time.Duration
	Duration   time.Duration
	Seed       uint64
}

// The size and the timing of the simulated pool.
const (
	poolServers    = 12
	slotsPerServer = 4
	poolEntries    = 3
	poolTeams      = 5
	// meanServiceTime is the mean time that a request occupies a slot.
	meanServiceTime = time.Second
	// startDeadline is how long a client waits for its request to start.
	startDeadline = 2 * time.Second
	// maxServerQueue bounds the queue of a server's gate.
	maxServerQueue = 64
	// naiveRetries is how often a client retries under the round-robin strategy.
	naiveRetries = 3
)

// LoadOutcome is the result of one strategy in the load experiment.
type LoadOutcome struct {
	Strategy string
	// Goodput is the slot time of the requests that started by their deadline, divided by the
	// capacity.
	Goodput float64
	// WastedSlotTime is the slot time spent on requests whose clients had given up, divided by the
	// capacity.
	WastedSlotTime float64
	// OtherTeamsServed is the fraction of the other teams' requests that started by their deadline.
	OtherTeamsServed float64
	// RefusalLatency is the mean time from the arrival of a request to its refusal, in seconds.
	RefusalLatency float64
}

// String returns the outcome as a row of a Markdown table.
func (lo LoadOutcome) String() string {
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.3f |", lo.Strategy, lo.Goodput, lo.WastedSlotTime, lo.OtherTeamsServed, lo.RefusalLatency)
}

// CompareLoads runs both strategies on the same scenario.
func CompareLoads(ls LoadScenario) []LoadOutcome {
	return []LoadOutcome{ls.run("round robin, endless queues", &roundRobin{}), ls.run("linnetrudder", newPool())}
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

// event is a function that runs at a simulated time. Events at the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	if !eq[i].at.Equal(eq[j].at) {
		return eq[i].at.Before(eq[j].at)
	}
	return eq[i].seq < eq[j].seq
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(event)) }
func (eq *eventQueue) Pop() any {
	last := len(*eq) - 1
	ev := (*eq)[last]
	*eq = (*eq)[:last]
	return ev
}

// simulator runs events in the order of their simulated times and counts their results.
type simulator struct {
	events eventQueue
	seq    int
	ra     *rand.Rand
	up     [poolServers]bool
	// The totals from which the LoadOutcome is computed.
	usefulSeconds, wastedSeconds, refusals, refusalSeconds float64
	otherTeamRequests, otherTeamStarts                     float64
}

// schedule adds an event.
func (si *simulator) schedule(when time.Time, run func(now time.Time)) {
	si.seq++
	heap.Push(&si.events, event{when, si.seq, run})
}

// recordStart counts the slot time of a job that got a slot.
func (si *simulator) recordStart(jo *job, now time.Time) {
	if now.After(jo.deadline) {
		si.wastedSeconds += jo.service.Seconds()
		return
	}
	if jo.started {
		si.wastedSeconds += jo.service.Seconds()
		return
	}
	jo.started = true
	si.usefulSeconds += jo.service.Seconds()
	if jo.team != 0 {
		si.otherTeamStarts++
	}
}

// recordRefusal counts a refusal.
func (si *simulator) recordRefusal(jo *job, now time.Time) {
	si.refusals++
	si.refusalSeconds += now.Sub(jo.arrived).Seconds()
}

// dispatcher is a strategy that assigns jobs to servers.
type dispatcher interface {
	dispatch(si *simulator, jo *job, now time.Time)
	// serverDown and serverUp report that a server became unreachable or reachable.
	serverDown(si *simulator, server int, now time.Time)
	serverUp(si *simulator, server int, now time.Time)
}

// run simulates the scenario with one strategy.
func (ls LoadScenario) run(name string, di dispatcher) LoadOutcome {
	begin := time.Unix(1_800_000_000, 0)
	si := &simulator{ra: rand.New(rand.NewPCG(ls.Seed, 13))}
	for i := range si.up {
		si.up[i] = true
	}
	rate := ls.Load * poolServers * slotsPerServer / meanServiceTime.Seconds()
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		if now.Sub(begin) > ls.Duration {
			return
		}
		jo := ls.job(si, now)
		if jo.team != 0 {
			si.otherTeamRequests++
		}
		di.dispatch(si, jo, now)
		si.schedule(now.Add(time.Duration(si.ra.ExpFloat64()/rate*float64(time.Second))), arrive)
	}
	si.schedule(begin, arrive)
	if ls.HalfLostAt > 0 {
		for i := range poolServers / 2 {
			si.schedule(begin.Add(ls.HalfLostAt), func(now time.Time) { si.up[i] = false; di.serverDown(si, i, now) })
			si.schedule(begin.Add(ls.HalfLostAt+ls.Duration/3), func(now time.Time) { si.up[i] = true; di.serverUp(si, i, now) })
		}
	}
	for si.events.Len() > 0 {
		ev := heap.Pop(&si.events).(event)
		ev.run(ev.at)
	}
	capacity := poolServers * slotsPerServer * ls.Duration.Seconds()
	if ls.HalfLostAt > 0 {
		// Half of the servers are unreachable for a third of the time.
		capacity *= 1 - 1.0/6
	}
	return LoadOutcome{
		Strategy: name, Goodput: si.usefulSeconds / capacity, WastedSlotTime: si.wastedSeconds / capacity,
		OtherTeamsServed: si.otherTeamStarts / si.otherTeamRequests, RefusalLatency: si.refusalSeconds / math.Max(1, si.refusals),
	}
}

// job draws the next job. The first team's jobs are FirstTeamWeight times as likely as those of each
// other team.
func (ls LoadScenario) job(si *simulator, now time.Time) *job {
	team := 0
	if draw := si.ra.Float64() * (ls.FirstTeamWeight + poolTeams - 1); draw >= ls.FirstTeamWeight {
		team = 1 + int(draw-ls.FirstTeamWeight)
	}
	// Service times are log-normal with the mean meanServiceTime.
	const sigma = 0.5
	service := math.Exp(si.ra.NormFloat64()*sigma - sigma*sigma/2)
	return &job{
		team: min(team, poolTeams-1), arrived: now, deadline: now.Add(startDeadline),
		service: time.Duration(service * float64(meanServiceTime)), entry: si.ra.IntN(poolEntries),
	}
}

// roundRobin is the naive strategy: round robin over the servers, unbounded queues, and clients that
// give up at their deadline and retry. Servers execute jobs whose clients have given up.
type roundRobin struct {
	next    int
	queues  [poolServers][]*job
	running [poolServers]int
}

func (rr *roundRobin) dispatch(si *simulator, jo *job, now time.Time) {
	server := rr.next % poolServers
	rr.next++
	rr.queues[server] = append(rr.queues[server], jo)
	rr.startQueued(si, server, now)
	si.schedule(jo.deadline, func(now time.Time) {
		if jo.started {
			return
		}
		si.recordRefusal(jo, now)
		if jo.attempts < naiveRetries {
			retry := &job{team: jo.team, arrived: now, deadline: now.Add(startDeadline), service: jo.service, attempts: jo.attempts + 1}
			rr.dispatch(si, retry, now)
		}
	})
}

// startQueued starts queued jobs of a server while it has free slots.
func (rr *roundRobin) startQueued(si *simulator, server int, now time.Time) {
	for si.up[server] && rr.running[server] < slotsPerServer && len(rr.queues[server]) > 0 {
		jo := rr.queues[server][0]
		rr.queues[server] = rr.queues[server][1:]
		rr.running[server]++
		si.recordStart(jo, now)
		si.schedule(now.Add(jo.service), func(now time.Time) {
			rr.running[server]--
			rr.startQueued(si, server, now)
		})
	}
}

func (*roundRobin) serverDown(*simulator, int, time.Time) {}
func (rr *roundRobin) serverUp(si *simulator, server int, now time.Time) {
	rr.startQueued(si, server, now)
}

// systemPool is the strategy of linnetrudder: a balancer and retry budgets at each entry, a gate at each
// server.
type systemPool struct {
	balancers [poolEntries]balance.Balancer
	budgets   [poolEntries]budget.Teams
	gates     [poolServers]gate.Gate
	jobs      map[gate.Key]*job
	stream    uint64
}

// networkDelay is the one-way latency between an entry and an agent.
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

func (po *systemPool) dispatch(si *simulator, jo *job, now time.Time) {
	po.budgets[jo.entry].For(teamName(jo.team)).Deposit(now)
	po.send(si, jo, now)
}

func (po *systemPool) send(si *simulator, jo *job, now time.Time) {
	server, ok := po.balancers[jo.entry].Pick("m@v1", jo.triedServers, si.ra.Uint64())
	if !ok {
		si.recordRefusal(jo, now)
		return
	}
	jo.triedServers = append(jo.triedServers, server)
	jo.attempts++
	po.balancers[jo.entry].AttemptSent(server)
	po.stream++
	key := gate.Key{Link: fmt.Sprint(jo.entry), Stream: po.stream}
	po.jobs[key] = jo
	i := serverIndex(server)
	si.schedule(now.Add(networkDelay), func(now time.Time) {
		if !si.up[i] {
			po.retryOrRefuse(si, jo, now)
			return
		}
		at := &wire.Attempt{Team: teamName(jo.team), Version: "m@v1", WaitMS: max(0, jo.deadline.Sub(now).Milliseconds())}
		po.applyActions(si, i, po.gates[i].Submit(key, at, now), now)
		po.checkDeadline(si, i, jo)
	})
}

// checkDeadline makes the gate of a server check its deadlines shortly after that of a job.
func (po *systemPool) checkDeadline(si *simulator, i int, jo *job) {
	si.schedule(jo.deadline.Add(time.Millisecond), func(now time.Time) {
		if si.up[i] && !jo.started {
			po.applyActions(si, i, po.gates[i].Tick(now), now)
		}
	})
}

// applyActions carries out the actions of a gate: it starts jobs and returns rejected ones to their
// entry. The gate's load reaches the balancer networkDelay later.
func (po *systemPool) applyActions(si *simulator, i int, acs []gate.Action, now time.Time) {
	for _, ac := range acs {
		jo := po.jobs[ac.Key()]
		lo := po.gates[i].Load()
		if ac.Kind() == gate.Start {
			si.recordStart(jo, now)
			si.schedule(now.Add(networkDelay), func(time.Time) { po.balancers[jo.entry].SetLoad(serverName(i), lo) })
			si.schedule(now.Add(jo.service), func(now time.Time) { po.finish(si, i, ac.Key(), now) })
			continue
		}
		delete(po.jobs, ac.Key())
		si.schedule(now.Add(networkDelay), func(now time.Time) {
			po.balancers[jo.entry].SetLoad(serverName(i), lo)
			po.retryOrRefuse(si, jo, now)
		})
	}
}

func (po *systemPool) finish(si *simulator, i int, key gate.Key, now time.Time) {
	jo := po.jobs[key]
	delete(po.jobs, key)
	po.applyActions(si, i, po.gates[i].Ended(key, now), now)
	lo := po.gates[i].Load()
	si.schedule(now.Add(networkDelay), func(time.Time) { po.balancers[jo.entry].SetLoad(serverName(i), lo) })
}

// maxAttempts is how many servers an entry tries for a job.
const maxAttempts = 4

func (po *systemPool) retryOrRefuse(si *simulator, jo *job, now time.Time) {
	if jo.attempts >= maxAttempts || !now.Before(jo.deadline) || !po.budgets[jo.entry].For(teamName(jo.team)).Take(now) {
		si.recordRefusal(jo, now)
		return
	}
	po.send(si, jo, now)
}

func (po *systemPool) serverDown(_ *simulator, i int, _ time.Time) {
	for e := range po.balancers {
		po.balancers[e].LinkDown(serverName(i))
	}
}

func (po *systemPool) serverUp(_ *simulator, i int, now time.Time) {
	// An agent that reconnects asks a peer whether its configuration is current.
	po.gates[i].Tick(now)
	po.gates[i].Confirm(1, now)
	for e := range po.balancers {
		po.balancers[e].LinkUp(serverName(i), "dc")
	}
}
