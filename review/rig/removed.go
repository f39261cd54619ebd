package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// drainBound is drain_ms of the deployment.
	drainBound = 2 * time.Second
	// removedRounds is the number of workers that leave, roundLength the time for each.
	removedRounds = 12
	roundLength   = 7 * time.Second
	// removedClients is the number of clients with a kept connection to each machine, each of which sends a
	// request every removedPeriod.
	removedClients = 10
	removedPeriod  = 100 * time.Millisecond
	// In even rounds the head of the answer to a waiting watch is sent at once, and the watches are cut
	// once. In odd rounds no part of the answer is sent before; the watches that wait again are cut once
	// more after cutInterval, since net/http repeats the first on a new connection. removalDelay is the
	// longest time from the cut to the removal of the entry.
	cutInterval  = 30 * time.Millisecond
	removalDelay = 100 * time.Millisecond
)

func init() { cases["removed"] = playRemoved }

// playRemoved checks that no request reaches a worker more than drain_ms after the acknowledgement of its
// removal. The workers that leave never say draining: their entry is removed and they serve on. Shortly
// before, the store cuts the waiting watches.
func playRemoved(sc *scene) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	const key = "n2ctnfzs989anu6wsjnb"
	st.set("op/config", plainConfig(7, []string{key}))
	jo := newJournal()
	zones := []string{"gikondo", "kicukiro", "masaka"}
	newWorker := func(zone string) (*worker, context.CancelFunc, error) {
		wo := &worker{id: "i-" + newID()[:8], service: "track-api", zone: zone, slots: 6, queue: 24, work: 15 * time.Millisecond, journal: jo}
		if err := startWorker(wo); err != nil {
			return nil, nil, err
		}
		beat, stop := context.WithCancel(ctx)
		wo.stopped = make(chan struct{})
		go wo.beat(beat, st)
		return wo, stop, nil
	}
	for _, zone := range zones {
		if _, _, err := newWorker(zone); err != nil {
			return 0, err
		}
	}
	gateways, err := prepareGateways(sc.dir, zones, st)
	if err != nil {
		return 0, err
	}
	for _, ga := range gateways {
		if err := ga.start(sc.root); err != nil {
			return 0, err
		}
		defer ga.kill()
	}
	if !awaitReady(gateways, 15*time.Second) {
		return 0, fmt.Errorf("the gateways did not become ready")
	}
	time.Sleep(4 * time.Second)
	sc.notef("three gateways, three workers and one more that leaves; the store cuts waiting watches: %v", sc.trouble)

	var all attempts
	var wg sync.WaitGroup
	end := time.Now().Add(removedRounds * roundLength)
	for i := range removedClients * len(gateways) {
		wg.Go(func() {
			cl := &client{
				name: fmt.Sprintf("c%d", i+1), gateway: gateways[i%len(gateways)], host: "ficu95.example", path: "/puxa403/2f", deadline: time.Second,
			}
			defer cl.close()
			for next := time.Now().Add(rand.N(removedPeriod)); next.Before(end); next = next.Add(removedPeriod) {
				time.Sleep(time.Until(next))
				all.add(cl.send(ctx, key))
			}
		})
	}
	removedAt := map[string]time.Time{}
	for round := range removedRounds {
		wo, stop, err := newWorker(zones[round%len(zones)])
		if err != nil {
			return 0, err
		}
		headFirst := round%2 == 0
		st.setHeadFirst(headFirst)
		time.Sleep(3 * time.Second)
		stop()
		<-wo.stopped
		if sc.trouble {
			st.cutWatches()
			if !headFirst {
				time.Sleep(cutInterval)
				st.cutWatches()
			}
			sc.notef("round %d: the store has cut the waiting watches, head of the answers sent before: %v", round+1, headFirst)
		}
		time.Sleep(rand.N(removalDelay))
		removedAt[wo.id] = st.remove("servers/" + wo.id)
		sc.notef("round %d: the store acknowledges that the entry of %s is removed", round+1, wo.id)
		time.Sleep(roundLength - 3*time.Second)
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	late := 0
	statuses := map[int]int{}
	for _, a := range all.list {
		statuses[a.status]++
		line, verdict := "", ""
		for _, ru := range jo.of(a.id) {
			line += fmt.Sprintf(" run by %s at %s", ru.worker, sc.at(ru.at))
			if at, left := removedAt[ru.worker]; left && ru.at.Sub(at) > drainBound {
				late++
				verdict = fmt.Sprintf("  DRAIN: %.3f s after the acknowledgement of its removal", ru.at.Sub(at).Seconds())
			}
		}
		fmt.Fprintf(sc.record, "request %s by %s to %s sent %s answered %s with %d%s%s\n", a.id, a.client, a.gateway, sc.at(a.sent), sc.at(a.answered), a.status, line, verdict)
	}
	summary := fmt.Sprintf("%d requests, answers by status %v; run by a worker that was removed more than %v before: %d", len(all.list), statuses, drainBound, late)
	sc.notef("%s", summary)
	fmt.Println(summary)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
