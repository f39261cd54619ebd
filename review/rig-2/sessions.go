package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The model service of these scripts has routes like those of the sheet of umurongo-rudder, with some 70 requests a
// second on all of them together.
var modelRoutes = []string{"dossier", "notes", "digest"}

const (
	sessionTime = 5 * time.Second
	maxUnpinned = 3
)

func modelConfig(version int) map[string]any {
	cfg := serviceConfig(version, map[string][]string{"t1": {"key-one"}}, 0)
	routes := []map[string]any{}
	for i, ro := range modelRoutes {
		routes = append(routes, map[string]any{
			"name": ro, "host": host, "path_prefix": "/" + ro + "/", "route_type": "streaming", "resumable": true, "timeout_ms": 8000,
			"target_latency_ms": 2000, "target_gap_ms": 1200, "max_attempts": 3, "priority": i, "service": "model", "sticky": true,
		})
	}
	cfg["routes"] = routes
	cfg["services"] = []map[string]any{{"name": "model", "health_path": "/healthz"}}
	return cfg
}

// sessionTraffic sends the requests of sessions, each of which sends one after the other.
type sessionTraffic struct {
	wo *world
	// oneRoute is set if all requests of a session take the same route.
	oneRoute bool
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	sessions map[string]string
	ends     map[string]time.Time
}

// sessionCount and sessionPause give the rates of the sheet: each session sends a request about every 2 s.
const (
	sessionCount = 140
	sessionPause = 2 * time.Second
)

func (tr *sessionTraffic) begin(targets func() []*gateway) {
	tr.stop, tr.sessions, tr.ends = make(chan struct{}), map[string]string{}, map[string]time.Time{}
	cl := newClient()
	for s := range sessionCount {
		tr.wg.Add(1)
		go func() {
			defer tr.wg.Done()
			pause := time.Duration(s) * sessionPause / sessionCount
			for n := 0; ; n++ {
				select {
				case <-tr.stop:
					return
				case <-time.After(pause):
				}
				began := time.Now()
				list := targets()
				tr.one(cl, list[(s+n)%len(list)], s, n)
				pause = max(0, sessionPause-time.Since(began))
			}
		}()
	}
}

func (tr *sessionTraffic) end() {
	close(tr.stop)
	tr.wg.Wait()
}

// route returns the route of a session's request. With oneRoute, two of five sessions take each of the frequent routes
// and one takes the rare one. Otherwise four of five requests of each session take a frequent route, one the rare one.
func (tr *sessionTraffic) route(session, n int) string {
	if tr.oneRoute {
		return []string{"dossier", "digest", "dossier", "digest", "notes"}[session%5]
	}
	return []string{"dossier", "dossier", "dossier", "dossier", "notes"}[(session+n)%5]
}

func (tr *sessionTraffic) one(cl *http.Client, ga *gateway, s, n int) {
	id, session, route := fmt.Sprintf("s%d-%d", s, n), fmt.Sprintf("session-%d", s), tr.route(s, n)
	rq, err := http.NewRequest(http.MethodPost, "http://"+ga.frontend+"/"+route+"/do", strings.NewReader("body of "+id))
	must(err)
	rq.Host = host
	for key, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "8000", "Authorization": "Bearer key-one", "Session": session, "X-Model": "m0",
		"X-Token-Usage": "500,80", "X-Prefix-Hash": fmt.Sprintf("%08x:200,%08x:300", 0xabc0+s%8, 0xdef000+s),
	} {
		rq.Header.Set(key, value)
	}
	tr.mu.Lock()
	tr.sessions[id] = session
	tr.mu.Unlock()
	tr.wo.rec.line(time.Now(), "sent request=%s session=%s route=%s to=%s", id, session, route, ga.name)
	resp, err := cl.Do(rq)
	if err != nil {
		tr.wo.rec.line(time.Now(), "answer request=%s error=%v", id, err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	tr.mu.Lock()
	tr.ends[id] = time.Now()
	tr.mu.Unlock()
	tr.wo.rec.line(time.Now(), "answer request=%s status=%d signature=%q error=%v", id, resp.StatusCode, resp.Header.Get("X-Server-Signature"), err)
}

// judgePinned counts the requests that ran on another version than the one before in their session: on the new
// version in the first half of the roll-out, or on the old one until the roll-out was complete.
func (wo *world) judgePinned(tr *sessionTraffic, order, completed time.Time, within time.Duration) int {
	runs := wo.rec.all()
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	last := map[string]run{}
	early, back := 0, 0
	for _, ru := range runs {
		session := tr.sessions[ru.request]
		before, ok := last[session]
		last[session] = ru
		if !ok || before.version == ru.version || ru.at.Before(order) {
			continue
		}
		if end, ended := tr.ends[before.request]; !ended || ru.at.Sub(end) >= sessionTime {
			continue
		}
		switch {
		case ru.version == "v2" && ru.at.Before(order.Add(within/2)):
			early++
			wo.rec.line(ru.at, "request=%s of %s ran on v2 %.3f s after the order, the one before on %s", ru.request, session, ru.at.Sub(order).Seconds(), before.version)
		case ru.version == "v1" && (completed.IsZero() || ru.at.Before(completed)):
			back++
			wo.rec.line(ru.at, "request=%s of %s ran on v1 again, the one before on v2", ru.request, session)
		}
	}
	wo.rec.say("requests on another version than the one before in their session: %d on the new one in the first half, %d on the old one; %d are allowed", early, back, maxUnpinned)
	if early+back > maxUnpinned {
		wo.rec.say("PINNED is broken")
		return exitBroken
	}
	wo.rec.say("PINNED held")
	return exitHeld
}

func (wo *world) startModelWorkers(version string, count int) {
	for i := range count {
		wo.addWorker(&worker{id: fmt.Sprintf("i-%s-%d", version, i), service: "model", version: version, zone: zones[i%3], slots: 64, workTime: 60 * time.Millisecond, stream: true})
	}
}

// playSessions: a good version of a service is brought in while sessions use several routes of the service.
func playSessions(wo *world) int {
	const within = 24 * time.Second
	wo.st.set("op/config", modelConfig(3))
	wo.startModelWorkers("v1", 12)
	for range 4 {
		wo.addGateway(nil).start()
	}
	wo.awaitReady()
	tr := &sessionTraffic{wo: wo}
	tr.begin(func() []*gateway { return wo.gateways })
	time.Sleep(6 * time.Second)
	if !wo.trouble {
		time.Sleep(within)
		tr.end()
		return wo.judgePinned(tr, time.Now(), time.Time{}, within)
	}
	order := wo.order(within)
	completed := wo.awaitCompleted(order, within+8*time.Second)
	tr.end()
	return wo.judgePinned(tr, order, completed, within)
}

// workersAfter is how long after the order the workers of the new version start beside the old ones.
const workersAfter = 700 * time.Millisecond

// order orders the roll-out, upon which the workers of v2 start. It returns when the order was acknowledged.
func (wo *world) order(within time.Duration) time.Time {
	at := wo.st.set("op/rollout/model", map[string]any{"service": "model", "target_version": "v2", "duration_s": within.Seconds()})
	wo.rec.line(at, "order rollout model v2 within %v", within)
	time.AfterFunc(workersAfter, func() { wo.startModelWorkers("v2", 12) })
	return at
}

// awaitCompleted returns when the status became completed, the zero time if it did not.
func (wo *world) awaitCompleted(order time.Time, limit time.Duration) time.Time {
	for last := ""; time.Since(order) < limit; time.Sleep(5 * time.Millisecond) {
		status := wo.st.get("status/rollout/model")
		if status == last {
			continue
		}
		last = status
		wo.rec.line(time.Now(), "status %s", status)
		if strings.Contains(status, "completed") {
			return time.Now()
		}
	}
	return time.Time{}
}

// playEarlyTrial: a machine is stopped as planned and starts again right after the order for a good version.
func playEarlyTrial(wo *world) int {
	const within = 24 * time.Second
	wo.st.set("op/config", modelConfig(3))
	wo.startModelWorkers("v1", 12)
	for range 4 {
		wo.addGateway(nil).start()
	}
	wo.awaitReady()
	tr := &sessionTraffic{wo: wo, oneRoute: true}
	stopped := wo.gateways[3]
	var mu sync.Mutex
	in := wo.gateways
	targets := func() []*gateway {
		mu.Lock()
		defer mu.Unlock()
		return in
	}
	tr.begin(targets)
	time.Sleep(6 * time.Second)
	var order time.Time
	if wo.trouble {
		stopped.signal(syscall.SIGTERM)
		wo.rec.line(time.Now(), "SIGTERM to %s", stopped.name)
		time.Sleep(2 * time.Second) // the platform asks twice
		mu.Lock()
		in = wo.gateways[:3]
		mu.Unlock()
		<-stopped.done
		wo.rec.line(time.Now(), "%s has ended", stopped.name)
		time.Sleep(500 * time.Millisecond)
		order = wo.order(within)
		time.Sleep(20 * time.Millisecond)
		stopped.start()
		wo.rec.line(time.Now(), "%s starts again", stopped.name)
	} else {
		order = wo.order(within)
	}
	completed := wo.awaitCompleted(order, within+8*time.Second)
	tr.end()
	return wo.judgePinned(tr, order, completed, within)
}
