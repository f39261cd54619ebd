package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// twoSlashes is a path that begins with an empty segment, oneSlash one that holds it further back.
	twoSlashes, oneSlash = "//puxa403/2f", "/other//puxa403/2f"
	// slashRequests is the number of requests.
	slashRequests = 100
)

func init() { cases["slashes"] = playSlashes }

// playSlashes checks that workers get the path and the host of a request as the client sent them, for
// paths that begin with two slashes on a route with the prefix "/".
func playSlashes(sc *scene) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	const key = "n2ctnfzs989anu6wsjnb"
	doc := plainConfig(7, []string{key})
	doc["routes"].([]any)[0].(map[string]any)["path_prefix"] = "/"
	st.set("op/config", doc)
	jo := newJournal()
	wo := &worker{id: "i-" + newID()[:8], service: "track-api", zone: "gikondo", slots: 64, queue: 64, work: 15 * time.Millisecond, journal: jo}
	if err := startWorker(wo); err != nil {
		return 0, err
	}
	go wo.beat(ctx, st)
	gateways, err := prepareGateways(sc.dir, []string{"gikondo"}, st)
	if err != nil {
		return 0, err
	}
	if err := gateways[0].start(sc.root); err != nil {
		return 0, err
	}
	defer gateways[0].kill()
	if !awaitReady(gateways, 15*time.Second) {
		return 0, fmt.Errorf("the gateway did not become ready")
	}
	time.Sleep(4 * time.Second)

	path := twoSlashes
	if !sc.trouble {
		path = oneSlash
	}
	cl := &client{name: "c1", gateway: gateways[0], host: "ficu95.example", path: path, deadline: time.Second}
	defer cl.close()
	ran, changed := 0, 0
	for range slashRequests {
		a := cl.send(ctx, key)
		for _, ru := range jo.of(a.id) {
			ran++
			verdict := ""
			if ru.target != path || ru.host != cl.host {
				changed++
				verdict = "  UNASKED"
			}
			fmt.Fprintf(sc.record, "request %s sent %s to %s for %s answered %d, run with %s for %s%s\n", a.id, sc.at(a.sent), path, cl.host, a.status, ru.target, ru.host, verdict)
		}
	}
	summary := fmt.Sprintf("%d requests to %s, %d run, %d of them with another path or host", slashRequests, path, ran, changed)
	sc.notef("%s", summary)
	fmt.Println(summary)
	if ran == 0 {
		return exitNotRun, nil
	}
	if changed > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
