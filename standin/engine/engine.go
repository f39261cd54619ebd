// Package engine simulates a model engine: chat completions, streamed or not, with tokens at a fixed
// rate, and faults that can be switched on.
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

// Engine is the simulated engine. Its exported fields are set before use.
type Engine struct {
	// Tokens is the number of tokens of each response.
	Tokens int
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// CheckFencing makes the engine refuse orders with a fencing number lower than the highest so
	// far.
	CheckFencing bool
	// Confidence is reported with each response.
	Confidence float64
	// Crash stops the engine without notice. It is called, if set, by requests with PoisonContent, and by
	// those with PoisonPart in a message before the last.
	Crash func()

	mu sync.Mutex
	// runs counts the requests that started, by the id that the client sent.
	runs map[string]int
	// versions counts the requests that started, by version.
	versions map[string]int
	running  int
	// peak is the largest number of requests that ran at once.
	peak int
	// failing holds the versions whose requests fail.
	failing map[string]bool
	// loaded holds the versions that orders loaded; highestFence is the highest fencing number of an
	// accepted order.
	loaded       []string
	highestFence uint64
	// acceptedFences holds the fencing numbers of the accepted orders.
	acceptedFences []uint64
}

const (
	// PoisonContent is the content of a single message that crashes an engine.
	PoisonContent = "poison"
	// PoisonPart is the content of a message that crashes an engine whatever the other messages hold.
	PoisonPart = "poison part"
)

// crashDelay is the time from the start of a poison request to the crash.
const crashDelay = 120 * time.Millisecond

type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content any `json:"content"`
	} `json:"messages"`
}

// isPoison reports whether a request crashes the engine.
func (ch *chatRequest) isPoison() bool {
	if len(ch.Messages) == 0 {
		return false
	}
	for _, me := range ch.Messages[:len(ch.Messages)-1] {
		if me.Content == PoisonPart {
			return true
		}
	}
	return ch.Messages[0].Content == PoisonContent
}

// Runs returns how often the request with an id started.
func (en *Engine) Runs(id string) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.runs[id]
}

// RunCounts returns how often the request with each id started.
func (en *Engine) RunCounts() map[string]int {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make(map[string]int, len(en.runs))
	for id, n := range en.runs {
		all[id] = n
	}
	return all
}

// Started returns how many requests of a version started.
func (en *Engine) Started(version string) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.versions[version]
}

// Running returns how many requests are running, and the largest number that ran at once.
func (en *Engine) Running() (now, peak int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.running, en.peak
}

// SetFailing sets whether requests of a version fail.
func (en *Engine) SetFailing(version string, failing bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.failing == nil {
		en.failing = map[string]bool{}
	}
	en.failing[version] = failing
}

// Order is an order to load or drop a version, as engines receive it.
type Order struct {
	Action        string `json:"do"`
	Version       string `json:"version"`
	FencingNumber uint64 `json:"fence"`
}

// Status is the response to a request for the state of an engine.
type Status struct {
	Versions []string `json:"versions"`
	// FencingNumbers holds the fencing numbers of the orders that were accepted, in order.
	FencingNumbers []uint64 `json:"fences"`
}

// serveOrders responds to GET with the Status and carries out other requests as orders.
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

// versionCounts returns how many requests of each version started.
func (en *Engine) versionCounts() map[string]int {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make(map[string]int, len(en.versions))
	for version, n := range en.versions {
		all[version] = n
	}
	return all
}

// ServeHTTP responds to a chat request. GET /runs, /versions, /running and /most return counts, PUT
// /bad?version=V&bad=true makes a version fail, and /orders receives orders.
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
		running, peak := en.Running()
		_ = json.NewEncoder(w).Encode(map[bool]int{true: running, false: peak}[r.URL.Path == "/running"])
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
	failing := en.begin(r.Header.Get("X-Request-Id"), ch.Model)
	defer en.end()
	if en.Crash != nil && ch.isPoison() {
		en.wait(r, crashDelay)
		en.Crash()
		return
	}
	if failing {
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

// begin counts a request that starts and reports whether requests of its version fail.
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

// wait sleeps and returns false if the client disconnects meanwhile.
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

// Answer returns the text of the response for a version and a number of tokens.
func Answer(version string, tokens int) string {
	tokenTexts := make([]string, tokens)
	for i := range tokenTexts {
		tokenTexts[i] = fmt.Sprintf("%s-%d", version, i)
	}
	return strings.Join(tokenTexts, " ")
}

// completion returns the body of a response that is not streamed.
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

// writeStream writes a response as a stream of server-sent events, one token each.
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
	for i, token := range strings.SplitAfter(Answer(ch.Model, en.Tokens), " ") {
		if i > 0 && !en.wait(r, en.TokenInterval) {
			return
		}
		send(map[string]any{"content": token}, nil)
	}
	send(map[string]any{}, "stop")
	body, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 1, "model": ch.Model,
		"choices": []any{}, "usage": en.usage(ch), "confidence": en.Confidence,
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", body)
}
