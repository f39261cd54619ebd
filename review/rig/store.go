package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyLength is how long the store keeps its events (history_s of the settings).
const historyLength = 20 * time.Second

// pageItems is the maximum number of items of one page of a range read.
const pageItems = 500

// item is a key of the store, or an event about it.
type item struct {
	Key      string `json:"key_file"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"creation_time,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// store stands in for the platform's metadata store as PROTOCOL.md describes it.
type store struct {
	address string
	// turnedAway holds the machines that get 503, watchedAt when each machine last sent a watch; both by
	// name, for machines with an address of their own (addressFor).
	turnedAway map[string]bool
	watchedAt  map[string]time.Time

	mu        sync.Mutex
	items     map[string]item
	events    []item
	compacted uint64
	revision  uint64
	changed   chan struct{}
	// cut is closed and replaced when the waiting watches are cut.
	cut chan struct{}
	// headFirst is set if a watch that waits gets the head of its answer at once.
	headFirst bool
	leases    map[int64]*time.Timer
	ttls      map[int64]time.Duration
	lastLease int64
}

func startStore() (*store, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st := &store{
		address: li.Addr().String(), items: map[string]item{}, changed: make(chan struct{}), cut: make(chan struct{}),
		leases: map[int64]*time.Timer{}, ttls: map[int64]time.Duration{},
		turnedAway: map[string]bool{}, watchedAt: map[string]time.Time{},
	}
	go func() { _ = http.Serve(li, st) }()
	return st, nil
}

// addressFor returns an address of the store that only one machine uses.
func (st *store) addressFor(machine string) (string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(li, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			st.mu.Lock()
			away := st.turnedAway[machine]
			if r.URL.Path == "/api/kv-watch" {
				st.watchedAt[machine] = time.Now()
			}
			st.mu.Unlock()
			if away {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			st.ServeHTTP(w, r)
		}))
	}()
	return li.Addr().String(), nil
}

// setTurnedAway sets the machines that the store turns away.
func (st *store) setTurnedAway(machines ...string) {
	st.mu.Lock()
	st.turnedAway = map[string]bool{}
	for _, machine := range machines {
		st.turnedAway[machine] = true
	}
	st.mu.Unlock()
}

// watching returns the machines that sent a watch lately.
func (st *store) watching(lately time.Duration) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var list []string
	for machine, at := range st.watchedAt {
		if time.Since(at) < lately {
			list = append(list, machine)
		}
	}
	sort.Strings(list)
	return list
}

// set writes a key as the operator or a worker does. It returns when the store has taken it, which is
// the acknowledgement.
func (st *store) set(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(item{Key: key, Value: data})
	return time.Now()
}

// remove removes a key. It returns when the store has taken it, which is the acknowledgement.
func (st *store) remove(key string) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.items[key]; ok {
		st.put(item{Key: key, Deleted: true})
	}
	return time.Now()
}

// setHeadFirst sets whether a watch that waits gets the head of its answer at once.
func (st *store) setHeadFirst(headFirst bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.headFirst = headFirst
}

// cutWatches closes the connections of the waiting watches without an answer.
func (st *store) cutWatches() {
	st.mu.Lock()
	defer st.mu.Unlock()
	close(st.cut)
	st.cut = make(chan struct{})
}

// get returns the value of a key.
func (st *store) get(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return string(st.items[key].Value)
}

// put applies one change. The lock is held.
func (st *store) put(it item) {
	now := time.Now()
	st.revision++
	it.Revision, it.at = st.revision, now
	if it.Deleted {
		delete(st.items, it.Key)
	} else {
		it.Created = st.revision
		if old, ok := st.items[it.Key]; ok {
			it.Created = old.Created
		}
		st.items[it.Key] = it
	}
	st.events = append(st.events, it)
	for len(st.events) > 0 && now.Sub(st.events[0].at) > historyLength {
		st.compacted = st.events[0].Revision
		st.events = st.events[1:]
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (st *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch {
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		st.serveKeep(w, strings.TrimPrefix(r.URL.Path, "/api/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		st.serveLeaseEnd(w, strings.TrimPrefix(r.URL.Path, "/api/kv-lease-end/"))
	case r.URL.Path == "/api/kv-lease":
		st.serveLease(w, r)
	case r.URL.Path == "/api/kv-key":
		st.serveKey(w, r)
	case r.URL.Path == "/api/kv-range":
		st.serveRange(w, r)
	case r.URL.Path == "/api/kv-watch":
		st.serveWatch(w, r)
	case r.URL.Path == "/api/kv-txn":
		st.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var rq struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&rq) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastLease++
	id := st.lastLease
	ttl := time.Duration(max(1000, rq.TTL)) * time.Millisecond
	st.ttls[id] = ttl
	st.leases[id] = time.AfterFunc(ttl, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.endLease(id)
	})
	_, _ = fmt.Fprintf(w, `{"lease":%d,"ttl_ms":%d}`, id, ttl.Milliseconds())
}

// endLease ends a lease and removes its keys. The lock is held.
func (st *store) endLease(id int64) {
	if timer := st.leases[id]; timer != nil {
		timer.Stop()
	}
	delete(st.leases, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.put(item{Key: key, Deleted: true})
		}
	}
}

func (st *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	timer := st.leases[id]
	if timer == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	timer.Reset(st.ttls[id])
	_, _ = fmt.Fprintf(w, `{"ttl_ms":%d}`, st.ttls[id].Milliseconds())
}

func (st *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.endLease(id)
	_, _ = w.Write([]byte("{}"))
}

func (st *store) serveKey(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	it, ok := st.items[r.URL.Query().Get("key_file")]
	at := st.revision
	st.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		item
		At uint64 `json:"timestamp"`
	}{it, at})
}

func (st *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, from := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("since_revision")
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		At    uint64 `json:"timestamp"`
	}{Items: []item{}}
	st.mu.Lock()
	page.At = st.revision
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > from {
			page.Items = append(page.Items, it)
		}
	}
	st.mu.Unlock()
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > pageItems {
		page.Items, page.More = page.Items[:pageItems], true
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (st *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	prefix := query.Get("path_prefix")
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		answer := struct {
			Events []item `json:"events"`
			At     uint64 `json:"timestamp"`
		}{Events: []item{}}
		st.mu.Lock()
		gone, changed, cut, headFirst := after < st.compacted, st.changed, st.cut, st.headFirst
		answer.At = max(after, st.revision)
		first := sort.Search(len(st.events), func(i int) bool { return st.events[i].Revision > after })
		for _, it := range st.events[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				answer.Events = append(answer.Events, it)
			}
		}
		st.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(answer.Events) > 0 || !waiting:
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		if headFirst {
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (st *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []struct {
			Key      string `json:"key_file"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key_file"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Removes []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	met := true
	current := []item{}
	for _, co := range tx.Conditions {
		it, ok := st.items[co.Key]
		met = met && it.Revision == co.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !met {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, wr := range tx.Writes {
		if wr.Lease != 0 && st.leases[wr.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, wr := range tx.Writes {
		st.put(item{Key: wr.Key, Value: wr.Value, Lease: wr.Lease})
	}
	for _, key := range tx.Removes {
		if _, ok := st.items[key]; ok {
			st.put(item{Key: key, Deleted: true})
		}
	}
	_, _ = fmt.Fprintf(w, `{"revision":%d}`, st.revision)
}
