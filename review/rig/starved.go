package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// applyBound is config_apply_ms of the deployment.
	applyBound = 2 * time.Second
	// starvedRounds is the number of rounds. In each the store turns machines away for awayLength.
	starvedRounds = 5
	awayLength    = 9 * time.Second
	restLength    = 6 * time.Second
	// cutAfter is the time from then until the waiting watches of the other machines are cut, and
	// changeAfter that until the configuration changes.
	cutAfter    = 3 * time.Second
	changeAfter = 50 * time.Millisecond
	// starvedClients is the number of clients with a kept connection to each machine, each of which sends a
	// request every starvedPeriod.
	starvedClients = 3
	starvedPeriod  = 150 * time.Millisecond
)

func init() { cases["starved"] = playStarved }

// playStarved checks that machines that the store serves follow a configuration within config_apply_ms
// while it turns other machines away.
func playStarved(sc *scene) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	const key = "n2ctnfzs989anu6wsjnb"
	services := []string{"track-api", "track-api-2"}
	config := func(version int) map[string]any {
		doc := plainConfig(version, []string{key})
		doc["routes"].([]any)[0].(map[string]any)["service"] = services[version%2]
		entry := func(name string) map[string]any {
			return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}
		}
		doc["services"] = []any{entry(services[0]), entry(services[1])}
		return doc
	}
	version := 10
	st.set("op/config", config(version))
	jo := newJournal()
	serviceOf := map[string]string{}
	zones := []string{"gikondo", "kicukiro", "masaka"}
	for i := range 6 {
		wo := &worker{id: "i-" + newID()[:8], service: services[i%2], zone: zones[i/2], slots: 16, queue: 24, work: 15 * time.Millisecond, journal: jo}
		if err := startWorker(wo); err != nil {
			return 0, err
		}
		serviceOf[wo.id] = wo.service
		go wo.beat(ctx, st)
	}
	var places []string
	for _, zone := range zones {
		places = append(places, zone, zone, zone)
	}
	gateways, err := prepareGateways(sc.dir, places, st)
	if err != nil {
		return 0, err
	}
	for _, ga := range gateways {
		if ga.store, err = st.addressFor(ga.name); err != nil {
			return 0, err
		}
		if err := ga.writeSettings(); err != nil {
			return 0, err
		}
		if err := ga.start(sc.root); err != nil {
			return 0, err
		}
		defer ga.kill()
	}
	if !awaitReady(gateways, 15*time.Second) {
		return 0, fmt.Errorf("the gateways did not become ready")
	}
	time.Sleep(8 * time.Second)
	st.setHeadFirst(true)

	var all attempts
	var wg sync.WaitGroup
	end := time.Now().Add(starvedRounds * (awayLength + restLength))
	for i := range starvedClients * len(gateways) {
		wg.Go(func() {
			cl := &client{
				name: fmt.Sprintf("c%d", i+1), gateway: gateways[i%len(gateways)], host: "ficu95.example", path: "/puxa403/2f", deadline: time.Second,
			}
			defer cl.close()
			for next := time.Now().Add(rand.N(starvedPeriod)); next.Before(end); next = next.Add(starvedPeriod) {
				time.Sleep(time.Until(next))
				all.add(cl.send(ctx, key))
			}
		})
	}
	type change struct {
		at     time.Time
		served string
		away   []string
		until  time.Time
	}
	var changes []change
	for round := range starvedRounds {
		time.Sleep(restLength / 2)
		away := st.watching(2 * time.Second)
		sc.notef("round %d: machines that watch the store: %s", round+1, strings.Join(away, ", "))
		if len(away) > len(gateways)*35/100 {
			away = away[:len(gateways)*35/100]
		}
		if sc.trouble {
			st.setTurnedAway(away...)
			sc.notef("round %d: the store turns away %s", round+1, strings.Join(away, ", "))
		}
		time.Sleep(cutAfter)
		if sc.trouble {
			st.cutWatches()
			sc.notef("round %d: the store has cut the waiting watches of the other machines", round+1)
		}
		time.Sleep(changeAfter)
		version++
		at := st.set("op/config", config(version))
		sc.notef("round %d: the store acknowledges version %d, which moves the route to %s", round+1, version, services[version%2])
		time.Sleep(awayLength - cutAfter - changeAfter)
		st.setTurnedAway()
		sc.notef("round %d: the store serves all machines", round+1)
		changes = append(changes, change{at, services[version%2], away, time.Now()})
		time.Sleep(restLength / 2)
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	late := 0
	statuses := map[int]int{}
	machines := map[string]int{}
	for _, a := range all.list {
		statuses[a.status]++
		line, verdict := "", ""
		for _, ru := range jo.of(a.id) {
			line += fmt.Sprintf(" run by %s of %s at %s", ru.worker, serviceOf[ru.worker], sc.at(ru.at))
			for _, ch := range changes {
				after := a.sent.Sub(ch.at)
				if slices.Contains(ch.away, a.gateway) || after <= applyBound || a.sent.After(ch.until) || serviceOf[ru.worker] == ch.served {
					continue
				}
				late++
				machines[a.gateway]++
				verdict = fmt.Sprintf("  CONFIG: the old service, %.3f s after the acknowledgement", after.Seconds())
			}
		}
		fmt.Fprintf(sc.record, "request %s by %s to %s sent %s answered %s with %d%s%s\n", a.id, a.client, a.gateway, sc.at(a.sent), sc.at(a.answered), a.status, line, verdict)
	}
	summary := fmt.Sprintf("%d requests, answers by status %v; run by the old service more than %v after the acknowledgement, from machines that the store serves: %d %v",
		len(all.list), statuses, applyBound, late, machines)
	sc.notef("%s", summary)
	fmt.Println(summary)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
