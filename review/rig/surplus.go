package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// surplusShare is the part of a worker's answers that are followed by a surplus one, and
	// surplusWorkers the number of the three workers that do so: the largest dose of garble with
	// how = "extra late" is share = 0.6, x = 0.03.
	surplusShare   = 0.03
	surplusWorkers = 1
	// surplusLength is how long the clients send. spellLength is how long the worker sends surplus answers
	// (for_s of the largest dose), spellPause the time until it does so again.
	surplusLength = 90 * time.Second
	spellLength   = 5 * time.Second
	spellPause    = 4 * time.Second
	// surplusClients is the number of clients, each with a kept connection and a request most of the time.
	// thinkTime is the mean time between an answer and a client's next request. The workers are full now and
	// then, so that they reject some requests without running them.
	surplusClients = 34
	thinkTime      = 30 * time.Millisecond
)

// plainConfig is a configuration with one unsafe route to a plain service.
func plainConfig(version int, keys []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-ping", "host": "ficu95.example", "path_prefix": "/puxa403/", "route_type": "unsafe",
			"timeout_ms": 1000, "target_latency_ms": 100, "priority": 2, "service": "track-api", "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{
			"name": "track-api", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1}},
	}
}

func init() { cases["surplus"] = playSurplus }

// playSurplus checks that no unsafe request runs twice, and that none that has run is answered with a
// promise, while a worker sends some of its answers twice.
func playSurplus(sc *scene) (int, error) {
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
	var workers []*worker
	for i, zone := range zones {
		wo := &worker{
			id: "i-" + newID()[:8], service: "track-api", zone: zone, slots: 6, queue: 2, work: 60 * time.Millisecond, journal: jo,
		}
		if sc.trouble && i < surplusWorkers {
			wo.surplus = func() bool { return sc.inSpell() && rand.Float64() < surplusShare }
		}
		if err := startWorker(wo); err != nil {
			return 0, err
		}
		go wo.beat(ctx, st)
		workers = append(workers, wo)
	}
	gateways, err := prepareGateways(sc.dir, zones[:2], st)
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
	time.Sleep(3 * time.Second)
	sc.notef("two gateways, three workers of a plain service; surplus answers: %v", sc.trouble)

	var all attempts
	var wg sync.WaitGroup
	end := time.Now().Add(surplusLength)
	for i := range surplusClients {
		wg.Go(func() {
			cl := &client{
				name: fmt.Sprintf("c%d", i+1), gateway: gateways[i%len(gateways)], host: "ficu95.example", path: "/puxa403/2f",
				deadline: time.Second,
			}
			defer cl.close()
			for time.Now().Before(end) {
				a := cl.send(ctx, key)
				all.add(a)
				time.Sleep(a.retryAfter + time.Duration(rand.ExpFloat64()*float64(thinkTime)))
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return sc.judgeOnce(&all, jo, workers), nil
}

// inSpell reports whether the worker sends surplus answers now.
func (sc *scene) inSpell() bool {
	return time.Since(sc.began)%(spellLength+spellPause) < spellLength
}

// judgeOnce checks TWICE and REFUSED for unsafe requests and writes the record.
func (sc *scene) judgeOnce(all *attempts, jo *journal, workers []*worker) int {
	twice, refused := 0, 0
	statuses := map[int]int{}
	for _, a := range all.list {
		runs := jo.of(a.id)
		statuses[a.status]++
		verdict := ""
		if len(runs) > 1 {
			twice++
			verdict = "  TWICE"
		}
		if len(runs) > 0 && promise(a.status) {
			refused++
			verdict += "  REFUSED"
		}
		line := ""
		for _, ru := range runs {
			line += " run by " + ru.worker + " at " + sc.at(ru.at)
		}
		fmt.Fprintf(sc.record, "request %s by %s to %s sent %s answered %s with %d%s%s\n", a.id, a.client, a.gateway, sc.at(a.sent), sc.at(a.answered), a.status, line, verdict)
	}
	for _, wo := range workers {
		for _, no := range wo.notes {
			fmt.Fprintf(sc.record, "%s %s\n", sc.at(no.at), no.text)
		}
	}
	for _, wo := range workers {
		sc.notef("worker %s rejected %d requests, sent %d surplus answers, %d of them of rejections", wo.id, wo.rejections, wo.surpluses, wo.surplusRejections)
	}
	sc.notef("%d unsafe requests, answers by status %v; run more than once: %d; run although answered with a promise: %d", len(all.list), statuses, twice, refused)
	fmt.Printf("%d unsafe requests, answers by status %v; run more than once: %d; run although answered with a promise: %d\n", len(all.list), statuses, twice, refused)
	if twice > 0 || refused > 0 {
		return exitBroken
	}
	return exitHeld
}
