package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. Each gateway
// gets a listener of its own, so that the store can turn one gateway away and serve the others.

const (
	pageItems = 50
	maxTxn    = 32
)

type item struct {
	Key      string `json:"key_file"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"creation_time"`
	Lease    int64  `json:"lease"`
}

type change struct {
	item

	deleted bool
}

// MarshalJSON writes an item as written, or the removal of a key.
func (ch change) MarshalJSON() ([]byte, error) {
	if ch.deleted {
		return json.Marshal(map[string]any{"key_file": ch.Key, "revision": ch.Revision, "deleted": true})
	}
	return json.Marshal(ch.item)
}

type leaseState struct {
	ttl time.Duration
	end time.Time
}

type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []change
	revision uint64
	leases   map[int64]*leaseState
	changed  chan struct{}
}

func newStore() *store {
	st := &store{items: map[string]item{}, leases: map[int64]*leaseState{}, changed: make(chan struct{})}
	go st.expire()
	return st
}

// listen serves the store on a loopback address of its own. away reports whether calls are turned away with 503.
func (st *store) listen(away func() bool) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	hs := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if away != nil && away() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		st.serve(w, r, away)
	})}
	go func() { _ = hs.Serve(li) }()
	return li.Addr().String()
}

func (st *store) put(key string, value []byte, lease int64) uint64 {
	st.revision++
	created := st.revision
	if old, ok := st.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: st.revision, Created: created, Lease: lease}
	st.items[key] = it
	st.history = append(st.history, change{item: it})
	return st.revision
}

func (st *store) drop(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	st.revision++
	delete(st.items, key)
	st.history = append(st.history, change{item: item{Key: key, Revision: st.revision}, deleted: true})
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// set writes a key as the operator or a worker does, and returns when the write is acknowledged.
func (st *store) set(key string, value any) time.Time {
	data, err := json.Marshal(value)
	must(err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(key, data, 0)
	st.notify()
	return time.Now()
}

func (st *store) remove(key string) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.drop(key)
	st.notify()
	return time.Now()
}

func (st *store) get(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return string(st.items[key].Value)
}

func (st *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		st.mu.Lock()
		for id, le := range st.leases {
			if time.Now().After(le.end) {
				st.endLease(id)
			}
		}
		st.mu.Unlock()
	}
}

func (st *store) endLease(id int64) {
	delete(st.leases, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.drop(key)
		}
	}
	st.notify()
}

func (st *store) serve(w http.ResponseWriter, r *http.Request, away func() bool) {
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		st.mu.Lock()
		it, ok := st.items[r.URL.Query().Get("key_file")]
		st.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, it)
	case path == "/api/kv-range":
		st.serveRange(w, r)
	case path == "/api/kv-watch":
		st.serveWatch(w, r, away)
	case path == "/api/kv-txn":
		st.serveTxn(w, r)
	case path == "/api/kv-lease":
		st.serveLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		st.mu.Lock()
		le := st.leases[id]
		if le != nil {
			le.end = time.Now().Add(le.ttl)
		}
		st.mu.Unlock()
		if le == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": le.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		st.mu.Lock()
		st.endLease(id)
		st.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, from := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("since_revision")
	st.mu.Lock()
	var keys []string
	for key := range st.items {
		if strings.HasPrefix(key, prefix) && key > from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := make([]item, 0, len(keys))
	for _, key := range keys {
		items = append(items, st.items[key])
	}
	at := st.revision
	st.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "timestamp": at})
}

func (st *store) serveWatch(w http.ResponseWriter, r *http.Request, away func() bool) {
	qu := r.URL.Query()
	since, _ := strconv.ParseUint(qu.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for waiting := true; ; {
		st.mu.Lock()
		events := []change{}
		for _, ch := range st.history {
			if ch.Revision > since && strings.HasPrefix(ch.Key, qu.Get("path_prefix")) {
				events = append(events, ch)
			}
		}
		at, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "timestamp": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-poll.C:
		case <-r.Context().Done():
			return
		}
		if away != nil && away() {
			panic(http.ErrAbortHandler) // a waiting watch may be cut
		}
	}
}

func (st *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []struct {
			Key      string `json:"key_file"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Set []struct {
			Key   string `json:"key_file"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	body, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(body, &tx); err != nil || len(tx.Set)+len(tx.Remove) > maxTxn {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	current, failed := []item{}, false
	for _, ex := range tx.Expected {
		it, ok := st.items[ex.Key]
		if ok {
			current = append(current, it)
		}
		failed = failed || it.Revision != ex.Revision
	}
	status, at := http.StatusOK, uint64(0)
	for _, se := range tx.Set {
		if se.Lease != 0 && st.leases[se.Lease] == nil {
			status = http.StatusNotFound
		}
		if strings.HasPrefix(se.Key, "op/") || strings.HasPrefix(se.Key, "servers/") {
			status = http.StatusForbidden
		}
	}
	if failed {
		status = http.StatusPreconditionFailed
	}
	if status == http.StatusOK {
		for _, se := range tx.Set {
			st.put(se.Key, se.Value, se.Lease)
		}
		for _, key := range tx.Remove {
			st.drop(key)
		}
		at = st.revision
		st.notify()
	}
	st.mu.Unlock()
	if status == http.StatusPreconditionFailed {
		answer(w, status, map[string]any{"items": current})
		return
	}
	answer(w, status, map[string]any{"revision": at})
}

func (st *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var rq struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&rq)
	st.mu.Lock()
	st.revision++
	id := int64(st.revision)
	ttl := time.Duration(max(1000, rq.TTL)) * time.Millisecond
	st.leases[id] = &leaseState{ttl: ttl, end: time.Now().Add(ttl)}
	st.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func answer(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	must(err)
	time.Sleep(4 * time.Millisecond) // what an answer of the platform's store takes
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
