// Package boxlist simulates the platform's list of live and leaving boxes.
package boxlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
)

// List is the simulated list. The zero value is an empty list.
type List struct {
	mu    sync.Mutex
	boxes []boxes.Box
}

// Set replaces the list.
func (li *List) Set(list []boxes.Box) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.boxes = slices.Clone(list)
}

// ServeHTTP returns the list; a PUT request replaces it.
func (li *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var list []boxes.Box
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		li.Set(list)
		return
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(li.boxes)
}
