package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/keyvalue"
)

// pauseBetween is how long a caller waits between two requests.
const pauseBetween = 20 * time.Millisecond

// ask sends one request and notes what became of it. Callers don't ask again: each
// answer is looked at by itself.
func (py *play) ask(client *http.Client, ou *outcome) {
	defer func() { ou.done = time.Now() }()
	ou.sent = time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+py.members[ou.gateway].callers.Address()+ou.path, io.NopCloser(http.NoBody))
	if err != nil {
		ou.broken = true
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", ou.id)
	req.Header.Set("Authorization", "Bearer "+ou.key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if ou.poison {
		req.Header.Set(headerPoison, "1")
	}
	resp, err := client.Do(req)
	if err != nil {
		ou.broken = true
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ou.status, ou.body, ou.broken = resp.StatusCode, string(body), err != nil
}

// strike carries a fault out, from its start to its end.
func (py *play) strike(fa Fault) {
	switch fa.Kind {
	case Kill, Stop:
		py.replace(fa)
	case Pause:
		me := py.members[fa.Target]
		me.restarting.Lock()
		defer me.restarting.Unlock()
		_ = me.process.Signal(syscall.SIGSTOP)
		py.last(fa)
		_ = me.process.Signal(syscall.SIGCONT)
	case Reload:
		py.reload(fa)
	case CallersReset:
		py.members[fa.Target].callers.ResetConnections()
	case StorePartition, StoreStall, StoreStallResponses, StoreDelay:
		py.strikeWay(fa)
	case StoreDown, StoreHang, StoreDropsResponses:
		py.outage(fa.Kind, 1)
		py.last(fa)
		py.outage(fa.Kind, -1)
	case StoreCompaction:
		py.store.Compact()
	case StoreLeaseExpiry:
		py.store.ExpireLeases()
	case StoreRestore:
		py.restore(fa)
	case ConfigChange:
		py.configure()
	case KeyRevocation:
		py.revoke()
	case Poison:
		py.poison(fa)
	default:
		py.strikeServer(fa)
	}
}

// last waits for the end of a fault, which may have come while it waited for
// another one of the same gateway.
func (py *play) last(fa Fault) { time.Sleep(time.Until(py.rec.began.Add(fa.End))) }

// replace ends a gateway's process and starts it again.
func (py *play) replace(fa Fault) {
	me := py.members[fa.Target]
	me.restarting.Lock()
	defer me.restarting.Unlock()
	si := syscall.SIGTERM
	if fa.Kind == Kill || py.so.Defect == KillsOnStop {
		si = syscall.SIGKILL
	}
	_ = me.process.Signal(si)
	me.process.Wait(stopGrace + restartTime)
	if err := py.launch(fa.Target); err != nil {
		// The next check finds a gateway that serves nobody; its log says why.
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

// reload changes a gateway's settings file for a while and tells it so.
func (py *play) reload(fa Fault) {
	me := py.members[fa.Target]
	me.restarting.Lock()
	defer me.restarting.Unlock()
	good, err := os.ReadFile(me.settings)
	if err != nil {
		return
	}
	_ = os.WriteFile(me.settings, good[:len(good)/2], 0o600)
	_ = me.process.Signal(syscall.SIGHUP)
	time.Sleep(pauseBetween)
	_ = os.WriteFile(me.settings, good, 0o600)
	_ = me.process.Signal(syscall.SIGHUP)
}

// strikeWay harms a gateway's way to the key-value service.
func (py *play) strikeWay(fa Fault) {
	way := py.members[fa.Target].toStore
	switch fa.Kind {
	case StorePartition:
		way.SetPartitioned(true)
		defer way.SetPartitioned(false)
	case StoreStall:
		way.SetImpairment(fleet.Impairment{Stall: true})
	case StoreStallResponses:
		way.SetImpairment(fleet.Impairment{StallResponses: true})
	default:
		way.SetImpairment(fleet.Impairment{Delay: wayDelay})
	}
	py.last(fa)
	way.SetImpairment(fleet.Impairment{})
}

// wayDelay is what a delayed way adds.
const wayDelay = 150 * time.Millisecond

// outage begins or ends one of the service's own faults; several may overlap.
func (py *play) outage(ki FaultKind, by int) {
	py.mu.Lock()
	defer py.mu.Unlock()
	py.outages[ki] += by
	fa := keyvalue.Faults{
		Hang: py.outages[StoreHang] > 0, DropWriteResponses: py.outages[StoreDropsResponses] > 0,
		WithholdEvents: py.so.Defect == WithholdsEvents,
	}
	if py.outages[StoreDown] > 0 {
		fa.RefuseStatus = http.StatusServiceUnavailable
	}
	if py.so.Defect == OutageNeverEnds {
		fa.Hang = true
	}
	py.store.SetFaults(fa)
}

// strikeServer harms one backend server. One that ends is replaced, with a new id.
func (py *play) strikeServer(fa Fault) {
	py.mu.Lock()
	se := py.servers[fa.Target]
	py.mu.Unlock()
	switch fa.Kind {
	case ServerCrash:
		py.crash(se)
	case ServerDrain:
		py.substitute(fa.Target, se)
		py.drain(se)
	case ServerAnnouncesShutdown:
		se.strike(fa.Kind, 1)
		time.Sleep(unlistedShutdown)
		py.substitute(fa.Target, se)
		py.drain(se)
	case ServerReset:
		se.cable.ResetConnections()
	case ServerStall:
		se.cable.SetImpairment(fleet.Impairment{Stall: true})
		py.last(fa)
		se.cable.SetImpairment(fleet.Impairment{})
	default:
		se.strike(fa.Kind, 1)
		py.last(fa)
		se.strike(fa.Kind, -1)
	}
}

// unlistedShutdown is how long a server that announces its shutdown has an entry that says nothing of
// it.
const unlistedShutdown = 3 * time.Second

// crash ends a server without a word; its entry stays for a while.
func (py *play) crash(se *server) {
	py.mu.Lock()
	place := slices.Index(py.servers, se)
	py.mu.Unlock()
	py.substitute(place, se)
	se.stop()
	time.Sleep(lapse)
	se.unlisted.Store(true)
	py.store.Remove("servers/" + se.id)
}

// poisonEvery is the pause between two copies of a request under which servers end.
const poisonEvery = 400 * time.Millisecond

// poison sends copies of one request, each to another gateway.
func (py *play) poison(fa Fault) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * deadline}
	for n := 0; time.Until(py.rec.began.Add(fa.End)) > 0; n++ {
		ou := outcome{
			id: fmt.Sprint(poisonID, n), gateway: n % len(py.members), path: "/safe/poison", key: py.key(n + 1), poison: true,
		}
		if py.so.Defect == VariesPoison {
			ou.path += fmt.Sprint(n)
		}
		py.ask(client, &ou)
		py.mu.Lock()
		py.rec.poisoned = append(py.rec.poisoned, ou)
		py.mu.Unlock()
		time.Sleep(poisonEvery)
	}
}

// poisonID begins the ids of such copies.
const poisonID = "poison-"

// drain lets a server leave as planned: it serves on for a while after it said so.
func (py *play) drain(se *server) {
	se.drain()
	py.store.Set("servers/"+se.id, se.entry())
	py.mu.Lock()
	py.rec.drained[se.id] = time.Now()
	py.mu.Unlock()
	time.Sleep(2 * drainBound)
	se.unlisted.Store(true)
	py.store.Remove("servers/" + se.id)
	se.stop()
}

// substitute starts a server in the place of one that ends.
func (py *play) substitute(place int, old *server) {
	if err := py.addServer(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		return
	}
	py.mu.Lock()
	defer py.mu.Unlock()
	last := len(py.servers) - 1
	if py.servers[place] == old {
		py.servers[place], py.servers[last] = py.servers[last], old
	}
}
