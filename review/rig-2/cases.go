package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var cases = map[string]func(wo *world) int{"silent-failure": playSilentFailure, "half-close": playHalfClose, "sessions": playSessions, "early-trial": playEarlyTrial, "fallback": playFallback}

const host = "shop.example"

// serviceConfig returns a configuration with routes to one plain service.
func serviceConfig(version int, keys map[string][]string, extraRoutes int) map[string]any {
	routes := []map[string]any{
		{"name": "r-safe", "host": host, "path_prefix": "/safe/", "route_type": "safe", "timeout_ms": 1000, "target_latency_ms": 100, "max_attempts": 2, "priority": 2, "service": "app"},
		{"name": "r-unsafe", "host": host, "path_prefix": "/unsafe/", "route_type": "unsafe", "timeout_ms": 1000, "target_latency_ms": 100, "max_attempts": 1, "priority": 2, "service": "app"},
	}
	for i := range extraRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("x-%d", i), "host": host, "path_prefix": fmt.Sprintf("/x%d/", i), "route_type": "safe", "timeout_ms": 1000,
			"target_latency_ms": 100, "max_attempts": 2, "priority": 2, "service": "app",
		})
	}
	tenants := []map[string]any{}
	for name, list := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": list})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "app", "health_path": "/healthz"}}, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 60000},
	}
}

// traffic sends requests at a steady rate to the gateways in turn until it is stopped.
type traffic struct {
	wo       *world
	key      string
	perS     float64
	sessions int
	prefix   string
	sent     sync.Map
	n        atomic.Int64
	stop     chan struct{}
	wg       sync.WaitGroup
}

func (tr *traffic) begin(targets func() []*gateway) {
	tr.stop = make(chan struct{})
	cl := newClient()
	tr.wg.Add(1)
	go func() {
		defer tr.wg.Done()
		ti := time.NewTicker(time.Duration(float64(time.Second) / tr.perS))
		defer ti.Stop()
		for {
			select {
			case <-tr.stop:
				return
			case <-ti.C:
			}
			n := tr.n.Add(1)
			list := targets()
			ga := list[int(n)%len(list)]
			tr.wg.Add(1)
			go func() {
				defer tr.wg.Done()
				tr.one(cl, ga, n)
			}()
		}
	}()
}

func (tr *traffic) end() {
	close(tr.stop)
	tr.wg.Wait()
}

func (tr *traffic) one(cl *http.Client, ga *gateway, n int64) {
	kind := "safe"
	if n%3 == 0 {
		kind = "unsafe"
	}
	id := fmt.Sprintf("%sc%d", tr.prefix, n)
	rq, err := http.NewRequest(http.MethodPost, "http://"+ga.frontend+"/"+kind+"/do", strings.NewReader("body of "+id))
	must(err)
	rq.Host = host
	rq.Header.Set("X-Request-Id", id)
	rq.Header.Set("X-Deadline-Ms", "1000")
	rq.Header.Set("Authorization", "Bearer "+tr.key)
	if tr.sessions > 0 {
		rq.Header.Set("Session", "s"+strconv.Itoa(int(n)%tr.sessions))
	}
	at := time.Now()
	tr.sent.Store(id, at)
	tr.wo.rec.line(at, "sent request=%s kind=%s to=%s", id, kind, ga.name)
	resp, err := cl.Do(rq)
	if err != nil {
		tr.wo.rec.line(time.Now(), "answer request=%s error=%v", id, err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	tr.wo.rec.line(time.Now(), "answer request=%s status=%d signature=%q error=%v", id, resp.StatusCode, resp.Header.Get("X-Server-Signature"), err)
}

const (
	canaryShare = 0.15
	canarySlack = 30
	rollbackMS  = 5000 * time.Millisecond
	badAnswers  = 50
)

// playSilentFailure: a new version of a service is bad. Half of its answers are failures: the workers run the
// request and answer 503 without X-Not-Executed.
func playSilentFailure(wo *world) int {
	const within = 16 * time.Second
	wo.st.set("op/config", serviceConfig(3, map[string][]string{"t1": {"key-one"}}, 0))
	for i := range 3 {
		wo.addWorker(&worker{id: fmt.Sprintf("i-old%d", i), service: "app", version: "v1", zone: zones[i], slots: 6, workTime: 15 * time.Millisecond})
	}
	for range 4 {
		wo.addGateway(nil).start()
	}
	wo.awaitReady()
	tr := &traffic{wo: wo, key: "key-one", perS: 40}
	tr.begin(func() []*gateway { return wo.gateways })
	time.Sleep(4 * time.Second)
	share := 0.0
	if wo.trouble {
		share = 0.5
	}
	order := wo.st.set("op/rollout/app", map[string]any{"service": "app", "target_version": "v2", "duration_s": within.Seconds()})
	wo.rec.line(order, "order rollout app v2 within %v", within)
	time.Sleep(workersAfter)
	for i := range 3 {
		wo.addWorker(&worker{id: fmt.Sprintf("i-new%d", i), service: "app", version: "v2", zone: zones[i], slots: 6, workTime: 15 * time.Millisecond, failStatus: http.StatusServiceUnavailable, failShare: share})
	}
	last := ""
	for time.Since(order) < within+14*time.Second {
		if status := wo.st.get("status/rollout/app"); status != last {
			last = status
			wo.rec.line(time.Now(), "status %s", status)
			if strings.Contains(status, "completed") {
				for _, worker := range wo.workers[:3] {
					worker.crash() // on completed the old workers stop at once
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	tr.end()
	return wo.judgeExposure(tr, order, within, share > 0)
}

// judgeExposure checks the rule EXPOSURE for version v2.
func (wo *world) judgeExposure(tr *traffic, order time.Time, within time.Duration, bad bool) int {
	all, exposed, failures, late := 0, 0, 0, 0
	var fiftieth time.Time
	for _, ru := range wo.rec.all() {
		inTime := ru.at.After(order) && ru.at.Before(order.Add(within))
		if inTime {
			all++
		}
		if ru.version != "v2" {
			continue
		}
		if inTime {
			exposed++
		}
		if ru.status >= http.StatusInternalServerError {
			if failures++; failures == badAnswers {
				fiftieth = ru.at
			}
		}
		sent, ok := tr.sent.Load(ru.request)
		if ok && !fiftieth.IsZero() && sent.(time.Time).After(fiftieth.Add(rollbackMS)) {
			late++
		}
	}
	limit := canaryShare*float64(all) + canarySlack
	wo.rec.say("until the deadline: %d of %d requests reached v2, %.0f are allowed to a bad version", exposed, all, limit)
	wo.rec.say("failures of v2: %d; requests sent more than %v after the %dth that reached v2: %d", failures, rollbackMS, badAnswers, late)
	wo.rec.say("status: %s", wo.st.get("status/rollout/app"))
	if bad && (late > 0 || float64(exposed) > limit) {
		wo.rec.say("EXPOSURE is broken")
		return exitBroken
	}
	wo.rec.say("EXPOSURE held")
	return exitHeld
}
