package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// oldGrace and newGrace are grace_s before and after the change of the settings, in seconds.
	oldGrace, newGrace = 4, 8
	// streams is the number of streams that are under way when the machine is stopped. Each lasts
	// streamEvents times streamGap.
	streams      = 20
	streamEvents = 50
	streamGap    = 130 * time.Millisecond
	// stopDelay is the time from the first stream to SIGTERM. The streams end 4.5 to 5.5 s after it, before
	// the last sixth of grace_s begins.
	stopDelay = 2 * time.Second
)

// streamConfig is a configuration with one streaming route.
func streamConfig(version int, keys []string) map[string]any {
	config := plainConfig(version, keys)
	config["routes"] = []any{map[string]any{
		"name": "r-notes", "host": "ficu95.example", "path_prefix": "/lohu930/", "route_type": "streaming",
		"timeout_ms": 25000, "target_latency_ms": 4000, "target_gap_ms": 1200, "priority": 2, "service": "track-api", "max_attempts": 3,
		"public": false, "resumable": false,
	}}
	return config
}

func init() { cases["grace"] = playGrace }

// playGrace checks that a planned stop loses no request: a machine whose grace_s was raised by a change of
// its settings, told by SIGHUP, gets SIGTERM while it forwards streams that end well within grace_s.
func playGrace(sc *scene) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	const key = "n2ctnfzs989anu6wsjnb"
	st.set("op/config", streamConfig(7, []string{key}))
	jo := newJournal()
	zones := []string{"gikondo", "kicukiro", "masaka", "gikondo"}
	for _, zone := range zones[:2] {
		wo := &worker{
			id: "i-" + newID()[:8], service: "track-api", zone: zone, slots: 64, queue: 134, journal: jo,
			work: 20 * time.Millisecond, events: streamEvents, eventTime: streamGap,
		}
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
		ga.grace = newGrace
		if sc.trouble {
			ga.grace = oldGrace
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
	time.Sleep(4 * time.Second)
	stopped := gateways[0]
	if sc.trouble {
		for _, ga := range gateways {
			ga.grace = newGrace
			if err := ga.writeSettings(); err != nil {
				return 0, err
			}
			sc.notef("the settings file of %s changes from grace_s = %d to %d", ga.name, oldGrace, newGrace)
		}
		_ = stopped.cmd.Process.Signal(syscall.SIGHUP)
		sc.notef("SIGHUP to %s, one machine of %d", stopped.name, len(gateways))
	}
	// Well after config_apply_ms, so that the SIGHUP is no part of what follows.
	time.Sleep(5 * time.Second)
	var all attempts
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			cl := &client{name: fmt.Sprintf("c%d", i+1), gateway: stopped, host: "ficu95.example", path: "/lohu930/2f", deadline: 25 * time.Second}
			defer cl.close()
			time.Sleep(time.Duration(i) * time.Second / streams)
			all.add(cl.send(ctx, key))
		})
	}
	time.Sleep(stopDelay)
	_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
	termAt := time.Now()
	sc.notef("SIGTERM to %s", stopped.name)
	kill := time.AfterFunc(newGrace*time.Second, func() { _ = stopped.cmd.Process.Kill() })
	go func() {
		<-stopped.done
		sc.mu.Lock()
		sc.exitedAt = time.Now()
		sc.mu.Unlock()
	}()
	wg.Wait()
	select {
	case <-stopped.done:
	case <-time.After(time.Until(termAt.Add((newGrace + 1) * time.Second))):
	}
	kill.Stop()
	time.Sleep(50 * time.Millisecond)
	sc.mu.Lock()
	sc.notef("the process of %s ended %.3f s after SIGTERM; grace_s = %d", stopped.name, sc.exitedAt.Sub(termAt).Seconds(), newGrace)
	sc.mu.Unlock()
	lost := 0
	for _, a := range all.list {
		verdict := ""
		runs := jo.of(a.id)
		if len(runs) > 0 && (!a.whole || a.status != 200 || a.events != streamEvents) {
			lost++
			verdict = "  LOST"
		}
		line := "was not run"
		if len(runs) > 0 {
			line = "run by " + runs[0].worker + " at " + sc.at(runs[0].at)
		}
		fmt.Fprintf(sc.record, "stream %s sent %s (%.3f s before SIGTERM), %s; status %d, %d of %d events, whole: %v, ended %s (%.3f s after SIGTERM)%s\n",
			a.id, sc.at(a.sent), termAt.Sub(a.sent).Seconds(), line, a.status, a.events, streamEvents, a.whole, sc.at(a.answered), a.answered.Sub(termAt).Seconds(), verdict)
	}
	summary := fmt.Sprintf("%d streams under way at SIGTERM; passed on and cut without a complete answer: %d", len(all.list), lost)
	sc.notef("%s", summary)
	fmt.Println(summary)
	if lost > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
