package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for an application worker.
type worker struct {
	id, service, version, zone, address string
	slots                               int
	workTime                            time.Duration
	// failStatus is what the worker answers to the share failShare of the requests that it has run.
	failStatus int
	failShare  float64
	// badFrom is when the failures begin, the zero time for at once.
	badFrom time.Time
	// stream is set if the answers are streams of events.
	stream bool

	st      *store
	rec     *record
	http    *http.Server
	running atomic.Int64
	seq     atomic.Int64
	state   atomic.Value
	stop    chan struct{}
	once    sync.Once
}

const heartbeat = 1200 * time.Millisecond

func (wo *worker) start(st *store, rec *record) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	wo.st, wo.rec, wo.address, wo.stop = st, rec, li.Addr().String(), make(chan struct{})
	wo.state.Store("ready")
	wo.http = &http.Server{Handler: wo}
	go func() { _ = wo.http.Serve(li) }()
	wo.beat()
	go func() {
		ti := time.NewTicker(heartbeat)
		defer ti.Stop()
		for {
			select {
			case <-wo.stop:
				return
			case <-ti.C:
				wo.beat()
			}
		}
	}()
}

func (wo *worker) beat() {
	wo.st.set("servers/"+wo.id, map[string]any{
		"service": wo.service, "address": wo.address, "zone": wo.zone, "version": wo.version, "slots": wo.slots,
		"state": wo.state.Load(), "cold_remaining_ms": 0, "seq": wo.seq.Add(1),
	})
}

// crash ends the worker without a word. Its entry goes after three heartbeats of silence.
func (wo *worker) crash() {
	wo.once.Do(func() {
		close(wo.stop)
		_ = wo.http.Close()
		go func() {
			time.Sleep(3 * heartbeat)
			wo.st.remove("servers/" + wo.id)
		}()
	})
}

// drain empties the worker: it says so, serves on for drain_ms and a little longer, and ends.
func (wo *worker) drain() {
	wo.state.Store("draining")
	wo.beat()
	go func() {
		time.Sleep(3500 * time.Millisecond)
		wo.once.Do(func() {
			close(wo.stop)
			wo.st.remove("servers/" + wo.id)
			_ = wo.http.Close()
		})
	}()
}

func (wo *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != wo.id {
		w.Header().Set("X-Instance-Id", wo.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if wo.running.Add(1) > int64(wo.slots) {
		wo.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer wo.running.Add(-1)
	began := time.Now()
	time.Sleep(wo.workTime)
	status := http.StatusOK
	if wo.failShare > 0 && !began.Before(wo.badFrom) && rand.Float64() < wo.failShare {
		status = wo.failStatus
	}
	wo.rec.ran(run{request: id, worker: wo.id, version: wo.version, at: began, status: status, tenant: r.Header.Get("X-Tenant")})
	w.Header().Set("X-Server-Signature", "signed."+wo.id+"."+id)
	if wo.stream {
		w.Header().Set("Content-Type", "text/event-stream")
		wo.writeEvents(w, r, id)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes read\n", wo.id, id, len(body))
}

// events is the number of events of a stream.
const events = 5

func (wo *worker) writeEvents(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d of the answer to %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
