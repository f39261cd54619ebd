// Package engine stands in for a model engine: chat completions, streamed or
// not, with tokens at a steady pace and switches for faults.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Engine is the stand-in. Its exported fields are set before use.
type Engine struct {
	// Tokens is the length of each answer.
	Tokens int
	// Pace is the time between two tokens.
	TokenInterval time.Duration
	// Fenced makes the engine refuse orders with a lower fencing number.
	CheckFencing bool
	// Confidence is reported with each answer if it is not zero.
	Confidence float64
	// Crash ends the engine's process, as a request for Poison does once it runs.
	Crash func()

	mu sync.Mutex
	// runs counts the requests that began, by the id the caller gave.
	runs map[string]int
	// versions counts the requests that began, by version.
	versions map[string]int
	running  int
	// most is how many ran at once at the most.
	peak int
	// bad makes requests of a version fail.
	failing map[string]bool
	// held is what orders made the engine load; fence is the highest number.
	loaded       []string
	highestFence uint64
	// orders lists the fencing numbers of the orders taken.
	acceptedFences []uint64
}

// Poison is the content of a message under which engines end.
const PoisonContent = "poison"

// crashTime is how long after its first token an engine ends.
const crashDelay = 120 * time.Millisecond

type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content any `json:"content"`
	} `json:"messages"`
}

// Runs returns how often the request of an id began.
func (en *Engine) Runs(id string) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.runs[id]
}

// AllRuns returns how often the request of each id began.
func (en *Engine) RunCounts() map[string]int {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make(map[string]int, len(en.runs))
	for id, n := range en.runs {
		all[id] = n
	}
	return all
}

// Began returns how many requests of a version began.
func (en *Engine) Started(version string) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.versions[version]
}

// Running returns how many requests run now, and ran at once at the most.
func (en *Engine) Running() (now, most int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.running, en.peak
}

// SetBad makes a version fail, or heals it.
func (en *Engine) SetFailing(version string, bad bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.failing == nil {
		en.failing = map[string]bool{}
	}
	en.failing[version] = bad
}

// Order is an order as engines take it.
type Order struct {
	Action        string `json:"do"`
	Version       string `json:"version"`
	FencingNumber uint64 `json:"fence"`
}

// Held is what an engine says of itself.
type Status struct {
	Versions []string `json:"versions"`
	// Fences lists the numbers of the orders taken so far.
	FencingNumbers []uint64 `json:"fences"`
}

func (en *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(Status{Versions: en.loaded, FencingNumbers: en.acceptedFences})
		return
	}
	var or Order
	if err := json.NewDecoder(r.Body).Decode(&or); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if en.CheckFencing && or.FencingNumber < en.highestFence {
		http.Error(w, "lower fencing number", http.StatusConflict)
		return
	}
	en.highestFence = max(en.highestFence, or.FencingNumber)
	en.acceptedFences = append(en.acceptedFences, or.FencingNumber)
	en.loaded = slices.DeleteFunc(en.loaded, func(ve string) bool { return ve == or.Version })
	if or.Action == "load" {
		en.loaded = append(en.loaded, or.Version)
	}
}

func (en *Engine) versionCounts() map[string]int {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make(map[string]int, len(en.versions))
	for version, n := range en.versions {
		all[version] = n
	}
	return all
}

// ServeHTTP answers a chat request; GET /runs, /versions,
// /running and /most answer with the
// counts, and PUT /bad?version=V&bad=true makes a version fail.
func (en *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/orders" {
		en.serveOrders(w, r)
		return
	}
	if r.URL.Path == "/versions" {
		_ = json.NewEncoder(w).Encode(en.versionCounts())
		return
	}
	if r.URL.Path == "/running" || r.URL.Path == "/most" {
		running, most := en.Running()
		_ = json.NewEncoder(w).Encode(map[bool]int{true: running, false: most}[r.URL.Path == "/running"])
		return
	}
	if r.Method == http.MethodPut {
		en.SetFailing(r.URL.Query().Get("version"), r.URL.Query().Get("bad") == "true")
		return
	}
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(en.RunCounts())
		return
	}
	var ch chatRequest
	if err := json.NewDecoder(r.Body).Decode(&ch); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	bad := en.begin(r.Header.Get("X-Request-Id"), ch.Model)
	defer en.end()
	if en.Crash != nil && len(ch.Messages) > 0 && ch.Messages[0].Content == PoisonContent {
		en.wait(r, crashDelay)
		en.Crash()
		return
	}
	if bad {
		http.Error(w, "engine fault", http.StatusInternalServerError)
		return
	}
	if ch.Stream {
		en.writeStream(w, r, ch)
		return
	}
	if !en.wait(r, en.TokenInterval*time.Duration(en.Tokens)) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(en.completion(ch))
}

func (en *Engine) begin(id, version string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.runs == nil {
		en.runs = map[string]int{}
		en.versions = map[string]int{}
	}
	en.runs[id]++
	en.versions[version]++
	en.running++
	en.peak = max(en.peak, en.running)
	return en.failing[version]
}

func (en *Engine) end() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running--
}

func (en *Engine) wait(r *http.Request, du time.Duration) bool {
	if du == 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(du):
		return true
	}
}

// Answer returns the text that the engine gives to a request.
func Answer(version string, tokens int) string {
	words := make([]string, tokens)
	for i := range words {
		words[i] = fmt.Sprintf("%s-%d", version, i)
	}
	return strings.Join(words, " ")
}

func (en *Engine) completion(ch chatRequest) map[string]any {
	return map[string]any{
		"id": "chatcmpl-1", "object": "chat.completion", "created": 1, "model": ch.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": Answer(ch.Model, en.Tokens)},
		}},
		"usage": en.usage(ch), "confidence": en.Confidence,
	}
}

func (en *Engine) usage(ch chatRequest) map[string]any {
	return map[string]any{
		"prompt_tokens": len(ch.Messages), "completion_tokens": en.Tokens,
		"total_tokens": len(ch.Messages) + en.Tokens,
	}
}

func (en *Engine) writeStream(w http.ResponseWriter, r *http.Request, ch chatRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	send := func(delta map[string]any, finish any) {
		body, _ := json.Marshal(map[string]any{
			"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 1, "model": ch.Model,
			"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}},
		})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
		_ = rc.Flush()
	}
	for i, word := range strings.SplitAfter(Answer(ch.Model, en.Tokens), " ") {
		if i > 0 && !en.wait(r, en.TokenInterval) {
			return
		}
		send(map[string]any{"content": word}, nil)
	}
	send(map[string]any{}, "stop")
	body, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 1, "model": ch.Model,
		"choices": []any{}, "usage": en.usage(ch), "confidence": en.Confidence,
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", body)
}
