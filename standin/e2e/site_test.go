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
	// bound is reached only by a broken system.
	bound = 60 * time.Second
	// tokens is the length of the engines' answers.
	tokens = 12
	key    = "team-key"
)

// site is one running system with two entries and a few agents.
type site struct {
	t       *testing.T
	fleet   *fleet.Fleet
	entries []*fleet.Member
	agents  []*fleet.Member
}

// newSite starts two entries before a number of model servers, in two data
// centres in turn.
func newSite(t *testing.T, servers int, pace time.Duration) *site {
	si := &site{t: t, fleet: &fleet.Fleet{Bin: bin, Dir: t.TempDir()}}
	t.Cleanup(func() {
		_ = si.fleet.SetStoreFaults(store.Faults{})
		_ = si.fleet.Stop()
	})
	require.NoError(t, si.fleet.StartPlatform())
	for i := range servers {
		name := fmt.Sprintf("s-%d", i)
		address, _, err := si.fleet.StartStandIn(name, "engine", "--tokens", fmt.Sprint(tokens), "--pace", pace.String())
		require.NoError(t, err)
		me := fleet.Member{Box: "agent-" + name, Role: "agent", DataCentre: dataCentre(i), Server: name, Backend: address}
		added, err := si.fleet.Add(me)
		require.NoError(t, err)
		si.agents = append(si.agents, added)
	}
	for i := range 2 {
		si.addEntry(fmt.Sprintf("entry-%d", i), dataCentre(i))
	}
	si.apply(si.document())
	si.waitRevision(1, si.fleet.Members()...)
	return si
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%2) }

func (si *site) addEntry(box, dc string) *fleet.Member {
	me, err := si.fleet.Add(fleet.Member{Box: box, Role: "entry", DataCentre: dc})
	require.NoError(si.t, err)
	si.entries = append(si.entries, me)
	return me
}

// document opens two versions of one model to one team.
func (si *site) document() *config.Document {
	doc := &config.Document{
		Models: []config.Model{{Name: "m"}},
		Versions: []config.Version{
			{Model: "m", Name: "v1", State: config.Serving, InputPrice: 1, OutputPrice: 1},
			{Model: "m", Name: "v2", State: config.Serving, InputPrice: 1, OutputPrice: 1},
		},
		Teams:  []config.Team{{Name: "team", KeyDigests: []string{config.KeyDigest(key)}}},
		Grants: []config.Grant{{Versions: &selector.Selector{}}},
		Kinds:  []config.Kind{{Name: "once", NotRepeatable: true, DeadlineMS: 3000}, {Name: "patient", DeadlineMS: 20_000}},
	}
	for i, ag := range si.agents {
		doc.Servers = append(doc.Servers, config.Server{
			Name: ag.Server, DataCentre: dataCentre(i), Versions: []string{"m@v1", "m@v2"}, Slots: 16,
		})
	}
	return doc
}

func (si *site) admin(en *fleet.Member, method, path string, body any, into any) error {
	data, err := json.Marshal(body)
	require.NoError(si.t, err)
	req, err := http.NewRequestWithContext(si.t.Context(), method, "http://"+en.Admin+path, bytes.NewReader(data))
	require.NoError(si.t, err)
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

func (si *site) apply(doc *config.Document) {
	var ch config.Change
	require.NoError(si.t, fleet.WaitUntil(bound, "apply", func() bool {
		return si.admin(si.entries[0], http.MethodPut, "/v1/config", doc, &ch) == nil
	}))
}

// setV2 changes the state of m@v2 and returns the revision.
func (si *site) setV2(state config.State) uint64 {
	var ch config.Change
	body := map[string]any{"state": state}
	require.NoError(si.t, si.admin(si.entries[0], http.MethodPost, "/v1/versions/m/v2", body, &ch))
	return ch.Revision
}

func (si *site) revision(me *fleet.Member) uint64 {
	var st node.Status
	if si.admin(me, http.MethodGet, "/v1/status", nil, &st) != nil {
		return 0
	}
	return st.Revision
}

func (si *site) waitRevision(revision uint64, members ...*fleet.Member) {
	require.NoError(si.t, fleet.WaitUntil(bound, fmt.Sprint("revision ", revision), func() bool {
		for _, me := range members {
			if si.revision(me) < revision {
				return false
			}
		}
		return true
	}))
}

// call is one request of a caller and what came of it.
type call struct {
	kind, session, idempotency, model, content string
	stream                                     bool

	id, version string
	status      int
	code        result.Code
	run         result.Run
	// whole is true if the answer was complete and the version's own.
	whole bool
	err   error
}

// ask sends a call through an entry and waits for its outcome.
func (si *site) ask(en *fleet.Member, ca call) call {
	if ca.model == "" {
		ca.model = "m"
	}
	if ca.content == "" {
		ca.content = "x"
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, ca.model, ca.stream, ca.content)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+en.Address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(si.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range map[string]string{
		"X-Linnetrudder-Kind": ca.kind, "X-Linnetrudder-Session": ca.session, "Idempotency-Key": ca.idempotency,
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
	ca.judge(data)
	return ca
}

func (ca *call) judge(data []byte) {
	var pr node.ErrorBody
	if json.Unmarshal(data, &pr) == nil && pr.Error.Code != 0 {
		ca.code, ca.run = pr.Error.Code, pr.Error.Run
		return
	}
	if ca.err != nil || ca.status != http.StatusOK {
		return
	}
	if ca.stream {
		ca.whole = streamed(data) == engine.Answer(ca.version, tokens)
		return
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	ca.whole = json.Unmarshal(data, &answer) == nil && len(answer.Choices) == 1 &&
		answer.Choices[0].Message.Content == engine.Answer(ca.version, tokens)
}

// streamed joins a stream's parts; one that lacks its end reads as empty.
func streamed(data []byte) string {
	var text strings.Builder
	done := false
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "data: "))
		if line == "[DONE]" {
			done = true
		}
		var part struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(line), &part) == nil && len(part.Choices) > 0 {
			text.WriteString(part.Choices[0].Delta.Content)
		}
	}
	if !done {
		return ""
	}
	return text.String()
}

// load sends calls from several callers until it is stopped and returns all
// outcomes.
func (si *site) load(callers int, next func(n int) call) (stop func() []call) {
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
				got := si.ask(si.entries[n%2], next(n))
				mu.Lock()
				all = append(all, got)
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

// runs returns how often each request began on any engine.
func (si *site) runs() map[string]int {
	all := map[string]int{}
	for _, ag := range si.agents {
		resp, err := http.Get("http://" + ag.Backend + "/runs")
		require.NoError(si.t, err)
		var part map[string]int
		require.NoError(si.t, json.NewDecoder(resp.Body).Decode(&part))
		_ = resp.Body.Close()
		for id, n := range part {
			all[id] += n
		}
	}
	return all
}

// bills returns how often each request stands on the bill.
func (si *site) bills() map[string]int {
	var lines []wire.BillLine
	count := map[string]int{}
	if si.admin(si.entries[0], http.MethodGet, "/v1/bill", nil, &lines) != nil {
		return count
	}
	for _, li := range lines {
		count[li.Request]++
	}
	return count
}

// checkCalls checks what must hold of every call, whatever failed.
func (si *site) checkCalls(calls []call) {
	runs := si.runs()
	answered := map[string]bool{}
	for _, ca := range calls {
		if ca.status == http.StatusOK && ca.err == nil && ca.code == 0 {
			require.True(si.t, ca.whole, "an answer that ended well is whole: %+v", ca)
			answered[ca.id] = true
		}
		if ca.run == result.DidNotRun {
			require.Zero(si.t, runs[ca.id], "not run is true: %+v", ca)
		}
		if ca.kind == "once" {
			require.LessOrEqual(si.t, runs[ca.id], 1, "at most once: %+v", ca)
		}
	}
	require.NotEmpty(si.t, answered)
	require.NoError(si.t, fleet.WaitUntil(bound, "every answered request on the bill", func() bool {
		count := si.bills()
		for id := range answered {
			if count[id] == 0 {
				return false
			}
		}
		return true
	}))
	for id, n := range si.bills() {
		require.Equal(si.t, 1, n, "billed once: %s", id)
	}
}
