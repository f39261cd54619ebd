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
const requestInterval = 20 * time.Millisecond

// ask sends one request and notes what became of it. Callers don't ask again: each
// answer is looked at by itself.
func (py *soakRun) sendRequest(client *http.Client, ou *outcome) {
	defer func() { ou.done = time.Now() }()
	ou.sent = time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+py.gateways[ou.gateway].clientProxy.Address()+ou.path, io.NopCloser(http.NoBody))
	if err != nil {
		ou.incomplete = true
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", ou.id)
	req.Header.Set("Authorization", "Bearer "+ou.key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	if ou.poison {
		req.Header.Set(headerPoison, "1")
	}
	resp, err := client.Do(req)
	if err != nil {
		ou.incomplete = true
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ou.status, ou.body, ou.incomplete = resp.StatusCode, string(body), err != nil
}

// strike carries a fault out, from its start to its end.
func (py *soakRun) inject(fa Fault) {
	switch fa.Kind {
	case Kill, Stop:
		py.restartGateway(fa)
	case Pause:
		me := py.gateways[fa.Target]
		me.restartMu.Lock()
		defer me.restartMu.Unlock()
		_ = me.process.Signal(syscall.SIGSTOP)
		py.waitForEnd(fa)
		_ = me.process.Signal(syscall.SIGCONT)
	case Reload:
		py.reloadSettings(fa)
	case CallersReset:
		py.gateways[fa.Target].clientProxy.ResetConnections()
	case StorePartition, StoreStall, StoreStallResponses, StoreDelay:
		py.impairStoreConnection(fa)
	case StoreDown, StoreHang, StoreDropsResponses:
		py.addStoreFault(fa.Kind, 1)
		py.waitForEnd(fa)
		py.addStoreFault(fa.Kind, -1)
	case StoreCompaction:
		py.store.Compact()
	case StoreLeaseExpiry:
		py.store.ExpireLeases()
	case StoreRestore:
		py.restoreStore(fa)
	case ConfigChange:
		py.publishConfig()
	case KeyRevocation:
		py.revokeKey()
	case Poison:
		py.sendPoison(fa)
	default:
		py.injectServerFault(fa)
	}
}

// last waits for the end of a fault, which may have come while it waited for
// another one of the same gateway.
func (py *soakRun) waitForEnd(fa Fault) { time.Sleep(time.Until(py.history.start.Add(fa.End))) }

// replace ends a gateway's process and starts it again.
func (py *soakRun) restartGateway(fa Fault) {
	me := py.gateways[fa.Target]
	me.restartMu.Lock()
	defer me.restartMu.Unlock()
	si := syscall.SIGTERM
	if fa.Kind == Kill || py.runner.Defect == KillsOnStop {
		si = syscall.SIGKILL
	}
	_ = me.process.Signal(si)
	me.process.Wait(gracePeriod + restartTime)
	if err := py.startGateway(fa.Target); err != nil {
		// The next check finds a gateway that serves nobody; its log says why.
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

// reload changes a gateway's settings file for a while and tells it so.
func (py *soakRun) reloadSettings(fa Fault) {
	me := py.gateways[fa.Target]
	me.restartMu.Lock()
	defer me.restartMu.Unlock()
	good, err := os.ReadFile(me.settingsPath)
	if err != nil {
		return
	}
	_ = os.WriteFile(me.settingsPath, good[:len(good)/2], 0o600)
	_ = me.process.Signal(syscall.SIGHUP)
	time.Sleep(requestInterval)
	_ = os.WriteFile(me.settingsPath, good, 0o600)
	_ = me.process.Signal(syscall.SIGHUP)
}

// strikeWay harms a gateway's way to the key-value service.
func (py *soakRun) impairStoreConnection(fa Fault) {
	way := py.gateways[fa.Target].storeProxy
	switch fa.Kind {
	case StorePartition:
		way.SetPartitioned(true)
		defer way.SetPartitioned(false)
	case StoreStall:
		way.SetImpairment(fleet.Impairment{Stall: true})
	case StoreStallResponses:
		way.SetImpairment(fleet.Impairment{StallResponses: true})
	default:
		way.SetImpairment(fleet.Impairment{Delay: storeDelay})
	}
	py.waitForEnd(fa)
	way.SetImpairment(fleet.Impairment{})
}

// wayDelay is what a delayed way adds.
const storeDelay = 150 * time.Millisecond

// outage begins or ends one of the service's own faults; several may overlap.
func (py *soakRun) addStoreFault(ki FaultKind, by int) {
	py.mu.Lock()
	defer py.mu.Unlock()
	py.storeFaults[ki] += by
	fa := keyvalue.Faults{
		Hang: py.storeFaults[StoreHang] > 0, DropWriteResponses: py.storeFaults[StoreDropsResponses] > 0,
		WithholdEvents: py.runner.Defect == WithholdsEvents,
	}
	if py.storeFaults[StoreDown] > 0 {
		fa.RefuseStatus = http.StatusServiceUnavailable
	}
	if py.runner.Defect == OutageNeverEnds {
		fa.Hang = true
	}
	py.store.SetFaults(fa)
}

// strikeServer harms one backend server. One that ends is replaced, with a new id.
func (py *soakRun) injectServerFault(fa Fault) {
	py.mu.Lock()
	se := py.servers[fa.Target]
	py.mu.Unlock()
	switch fa.Kind {
	case ServerCrash:
		py.crashServer(se)
	case ServerDrain:
		py.replaceServer(fa.Target, se)
		py.drainServer(se)
	case ServerAnnouncesShutdown:
		se.addFault(fa.Kind, 1)
		time.Sleep(announcedBeforeEntry)
		py.replaceServer(fa.Target, se)
		py.drainServer(se)
	case ServerReset:
		se.proxy.ResetConnections()
	case ServerStall:
		se.proxy.SetImpairment(fleet.Impairment{Stall: true})
		py.waitForEnd(fa)
		se.proxy.SetImpairment(fleet.Impairment{})
	default:
		se.addFault(fa.Kind, 1)
		py.waitForEnd(fa)
		se.addFault(fa.Kind, -1)
	}
}

// unlistedShutdown is how long a server that announces its shutdown has an entry that says nothing of
// it.
const announcedBeforeEntry = 3 * time.Second

// crash ends a server without a word; its entry stays for a while.
func (py *soakRun) crashServer(se *server) {
	py.mu.Lock()
	place := slices.Index(py.servers, se)
	py.mu.Unlock()
	py.replaceServer(place, se)
	se.stop()
	time.Sleep(crashedEntryTTL)
	se.unlisted.Store(true)
	py.store.Remove("servers/" + se.id)
}

// poisonEvery is the pause between two copies of a request under which servers end.
const poisonInterval = 400 * time.Millisecond

// poison sends copies of one request, each to another gateway.
func (py *soakRun) sendPoison(fa Fault) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * requestDeadline}
	for n := 0; time.Until(py.history.start.Add(fa.End)) > 0; n++ {
		ou := outcome{
			id: fmt.Sprint(poisonIDPrefix, n), gateway: n % len(py.gateways), path: "/safe/poison", key: py.pickKey(n + 1), poison: true,
		}
		if py.runner.Defect == VariesPoison {
			ou.path += fmt.Sprint(n)
		}
		py.sendRequest(client, &ou)
		py.mu.Lock()
		py.history.poisoned = append(py.history.poisoned, ou)
		py.mu.Unlock()
		time.Sleep(poisonInterval)
	}
}

// poisonID begins the ids of such copies.
const poisonIDPrefix = "poison-"

// drain lets a server leave as planned: it serves on for a while after it said so.
func (py *soakRun) drainServer(se *server) {
	se.drain()
	py.store.Set("servers/"+se.id, se.entry())
	py.mu.Lock()
	py.history.drainedAt[se.id] = time.Now()
	py.mu.Unlock()
	time.Sleep(2 * drainBound)
	se.unlisted.Store(true)
	py.store.Remove("servers/" + se.id)
	se.stop()
}

// substitute starts a server in the place of one that ends.
func (py *soakRun) replaceServer(place int, old *server) {
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
