package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/selector"
	"github.com/linnetrudder/linnetrudder/internal/wire"
	"github.com/linnetrudder/linnetrudder/standin/engine"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/store"
)

const (
	// waitTimeout is long enough that only a faulty system reaches it.
	waitTimeout = 60 * time.Second
	// answerTokens is the length of the engines' answers in tokens.
	answerTokens = 12
	teamKey      = "team-key"
)

// system is a running system with two entries and one or more agents.
type system struct {
	t       *testing.T
	fleet   *fleet.Fleet
	entries []*fleet.Member
	agents  []*fleet.Member
}

// newSystem starts the given number of model servers with an agent each, and two entries. Servers
// and entries alternate between two data centres. A server sends a token every pace.
func newSystem(t *testing.T, servers int, pace time.Duration) *system {
	sy := &system{t: t, fleet: &fleet.Fleet{Bin: binDir, Dir: t.TempDir()}}
	t.Cleanup(func() {
		_ = sy.fleet.SetStoreFaults(store.Faults{})
		_ = sy.fleet.Stop()
	})
	require.NoError(t, sy.fleet.StartPlatform())
	for i := range servers {
		name := fmt.Sprintf("s-%d", i)
		address, _, err := sy.fleet.StartStandIn(name, "engine", "--tokens", fmt.Sprint(answerTokens), "--pace", pace.String())
		require.NoError(t, err)
		me := fleet.Member{Box: "agent-" + name, Role: "agent", DataCentre: dataCentre(i), Server: name, Backend: address}
		added, err := sy.fleet.Add(me)
		require.NoError(t, err)
		sy.agents = append(sy.agents, added)
	}
	for i := range 2 {
		sy.addEntry(fmt.Sprintf("entry-%d", i), dataCentre(i))
	}
	sy.applyConfig(sy.baseConfig())
	sy.waitRevision(1, sy.fleet.Members()...)
	return sy
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%2) }

func (sy *system) addEntry(box, dc string) *fleet.Member {
	me, err := sy.fleet.Add(fleet.Member{Box: box, Role: "entry", DataCentre: dc})
	require.NoError(sy.t, err)
	sy.entries = append(sy.entries, me)
	return me
}

// baseConfig returns a configuration in which one team may use two versions of one model on all
// servers.
func (sy *system) baseConfig() *config.Document {
	doc := &config.Document{
		Models: []config.Model{{Name: "m"}},
		Versions: []config.Version{
			{Model: "m", Name: "v1", State: config.Serving, InputPrice: 1, OutputPrice: 1},
			{Model: "m", Name: "v2", State: config.Serving, InputPrice: 1, OutputPrice: 1},
		},
		Teams:  []config.Team{{Name: "team", KeyDigests: []string{config.KeyDigest(teamKey)}}},
		Grants: []config.Grant{{Versions: &selector.Selector{}}},
		Kinds:  []config.Kind{{Name: "once", NotRepeatable: true, DeadlineMS: 3000}, {Name: "long-deadline", DeadlineMS: 20_000}},
	}
	for i, ag := range sy.agents {
		doc.Servers = append(doc.Servers, config.Server{
			Name: ag.Server, DataCentre: dataCentre(i), Versions: []string{"m@v1", "m@v2"}, Slots: 16,
		})
	}
	return doc
}

// callAdmin sends a request to an entry's or agent's administration API and decodes the response.
func (sy *system) callAdmin(en *fleet.Member, method, path string, body any, into any) error {
	data, err := json.Marshal(body)
	require.NoError(sy.t, err)
	req, err := http.NewRequestWithContext(sy.t.Context(), method, "http://"+en.Admin+path, bytes.NewReader(data))
	require.NoError(sy.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, data)
	}
	return json.Unmarshal(data, into)
}

// applyConfig applies a configuration, with retries until the first entry accepts it.
func (sy *system) applyConfig(doc *config.Document) {
	var ch config.Change
	require.NoError(sy.t, fleet.WaitUntil(waitTimeout, "the configuration to be accepted", func() bool {
		return sy.callAdmin(sy.entries[0], http.MethodPut, "/v1/config", doc, &ch) == nil
	}))
}

// setV2State changes the state of m@v2 and returns the revision of the change.
func (sy *system) setV2State(state config.State) uint64 {
	var ch config.Change
	body := map[string]any{"state": state}
	require.NoError(sy.t, sy.callAdmin(sy.entries[0], http.MethodPost, "/v1/versions/m/v2", body, &ch))
	return ch.Revision
}

// currentRevision returns the revision in force at a process, 0 if it does not answer.
func (sy *system) currentRevision(me *fleet.Member) uint64 {
	var st node.Status
	if sy.callAdmin(me, http.MethodGet, "/v1/status", nil, &st) != nil {
		return 0
	}
	return st.Revision
}

// waitRevision waits until at least the given revision is in force at all members.
func (sy *system) waitRevision(revision uint64, members ...*fleet.Member) {
	require.NoError(sy.t, fleet.WaitUntil(waitTimeout, fmt.Sprint("revision in force: ", revision), func() bool {
		for _, me := range members {
			if sy.currentRevision(me) < revision {
				return false
			}
		}
		return true
	}))
}

// call is a request of a caller and its outcome.
type call struct {
	kind, session, idempotencyKey, model, content string
	stream                                        bool
	// before holds the contents of the messages before the last.
	before []string

	id, version string
	status      int
	code        result.Code
	run         result.Run
	// complete is true if the answer arrived in full and is the one expected of the version.
	complete bool
	err      error
}

// send sends a call through an entry and waits for its outcome.
func (sy *system) send(en *fleet.Member, ca call) call {
	if ca.model == "" {
		ca.model = "m"
	}
	if ca.content == "" {
		ca.content = "x"
	}
	var messages strings.Builder
	for _, content := range ca.before {
		fmt.Fprintf(&messages, `{"role":"user","content":%q},`, content)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[%s{"role":"user","content":%q}]}`, ca.model, ca.stream, messages.String(), ca.content)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+en.Address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(sy.t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	for name, value := range map[string]string{
		"X-Linnetrudder-Kind": ca.kind, "X-Linnetrudder-Session": ca.session, "Idempotency-Key": ca.idempotencyKey,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		ca.err = err
		return ca
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ca.err = err
	ca.id = resp.Header.Get("X-Linnetrudder-Request")
	ca.version = resp.Header.Get("X-Linnetrudder-Version")
	ca.status = resp.StatusCode
	ca.parseResponse(data)
	return ca
}

// parseResponse sets the result code or whether the answer is complete.
func (ca *call) parseResponse(data []byte) {
	var eb node.ErrorBody
	if json.Unmarshal(data, &eb) == nil && eb.Error.Code != 0 {
		ca.code, ca.run = eb.Error.Code, eb.Error.Run
		return
	}
	if ca.err != nil || ca.status != http.StatusOK {
		return
	}
	if ca.stream {
		ca.complete = joinStream(data) == engine.Answer(ca.version, answerTokens)
		return
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	ca.complete = json.Unmarshal(data, &answer) == nil && len(answer.Choices) == 1 &&
		answer.Choices[0].Message.Content == engine.Answer(ca.version, answerTokens)
}

// joinStream joins the text of a stream's chunks. It returns "" if the stream has no [DONE] line.
func joinStream(data []byte) string {
	var text strings.Builder
	done := false
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "data: "))
		if line == "[DONE]" {
			done = true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(line), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if !done {
		return ""
	}
	return text.String()
}

// startLoad sends calls from several concurrent callers until stop is called, which returns the
// calls with their outcomes.
func (sy *system) startLoad(callers int, next func(n int) call) (stop func() []call) {
	var mu sync.Mutex
	var all []call
	var wg sync.WaitGroup
	quit := make(chan struct{})
	for c := range callers {
		wg.Go(func() {
			for n := c; ; n += callers {
				select {
				case <-quit:
					return
				default:
				}
				done := sy.send(sy.entries[n%2], next(n))
				mu.Lock()
				all = append(all, done)
				mu.Unlock()
			}
		})
	}
	return func() []call {
		close(quit)
		wg.Wait()
		return all
	}
}

// runsByRequest returns, by request id, how often each request started on any engine.
func (sy *system) runsByRequest() map[string]int {
	all := map[string]int{}
	for _, ag := range sy.agents {
		resp, err := http.Get("http://" + ag.Backend + "/runs")
		require.NoError(sy.t, err)
		var counts map[string]int
		require.NoError(sy.t, json.NewDecoder(resp.Body).Decode(&counts))
		_ = resp.Body.Close()
		for id, n := range counts {
			all[id] += n
		}
	}
	return all
}

// billLinesByRequest returns the number of bill lines of each request, by its id.
func (sy *system) billLinesByRequest() map[string]int {
	var lines []wire.BillLine
	count := map[string]int{}
	if sy.callAdmin(sy.entries[0], http.MethodGet, "/v1/bill", nil, &lines) != nil {
		return count
	}
	for _, li := range lines {
		count[li.Request]++
	}
	return count
}

// checkCalls checks the guarantees that hold for every call under any failure: answers are complete
// and billed exactly once, calls reported as not run did not run, and non-repeatable calls run at
// most once.
func (sy *system) checkCalls(calls []call) {
	runs := sy.runsByRequest()
	answered := map[string]bool{}
	for _, ca := range calls {
		if ca.status == http.StatusOK && ca.err == nil && ca.code == 0 {
			require.True(sy.t, ca.complete, "an answer without an error must be complete: %+v", ca)
			answered[ca.id] = true
		}
		if ca.run == result.DidNotRun {
			require.Zero(sy.t, runs[ca.id], "a call reported as not run must not have run: %+v", ca)
		}
		if ca.kind == "once" {
			require.LessOrEqual(sy.t, runs[ca.id], 1, "a non-repeatable call must run at most once: %+v", ca)
		}
	}
	require.NotEmpty(sy.t, answered)
	require.NoError(sy.t, fleet.WaitUntil(waitTimeout, "every answered request to be billed", func() bool {
		count := sy.billLinesByRequest()
		for id := range answered {
			if count[id] == 0 {
				return false
			}
		}
		return true
	}))
	for id, n := range sy.billLinesByRequest() {
		require.Equal(sy.t, 1, n, "a request must be billed once: %s", id)
	}
}
