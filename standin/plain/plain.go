// Package plain simulates a backend service that is not a model engine, such as order tracking.
package plain

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Service responds to every request and counts it. Its exported fields are set before use.
type Service struct {
	// Latency is how long a request runs.
	Latency time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// Response is the body of a response.
type Response struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Request string `json:"request"`
}

// Runs returns how often the request with an id ran.
func (se *Service) Runs(id string) int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.runs[id]
}

// RunCounts returns how often the request with each id ran.
func (se *Service) RunCounts() map[string]int {
	se.mu.Lock()
	defer se.mu.Unlock()
	all := make(map[string]int, len(se.runs))
	for id, n := range se.runs {
		all[id] = n
	}
	return all
}

// ServeHTTP responds to a request; /runs returns the counts.
func (se *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/runs" {
		_ = json.NewEncoder(w).Encode(se.RunCounts())
		return
	}
	id := r.Header.Get("X-Request-Id")
	se.mu.Lock()
	if se.runs == nil {
		se.runs = map[string]int{}
	}
	se.runs[id]++
	se.mu.Unlock()
	time.Sleep(se.Latency)
	_ = json.NewEncoder(w).Encode(Response{Method: r.Method, Path: r.URL.Path, Request: id})
}
