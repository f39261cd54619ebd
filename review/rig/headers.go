package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// oldHeaderBytes and newHeaderBytes are max_header_bytes before and after the change of the
	// configuration. longHeader is the length of a header that keeps within the latter.
	oldHeaderBytes, newHeaderBytes = 4096, 16384
	longHeader                     = 15000
	// headerClients is the number of clients with a kept connection, each of which sends a request every
	// headerPeriod: shortRequests before the change, and longRequests after it.
	headerClients = 40
	headerPeriod  = 200 * time.Millisecond
	shortRequests = 10
	longRequests  = 10
)

func init() { cases["headers"] = playHeaders }

// playHeaders checks that requests whose headers keep within max_header_bytes are served on kept
// connections after the operator has raised it.
func playHeaders(sc *scene) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	const key = "n2ctnfzs989anu6wsjnb"
	config := func(version, headerBytes int) map[string]any {
		doc := plainConfig(version, []string{key})
		doc["limits"].(map[string]any)["max_header_bytes"] = headerBytes
		return doc
	}
	first := oldHeaderBytes
	if !sc.trouble {
		first = newHeaderBytes
	}
	st.set("op/config", config(7, first))
	zones := []string{"gikondo", "kicukiro"}
	for _, zone := range zones {
		wo := &worker{id: "i-" + newID()[:8], service: "track-api", zone: zone, slots: 64, queue: 64, work: 15 * time.Millisecond, journal: newJournal()}
		if err := startWorker(wo); err != nil {
			return 0, err
		}
		go wo.beat(ctx, st)
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

	var all attempts
	clients := make([]*client, headerClients)
	send := func(count int) {
		var wg sync.WaitGroup
		for i, cl := range clients {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * headerPeriod / headerClients)
				for range count {
					all.add(cl.send(ctx, key))
					time.Sleep(headerPeriod)
				}
			})
		}
		wg.Wait()
	}
	for i := range clients {
		clients[i] = &client{name: fmt.Sprintf("c%d", i+1), gateway: gateways[i%len(gateways)], host: "ficu95.example", path: "/puxa403/2f", deadline: time.Second}
		defer clients[i].close()
	}
	send(shortRequests)
	sc.notef("%d requests sent by %d clients on kept connections; max_header_bytes = %d", len(all.list), headerClients, first)
	at := st.set("op/config", config(8, newHeaderBytes))
	sc.notef("the store acknowledges version 8: max_header_bytes = %d", newHeaderBytes)
	send(shortRequests)
	time.Sleep(time.Until(at.Add(4 * time.Second)))
	for _, cl := range clients {
		cl.extra = "X-Prefix-Hash: " + strings.Repeat("5c1e07a2:800,", longHeader/13) + "\r\n"
	}
	sc.notef("from now on, requests have a header of %d bytes", longHeader)
	send(longRequests)
	denied := 0
	statuses := map[int]int{}
	for _, a := range all.list {
		statuses[a.status]++
		verdict := ""
		if a.status >= http.StatusMultipleChoices && a.status < http.StatusInternalServerError && !promise(a.status) {
			denied++
			verdict = "  DENIED"
		}
		fmt.Fprintf(sc.record, "request %s by %s to %s sent %s answered %s with %d%s\n", a.id, a.client, a.gateway, sc.at(a.sent), sc.at(a.answered), a.status, verdict)
	}
	summary := fmt.Sprintf("%d requests, answers by status %v; proper ones refused with a 4xx: %d, allowed %d", len(all.list), statuses, denied, 5+len(all.list)/500)
	sc.notef("%s", summary)
	fmt.Println(summary)
	if denied > 5+len(all.list)/500 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
