// Package keyvalue simulates the key-value service of the users' platform: items, watches, conditional
// transactions, leases, an event history that can be compacted, and faults.
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

// Item is a version of a key as the service encodes it.
type Item struct {
	Key      string `json:"key_file"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	// encoded is the item in JSON.
	encoded []byte
}

// rangeResponse is the response to a range or a watch.
type rangeResponse struct {
	Items  []Item
	Events []Item
	At     uint64

	era uint64
}

// write sends the response. Its items are encoded already, since many clients read the same ones.
func (rr *rangeResponse) write(w io.Writer) {
	_, _ = io.WriteString(w, `{"items":[`)
	writeItems(w, rr.Items)
	_, _ = io.WriteString(w, `],"events":[`)
	writeItems(w, rr.Events)
	_, _ = fmt.Fprintf(w, `],"timestamp":%d}`, rr.At)
}

func writeItems(w io.Writer, items []Item) {
	for i, it := range items {
		if i > 0 {
			_, _ = io.WriteString(w, ",")
		}
		_, _ = w.Write(it.encoded)
	}
}

// transaction is a request to write and remove keys, on the condition that keys have the expected
// revisions.
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

// Faults are the faults that are in effect. The zero value is none.
type Faults struct {
	// RefuseStatus is the status of every response, if it is not zero.
	RefuseStatus int
	// Hang leaves every request unanswered until the fault ends.
	Hang bool
	// DropWriteResponses applies writes and closes their connections without a response.
	DropWriteResponses bool
	// WithholdEvents withholds new events from watches. Tests use this defect to show that stale
	// configurations are detected.
	WithholdEvents bool
	// Delay delays every response.
	Delay time.Duration
	// Era replaces the era in the header of responses, if it is not empty; "none" omits the header.
	Era string
}

// Store is the service. It is created with New.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	events   []Item
	revision uint64
	// era starts at 1 and grows with every restore from a snapshot.
	era uint64
	// calls counts the requests.
	calls int
	// compactedAt is the newest revision whose event has been dropped from the history.
	compactedAt uint64
	// withheldAfter is the newest revision that watches return while WithholdEvents is set.
	withheldAfter uint64
	// changed is closed and replaced at each change of items or faults.
	changed chan struct{}
	faults  Faults
	// leases holds the current leases.
	leases    map[int64]grantedLease
	lastLease int64
}

// grantedLease is a lease with its duration and the timer of its expiry.
type grantedLease struct {
	ttl    time.Duration
	expiry *time.Timer
}

// New returns an empty service.
func New() *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]grantedLease{}, changed: make(chan struct{}), era: 1}
}

// Calls returns the number of requests so far.
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

// Set writes a value as JSON, as operators and backend servers do.
func (st *Store) Set(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(Item{Key: key, Value: body})
}

// SetRaw writes a value that need not be JSON.
func (st *Store) SetRaw(key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(Item{Key: key, Value: value})
}

// Remove removes a key without conditions.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(Item{Key: key, Deleted: true})
}

// Value returns the value of a key, "" if it is absent.
func (st *Store) Value(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return string(st.items[key].Value)
}

// Keys returns the keys with a prefix, sorted.
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

// Compact drops the event history.
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

// ExpireLeases expires all leases, which removes their keys.
func (st *Store) ExpireLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for le := range st.leases {
		st.revokeLease(le)
	}
}

// put applies a change; the caller holds mu.
func (st *Store) put(it Item) {
	st.revision++
	it.Revision = st.revision
	var err error
	if it.encoded, err = json.Marshal(it); err != nil {
		panic(err)
	}
	if it.Deleted {
		delete(st.items, it.Key)
	} else {
		st.items[it.Key] = it
	}
	st.events = append(st.events, it)
	st.notify()
}

// notify wakes up waiting requests; the caller holds mu.
func (st *Store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// revokeLease ends a lease and removes its keys; the caller holds mu.
func (st *Store) revokeLease(le int64) {
	delete(st.leases, le)
	for key, it := range st.items {
		if it.Lease == le {
			st.put(Item{Key: key, Deleted: true})
		}
	}
}

// ServeHTTP serves the service's HTTP API.
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
	case "/api/kv-key":
		st.serveKey(w, r)
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

// serveFault handles a request according to Hang or RefuseStatus. It returns false if neither is set.
func (st *Store) serveFault(fa Faults, w http.ResponseWriter, r *http.Request) bool {
	switch {
	case fa.Hang:
		st.hang(r)
	case fa.RefuseStatus != 0:
		w.WriteHeader(fa.RefuseStatus)
	}
	return fa.Hang || fa.RefuseStatus != 0
}

// hang blocks a request until its client disconnects or Hang ends, and then aborts it.
func (st *Store) hang(r *http.Request) {
	for {
		st.mu.Lock()
		hanging, changed := st.faults.Hang, st.changed
		st.mu.Unlock()
		if !hanging {
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
	var req struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || req.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastLease++
	le := st.lastLease
	ttl := time.Duration(req.TTLMS) * time.Millisecond
	st.leases[le] = grantedLease{ttl, time.AfterFunc(ttl, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.revokeLease(le)
	})}
	_, _ = fmt.Fprintf(w, `{"lease":%d,"ttl_ms":%d}`, le, req.TTLMS)
}

func (st *Store) renewLease(w http.ResponseWriter, id string) {
	le, _ := strconv.ParseInt(id, 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	gl, ok := st.leases[le]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	gl.expiry.Reset(gl.ttl)
	_, _ = fmt.Fprintf(w, `{"ttl_ms":%d}`, gl.ttl.Milliseconds())
}

func (st *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[r.URL.Query().Get("key_file")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(it)
}

func (st *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	st.mu.Lock()
	li := rangeResponse{At: st.revision}
	for _, it := range st.items {
		if strings.HasPrefix(it.Key, prefix) {
			li.Items = append(li.Items, it)
		}
	}
	st.mu.Unlock()
	li.write(w)
}

// eventsSince returns the events after a revision, the current faults, whether the revision is
// unavailable (compacted, or newer than the newest), and a channel that is closed at the next change.
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

// serveWatch waits for events after a revision, at most for the time that the client specifies.
func (st *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	st.mu.Lock()
	era := st.era
	st.mu.Unlock()
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		li, fa, gone, changed := st.eventsSince(after)
		switch {
		case li.era != era:
			panic(http.ErrAbortHandler) // the service was restored during the watch
		case st.serveFault(fa, w, r):
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(li.Events) > 0 || !waiting:
			li.write(w)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// serveTransaction applies a transaction if all conditions hold and all leases exist.
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
		if wr.Lease != 0 && st.leases[wr.Lease].expiry == nil {
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
