package main

import (
	"fmt"
	"net/http"
	"time"
)

// playFallback: all workers of a service crash for 5 s, just before a new version of it is ordered that turns out to be
// bad 3 s after its start.
func playFallback(wo *world) int {
	const within, down, badAfter = 8 * time.Second, 5 * time.Second, 3 * time.Second
	wo.st.set("op/config", serviceConfig(3, map[string][]string{"t1": {"key-one"}}, 0))
	startOld := func(life string) {
		for i := range 3 {
			wo.addWorker(&worker{id: fmt.Sprintf("i-%s%d", life, i), service: "app", version: "v1", zone: zones[i], slots: 6, workTime: 15 * time.Millisecond})
		}
	}
	startOld("old")
	for range 4 {
		wo.addGateway(nil).start()
	}
	wo.awaitReady()
	tr := &traffic{wo: wo, key: "key-one", perS: 24.4}
	tr.begin(func() []*gateway { return wo.gateways })
	time.Sleep(6 * time.Second)
	if wo.trouble {
		wo.rec.line(time.Now(), "the workers of v1 crash for %v", down)
		for _, worker := range wo.workers[:3] {
			worker.crash()
		}
		time.AfterFunc(down, func() { startOld("back") })
	}
	time.Sleep(100 * time.Millisecond)
	order := wo.st.set("op/rollout/app", map[string]any{"service": "app", "target_version": "v2", "duration_s": within.Seconds()})
	wo.rec.line(order, "order rollout app v2 within %v", within)
	time.Sleep(workersAfter)
	for i := range 3 {
		wo.addWorker(&worker{
			id: fmt.Sprintf("i-new%d", i), service: "app", version: "v2", zone: zones[i], slots: 6, workTime: 15 * time.Millisecond,
			failStatus: http.StatusInternalServerError, failShare: 0.5, badFrom: time.Now().Add(badAfter),
		})
	}
	time.Sleep(time.Until(order.Add(within + time.Second)))
	tr.end()
	return wo.judgeExposure(tr, order, within, true)
}
