// Package keyvalue stands in for the key-value service of the users' platform:
// items, watches, conditions, leases, a history that can be dropped, and the ways
// in which it fails.
package keyvalue

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one key as the service tells it. Its fields are exported because a codec
// writes them.
type Item struct {
	Key      string `json:"key_file"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// list is the answer to a range or a watch.
type rangeResponse struct {
	Items  []Item `json:"items"`
	Events []Item `json:"events"`
	At     uint64 `json:"timestamp"`

	era uint64
}

// transaction is what a client asks to be written.
type transaction struct {
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

// Faults are the ways in which the service fails now.
type Faults struct {
	// Refuse answers every call with this status, if it is not zero.
	RefuseStatus int
	// Silent answers no call.
	Hang bool
	// LoseWrites makes writes and does not answer them.
	DropWriteResponses bool
	// Withhold tells watches and reads of nothing new: a broken service, by which
	// tests show that stale configurations are noticed.
	WithholdEvents bool
	// Delay puts every answer off.
	Delay time.Duration
	// Era is what answers name in place of their era, if it is not empty; "none" for nothing.
	Era string
}

// Store is the service. New makes one.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	events   []Item
	revision uint64
	// era counts how often the service was restored from a copy, from one on.
	era uint64
	// calls counts the calls.
	calls int
	// dropped is the newest revision whose history is gone.
	compactedAt uint64
	// withheld is the revision up to which is told while Withhold holds.
	withheldAfter uint64
	changed       chan struct{}
	faults        Faults
	// leases holds the timers of the leases in force.
	leases    map[int64]*time.Timer
	lastLease int64
}

// New returns an empty service.
func New() *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]*time.Timer{}, changed: make(chan struct{}), era: 1}
}

// Calls returns how many calls there were.
func (st *Store) Calls() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Revision returns the newest revision.
func (st *Store) Revision() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.revision
}

// Set writes a key as the operator or a backend server does, as JSON.
func (st *Store) Set(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(Item{Key: key, Value: body})
}

// Remove removes a key.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(Item{Key: key, Deleted: true})
}

// Value returns what a key holds, "" if it is absent.
func (st *Store) Value(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return string(st.items[key].Value)
}

// Keys returns the keys that begin with a prefix, in order.
func (st *Store) Keys(prefix string) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(st.items)) {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Compact forgets the history.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.compactedAt, st.events = st.revision, nil
}

// SetFaults replaces the faults.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if fa.WithholdEvents && !st.faults.WithholdEvents {
		st.withheldAfter = st.revision
	}
	st.faults = fa
	st.notify()
}

// EndLeases ends all leases, and with them their keys.
func (st *Store) ExpireLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for le := range st.leases {
		st.revokeLease(le)
	}
}

// put takes a change; the lock is held.
func (st *Store) put(it Item) {
	st.revision++
	it.Revision = st.revision
	if it.Deleted {
		delete(st.items, it.Key)
	} else {
		st.items[it.Key] = it
	}
	st.events = append(st.events, it)
	st.notify()
}

func (st *Store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) revokeLease(le int64) {
	delete(st.leases, le)
	for key, it := range st.items {
		if it.Lease == le {
			st.put(Item{Key: key, Deleted: true})
		}
	}
}

// ServeHTTP answers one call.
func (st *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	fa := st.faults
	st.calls++
	setEraHeader(w, fa.Era, st.era)
	st.mu.Unlock()
	time.Sleep(fa.Delay)
	if st.serveFault(fa, w, r) {
		return
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/api/kv-keep/"); ok {
		st.renewLease(w, id)
		return
	}
	switch r.URL.Path {
	case "/api/kv-lease":
		st.grantLease(w, r)
	case "/api/kv-range":
		st.serveRange(w, r)
	case "/api/kv-watch":
		st.serveWatch(w, r)
	case "/api/kv-txn":
		st.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// fail answers a call while the service fails, or not at all. It reports whether the
// service does.
func (st *Store) serveFault(fa Faults, w http.ResponseWriter, r *http.Request) bool {
	switch {
	case fa.Hang:
		st.hang(r)
	case fa.RefuseStatus != 0:
		w.WriteHeader(fa.RefuseStatus)
	}
	return fa.Hang || fa.RefuseStatus != 0
}

// hang holds a call until its client has gone or the service answers others again,
// and breaks it off then.
func (st *Store) hang(r *http.Request) {
	for {
		st.mu.Lock()
		silent, changed := st.faults.Hang, st.changed
		st.mu.Unlock()
		if !silent {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (st *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var term struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&term) != nil || term.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastLease++
	le := st.lastLease
	st.leases[le] = time.AfterFunc(time.Duration(term.TTLMS)*time.Millisecond, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.revokeLease(le)
	})
	_, _ = fmt.Fprintf(w, `{"lease":%d,"ttl_ms":%d}`, le, term.TTLMS)
}

// renewal is how long a renewed lease goes on.
const renewedTTL = 30 * time.Second

func (st *Store) renewLease(w http.ResponseWriter, id string) {
	le, _ := strconv.ParseInt(id, 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	ti := st.leases[le]
	if ti == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ti.Reset(renewedTTL)
	_, _ = io.WriteString(w, `{"ttl_ms":30000}`)
}

func (st *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	st.mu.Lock()
	defer st.mu.Unlock()
	li := rangeResponse{At: st.revision}
	for _, it := range st.items {
		if strings.HasPrefix(it.Key, prefix) {
			li.Items = append(li.Items, it)
		}
	}
	_ = json.NewEncoder(w).Encode(li)
}

// since returns what a watch has to tell, and when there may be more.
func (st *Store) eventsSince(after uint64) (li rangeResponse, fa Faults, gone bool, changed chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	li.era = st.era
	if after > st.revision {
		return li, st.faults, true, st.changed
	}
	li.At = st.revision
	if st.faults.WithholdEvents {
		li.At = st.withheldAfter
	}
	for _, it := range st.events {
		if it.Revision > after && it.Revision <= li.At {
			li.Events = append(li.Events, it)
		}
	}
	return li, st.faults, after < st.compactedAt, st.changed
}

func (st *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	st.mu.Lock()
	era := st.era
	st.mu.Unlock()
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	for waiting := true; ; {
		li, fa, gone, changed := st.eventsSince(after)
		switch {
		case li.era != era:
			panic(http.ErrAbortHandler) // the service was restored meanwhile
		case st.serveFault(fa, w, r):
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(li.Events) > 0 || !waiting:
			_ = json.NewEncoder(w).Encode(li)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (st *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, co := range tx.Conditions {
		if st.items[co.Key].Revision != co.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, wr := range tx.Writes {
		if wr.Lease != 0 && st.leases[wr.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, wr := range tx.Writes {
		st.put(Item{Key: wr.Key, Value: wr.Value, Lease: wr.Lease})
	}
	for _, key := range tx.Removes {
		if _, ok := st.items[key]; ok {
			st.put(Item{Key: key, Deleted: true})
		}
	}
	if st.faults.DropWriteResponses {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, `{"revision":%d}`, st.revision)
}
