// Package store simulates the platform's key-value service: the part of Consul's HTTP API that the system
// uses, and faults that can be switched on.
package store

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that are in effect. The zero value is none.
type Faults struct {
	// Down makes every request fail with status 500 and without effect.
	Down bool `json:"down"`
	// DropWriteResponses is how many of the next writes are handled without a response.
	DropWriteResponses int `json:"drop_answers"`
	// DelayMS is the delay before each request is handled.
	DelayMS int `json:"delay_ms"`
}

type value struct {
	data  []byte
	index uint64
}

// Store is the service. The zero value is an empty store.
type Store struct {
	mu     sync.Mutex
	values map[string]value
	index  uint64
	// changed is closed and replaced at each write and each change of the faults.
	changed chan struct{}
	faults  Faults
	// calls counts the requests by method.
	calls map[string]int
}

type pair struct {
	Key         string `json:"Key"`
	Value       string `json:"Value"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

// prefix is the path prefix of the keys.
const prefix = "/v1/kv/"

// ServeHTTP serves the API; a request for /fault replaces the faults.
func (st *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		st.serveFault(w, r)
		return
	}
	fa := st.countCall(r.Method)
	time.Sleep(time.Duration(fa.DelayMS) * time.Millisecond)
	if fa.Down {
		http.Error(w, "no leader", http.StatusInternalServerError)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, prefix)
	switch r.Method {
	case http.MethodGet:
		st.serveGet(w, r, key)
	case http.MethodPut:
		st.servePut(w, r, key)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

func (st *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	var fa Faults
	if err := json.NewDecoder(r.Body).Decode(&fa); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	st.SetFaults(fa)
}

// SetFaults replaces the faults.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.notify()
}

// Calls returns how many requests with a method were received.
func (st *Store) Calls(method string) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls[method]
}

// Value returns the value of a key.
func (st *Store) Value(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return slices.Clone(st.values[key].data)
}

// Put writes a key without conditions.
func (st *Store) Put(key string, data []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(key, data)
}

// countCall counts a request and returns the current faults.
func (st *Store) countCall(method string) Faults {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.calls == nil {
		st.calls = map[string]int{}
	}
	st.calls[method]++
	return st.faults
}

func (st *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	if wait, err := time.ParseDuration(query.Get("wait")); err == nil && after > 0 {
		st.waitForChange(r, key, after, wait)
	}
	pairs, index := st.lookup(key, query.Has("recurse"))
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(pairs) == 0 {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(pairs)
}

// waitForChange returns when the key has changed after an index, the service is down, the wait has
// passed or the client has disconnected.
func (st *Store) waitForChange(r *http.Request, key string, after uint64, wait time.Duration) {
	ti := time.NewTimer(wait)
	defer ti.Stop()
	for {
		st.mu.Lock()
		if st.changed == nil {
			st.changed = make(chan struct{})
		}
		changed := st.changed
		done := st.values[key].index > after || st.faults.Down
		st.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-ti.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lookup returns the pairs with a key, or with a key prefix if recurse is set, and the current index.
func (st *Store) lookup(key string, recurse bool) ([]pair, uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var pairs []pair
	for ke, va := range st.values {
		if ke == key || recurse && strings.HasPrefix(ke, key) {
			pairs = append(pairs, pair{ke, base64.StdEncoding.EncodeToString(va.data), va.index})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return strings.Compare(a.Key, b.Key) })
	return pairs, max(1, st.index)
}

func (st *Store) servePut(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	want, casErr := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	st.mu.Lock()
	written := casErr != nil || st.values[key].index == want
	if written {
		st.put(key, data)
	}
	drop := st.faults.DropWriteResponses > 0
	if drop {
		st.faults.DropWriteResponses--
	}
	st.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strconv.FormatBool(written))
}

// put writes a key; the caller holds mu.
func (st *Store) put(key string, data []byte) {
	if st.values == nil {
		st.values = map[string]value{}
	}
	st.index++
	st.values[key] = value{data: data, index: st.index}
	st.notify()
}

// notify wakes up waiting requests; the caller holds mu.
func (st *Store) notify() {
	if st.changed != nil {
		close(st.changed)
	}
	st.changed = make(chan struct{})
}
