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
	"github.com/linnetrudder/linnetrudder/standin/garble"
	"github.com/linnetrudder/linnetrudder/standin/keyvalue"
)

// requestInterval is how long a client waits between two requests.
const requestInterval = 20 * time.Millisecond

// sendRequest sends one request and records its outcome. Clients do not retry, so that each response
// is checked by itself.
func (sr *soakRun) sendRequest(client *http.Client, ou *outcome) {
	defer func() { ou.done = time.Now() }()
	ou.sent = time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+sr.gateways[ou.gateway].clientProxy.Address()+ou.path, io.NopCloser(http.NoBody))
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
	if ou.prompt != "" {
		req.Header.Set(headerPrompt, ou.prompt)
	}
	resp, err := client.Do(req)
	if err != nil {
		ou.incomplete = true
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ou.status, ou.body, ou.incomplete = resp.StatusCode, string(body), err != nil
	ou.malformed = resp.Header.Get(garble.MalformedField) != ""
}

// inject applies a fault and returns at its end.
func (sr *soakRun) inject(fa Fault) {
	switch fa.Kind {
	case Kill, Stop, SignalSeries:
		sr.restartGateway(fa)
	case Pause:
		gw := sr.gateways[fa.Target]
		gw.restartMu.Lock()
		defer gw.restartMu.Unlock()
		sr.suspend(fa.Target, time.Until(sr.history.start.Add(fa.End)))
	case Stutter, Starve:
		sr.suspendAgainAndAgain(fa)
	case Reload:
		sr.reloadSettings(fa)
	case CallersReset:
		sr.gateways[fa.Target].clientProxy.ResetConnections()
	case StorePartition, StoreStall, StoreStallResponses, StoreDelay:
		sr.impairStoreConnection(fa)
	case StoreDown, StoreHang, StoreDropsResponses:
		sr.addStoreFault(fa.Kind, 1)
		sr.waitForEnd(fa)
		sr.addStoreFault(fa.Kind, -1)
	case StoreCompaction:
		sr.store.Compact()
	case StoreLeaseExpiry:
		sr.store.ExpireLeases()
	case StoreRestore:
		sr.restoreStore(fa)
	case ConfigChange, LargeConfig, KeyRevocation, RouteRemoval:
		sr.changeConfig(fa.Kind)
	case Poison:
		sr.sendPoison(fa)
	case PoisonPart:
		sr.sendPoisonPart(fa)
	case ConnectionsSilent, ServerEndlessHead, SlowRollout, OddEntries:
		sr.injectForAllServers(fa)
	default:
		sr.injectServerFault(fa)
	}
}

// injectForAllServers applies a fault that concerns more than one backend server.
func (sr *soakRun) injectForAllServers(fa Fault) {
	switch fa.Kind {
	case ConnectionsSilent:
		sr.silenceConnections()
	case ServerEndlessHead:
		sr.endlessHeads(fa)
	case OddEntries:
		sr.writeOddEntries(fa)
	default:
		sr.rollOutSlowly(fa)
	}
}

// changeConfig makes an operator's change of the configuration.
func (sr *soakRun) changeConfig(ki FaultKind) {
	switch ki {
	case KeyRevocation:
		sr.revokeKey()
	case LargeConfig:
		sr.publishLargeConfig()
	case RouteRemoval:
		sr.removeRoute()
	default:
		sr.publishConfig()
	}
}

func (sr *soakRun) silenceConnections() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for _, gw := range sr.gateways {
		gw.storeProxy.SilenceConnections()
	}
	for _, se := range sr.servers {
		se.proxy.SilenceConnections()
	}
}

// waitForEnd waits for the end of a fault, which has passed already if the fault had to wait for another
// one on the same gateway.
func (sr *soakRun) waitForEnd(fa Fault) { time.Sleep(time.Until(sr.history.start.Add(fa.End))) }

// restartGateway kills or stops a gateway's process and starts it again.
func (sr *soakRun) restartGateway(fa Fault) {
	gw := sr.gateways[fa.Target]
	gw.restartMu.Lock()
	defer gw.restartMu.Unlock()
	began := time.Since(sr.history.start)
	defer func() { sr.recordFault(fa, began) }()
	si := syscall.SIGTERM
	if fa.Kind == Kill || sr.runner.Defect == KillsOnStop {
		si = syscall.SIGKILL
	}
	_ = gw.process.Signal(si)
	if fa.Kind == SignalSeries {
		for _, si := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			gw.process.Wait(seriesPause)
			_ = gw.process.Signal(si)
		}
	}
	gw.process.Wait(gracePeriod + restartTime)
	if err := sr.startGateway(fa.Target); err != nil {
		// Clients of this gateway fail from now on, which the Recovery check detects.
		_, _ = fmt.Fprintln(os.Stderr, "soak: restart of a gateway failed:", err)
	}
}

// recordFault adds a fault that may have been applied later than planned to those that the checks consider.
func (sr *soakRun) recordFault(fa Fault, began time.Duration) {
	fa.Start, fa.End = began, time.Since(sr.history.start)
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.history.plan.Faults = append(sr.history.plan.Faults, fa)
}

// seriesPause is the time between the signals of a SignalSeries.
const seriesPause = 300 * time.Millisecond

// reloadSettings makes a gateway reload a truncated settings file and then the valid one again.
func (sr *soakRun) reloadSettings(fa Fault) {
	gw := sr.gateways[fa.Target]
	gw.restartMu.Lock()
	defer gw.restartMu.Unlock()
	_ = gw.writeSettings(gw.settings[:len(gw.settings)/2])
	_ = gw.process.Signal(syscall.SIGHUP)
	time.Sleep(requestInterval)
	_ = gw.writeSettings(gw.settings)
	_ = gw.process.Signal(syscall.SIGHUP)
}

// impairStoreConnection impairs a gateway's connections to the key-value service.
func (sr *soakRun) impairStoreConnection(fa Fault) {
	proxy := sr.gateways[fa.Target].storeProxy
	switch fa.Kind {
	case StorePartition:
		proxy.SetPartitioned(true)
		defer proxy.SetPartitioned(false)
	case StoreStall:
		proxy.SetImpairment(fleet.Impairment{Stall: true})
	case StoreStallResponses:
		proxy.SetImpairment(fleet.Impairment{StallResponses: true})
	default:
		proxy.SetImpairment(fleet.Impairment{Delay: storeDelay})
	}
	sr.waitForEnd(fa)
	proxy.SetImpairment(fleet.Impairment{})
}

// storeDelay is the delay that StoreDelay adds in each direction.
const storeDelay = 150 * time.Millisecond

// addStoreFault starts (delta 1) or ends (delta -1) a fault of the key-value service. Faults of the
// same kind may overlap.
func (sr *soakRun) addStoreFault(ki FaultKind, delta int) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.storeFaults[ki] += delta
	fa := keyvalue.Faults{
		Hang: sr.storeFaults[StoreHang] > 0, DropWriteResponses: sr.storeFaults[StoreDropsResponses] > 0,
		WithholdEvents: sr.runner.Defect == WithholdsEvents,
	}
	if sr.storeFaults[StoreDown] > 0 {
		fa.RefuseStatus = http.StatusServiceUnavailable
	}
	if sr.runner.Defect == OutageNeverEnds {
		fa.Hang = true
	}
	sr.store.SetFaults(fa)
}

// injectServerFault applies a fault to a backend server. A server that stops is replaced by one with a
// new id.
func (sr *soakRun) injectServerFault(fa Fault) {
	sr.mu.Lock()
	se := sr.servers[fa.Target]
	sr.mu.Unlock()
	switch fa.Kind {
	case ServerCrash:
		sr.crashServer(se)
	case ServerDrain:
		sr.replaceServer(fa.Target, se)
		sr.drainServer(se)
	case ServerAnnouncesShutdown:
		se.addFault(fa.Kind, 1)
		time.Sleep(announcementLead)
		sr.replaceServer(fa.Target, se)
		sr.drainServer(se)
	case ServerReset:
		se.proxy.ResetConnections()
	case ServerStall:
		se.proxy.SetImpairment(fleet.Impairment{Stall: true})
		sr.waitForEnd(fa)
		se.proxy.SetImpairment(fleet.Impairment{})
	default:
		se.addFault(fa.Kind, 1)
		sr.waitForEnd(fa)
		se.addFault(fa.Kind, -1)
	}
}

// announcementLead is how long a server announces its shutdown in its responses before its entry says
// that it is draining.
const announcementLead = 3 * time.Second

// crashServer stops a server without notice; its entry remains for crashedEntryTTL.
func (sr *soakRun) crashServer(se *server) {
	sr.mu.Lock()
	index := slices.Index(sr.servers, se)
	sr.mu.Unlock()
	sr.replaceServer(index, se)
	se.stop()
	time.Sleep(crashedEntryTTL)
	se.unlisted.Store(true)
	sr.store.Remove("servers/" + se.id)
}

// poisonInterval is the time between two copies of the poison request.
const poisonInterval = 400 * time.Millisecond

// sendPoison sends copies of the poison request to the gateways in turn, until the end of the fault.
func (sr *soakRun) sendPoison(fa Fault) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * requestDeadline}
	for n := 0; time.Until(sr.history.start.Add(fa.End)) > 0; n++ {
		ou := outcome{
			id: fmt.Sprint(poisonIDPrefix, n), gateway: n % len(sr.gateways), path: "/safe/poison", key: sr.pickKey(n + 1), poison: true,
		}
		if sr.runner.Defect == VariesPoison {
			ou.path += fmt.Sprint(n)
		}
		sr.sendRequest(client, &ou)
		sr.mu.Lock()
		sr.history.poisoned = append(sr.history.poisoned, ou)
		sr.mu.Unlock()
		time.Sleep(poisonInterval)
	}
}

// sendPoisonPart sends different requests with the poison part to the gateways in turn, until the end of
// the fault.
func (sr *soakRun) sendPoisonPart(fa Fault) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * requestDeadline}
	for n := 0; time.Until(sr.history.start.Add(fa.End)) > 0; n++ {
		ou := outcome{
			id: fmt.Sprint(poisonIDPrefix, "part-", n), gateway: n % len(sr.gateways), path: fmt.Sprint("/stream/poison-", n),
			key: sr.pickKey(n + 1), prompt: fmt.Sprintf("common:100,%s:200,own-%d:50", poisonPart, n),
		}
		sr.sendRequest(client, &ou)
		sr.mu.Lock()
		sr.history.poisonedParts = append(sr.history.poisonedParts, ou)
		sr.mu.Unlock()
		time.Sleep(poisonInterval)
	}
}

// poisonIDPrefix is the prefix of the ids of the poison request's copies.
const poisonIDPrefix = "poison-"

// drainServer marks a server as draining and stops it 2*drainBound later.
func (sr *soakRun) drainServer(se *server) {
	se.drain()
	sr.store.Set("servers/"+se.id, se.entry())
	sr.mu.Lock()
	sr.history.drainedAt[se.id] = time.Now()
	sr.mu.Unlock()
	time.Sleep(2 * drainBound)
	se.unlisted.Store(true)
	sr.store.Remove("servers/" + se.id)
	se.stop()
}

// replaceServer starts a server and swaps it with one that stops, so that the new one has its index.
func (sr *soakRun) replaceServer(index int, old *server) {
	if err := sr.addServer(firstVersion); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak: replacement of a backend server failed:", err)
		return
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	last := len(sr.servers) - 1
	if sr.servers[index] == old {
		sr.servers[index], sr.servers[last] = sr.servers[last], old
	}
}
