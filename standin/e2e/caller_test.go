package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/standin/engine"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

func TestOpenAIClientWorksUnmodified(t *testing.T) {
	sy := newSystem(t, 1, time.Millisecond)
	cl := openai.NewClient(option.WithBaseURL("http://"+sy.entries[0].Address+"/v1"), option.WithAPIKey(teamKey))
	params := openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("x")},
	}
	done, err := cl.Chat.Completions.New(t.Context(), params)
	require.NoError(t, err)
	require.Equal(t, engine.Answer(done.Model, answerTokens), done.Choices[0].Message.Content)
	require.EqualValues(t, answerTokens, done.Usage.CompletionTokens)

	for _, usage := range []bool{false, true} {
		params.StreamOptions.IncludeUsage = openai.Bool(usage)
		st := cl.Chat.Completions.NewStreaming(t.Context(), params)
		acc := openai.ChatCompletionAccumulator{}
		for st.Next() {
			require.True(t, acc.AddChunk(st.Current()))
		}
		require.NoError(t, st.Err())
		require.Equal(t, engine.Answer(acc.Model, answerTokens), acc.Choices[0].Message.Content)
		require.Equal(t, usage, acc.Usage.CompletionTokens > 0, "usage is sent only if include_usage is set")
	}

	models, err := cl.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Data, 1)
	require.Equal(t, "m", models.Data[0].ID)

	_, err = cl.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "none", Messages: params.Messages})
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, http.StatusNotFound, apiErr.StatusCode)
	require.Equal(t, "unknown_model", apiErr.Type)
}

func TestInvalidRequestsReturnTheExpectedCode(t *testing.T) {
	sy := newSystem(t, 1, time.Millisecond)
	good := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	for _, tc := range []struct {
		name, path, key, body string
		header                [2]string
		want                  result.Code
	}{
		{name: "no key", body: good, want: result.UnknownKey},
		{name: "wrong key", key: "other", body: good, want: result.UnknownKey},
		{name: "not JSON", key: teamKey, body: `{"model":`, want: result.BadRequest},
		{name: "no model", key: teamKey, body: `{"messages":[{}]}`, want: result.BadRequest},
		{name: "no messages", key: teamKey, body: `{"model":"m","messages":[]}`, want: result.BadRequest},
		{name: "unknown model", key: teamKey, body: strings.Replace(good, `"m"`, `"none"`, 1), want: result.UnknownModel},
		{name: "large body", key: teamKey, body: good + strings.Repeat(" ", 2<<20), want: result.BodyTooLarge},
		{name: "long session", key: teamKey, body: good, header: [2]string{"X-Linnetrudder-Session", strings.Repeat("s", 200)}, want: result.BadSession},
		{name: "long key", key: teamKey, body: good, header: [2]string{"Idempotency-Key", strings.Repeat("k", 200)}, want: result.BadIdempotencyKey},
		{name: "no service", path: "/services/none/x", key: teamKey, want: result.UnknownPath},
		{name: "no path", path: "/v2/chat", key: teamKey, want: result.UnknownPath},
	} {
		path := tc.path
		if path == "" {
			path = "/v1/chat/completions"
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+sy.entries[0].Address+path, strings.NewReader(tc.body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+tc.key)
		if tc.header[0] != "" {
			req.Header.Set(tc.header[0], tc.header[1])
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err, tc.name)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		var ca call
		ca.parseResponse(data)
		require.Equal(t, tc.want, ca.code, "%s: %s", tc.name, data)
		require.Equal(t, result.DidNotRun, ca.run, tc.name)
	}
	require.True(t, sy.send(sy.entries[0], call{}).complete, "the entry still serves valid requests")
	require.Len(t, sy.runsByRequest(), 1, "none of the invalid requests ran")
}

func TestClientDisconnectFreesTheEngineSlot(t *testing.T) {
	sy := newSystem(t, 1, time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+sy.entries[0].Address+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 1, sy.runningCount())
	cancel()
	require.NoError(t, fleet.WaitUntil(waitTimeout, "the engine's slot to be free", func() bool { return sy.runningCount() == 0 }))
}

// Guards against a request being started although its caller was gone before the entry read it.
func TestRequestOfADepartedCallerIsNotStarted(t *testing.T) {
	const departures, body = 30, `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	sy := newSystem(t, 1, time.Millisecond)
	sy.waitAnswers(1)
	for _, reset := range []bool{true, false} {
		started := sy.totalStarted(sy.agents[0])
		sy.suspend(sy.entries[0])
		for range departures {
			conn, err := net.Dial("tcp", sy.entries[0].Address)
			require.NoError(t, err)
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", teamKey, len(body), body)
			require.NoError(t, err)
			if reset {
				require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
			}
			require.NoError(t, conn.Close())
		}
		require.NoError(t, sy.entries[0].Process.Signal(syscall.SIGCONT))
		sends := 1
		for ; !sy.send(sy.entries[0], call{kind: "long-deadline"}).complete; sends++ {
			require.Less(t, sends, departures, "requests of callers that stay")
		}
		require.LessOrEqual(t, sy.totalStarted(sy.agents[0])-started, sends, "sent by callers that stay")
	}
}

// suspend suspends a process and waits until none of its threads runs.
func (sy *system) suspend(me *fleet.Member) {
	require.NoError(sy.t, me.Process.Signal(syscall.SIGSTOP))
	require.NoError(sy.t, fleet.WaitUntil(waitTimeout, "the process to stop", func() bool {
		names, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", me.Process.PID()))
		require.NoError(sy.t, err)
		return !slices.ContainsFunc(names, func(name string) bool {
			stat, err := os.ReadFile(name)
			return err == nil && !strings.Contains(string(stat), ") T ")
		})
	}))
}

// Guards against a caller whose bytes end the link to an agent, and with it the requests of others.
func TestOddBytesOfACallerDisturbNoOtherRequest(t *testing.T) {
	sy := newSystem(t, 1, 20*time.Millisecond)
	sy.waitAnswers(1)
	stop := sy.startLoad(4, func(int) call { return call{stream: true, kind: "once"} })
	for range 10 {
		for _, odd := range [][2]string{{"Content-Type", "text/\xff"}, {"X-Linnetrudder-Session", "\xff"}, {"X-Linnetrudder-Kind", "\xfe"}, {"Idempotency-Key", "\x80"}} {
			req, err := http.NewRequest(http.MethodPost, "http://"+sy.entries[0].Address+"/v1/chat/completions", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+teamKey)
			req.Header[odd[0]] = []string{odd[1]}
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
	}
	calls := stop()
	for _, ca := range calls {
		require.True(t, ca.complete, "%+v", ca)
	}
	sy.checkCalls(calls)
}

// runningCount returns the number of requests in progress on the first engine.
func (sy *system) runningCount() int {
	var n int
	require.NoError(sy.t, sy.getJSON("http://"+sy.agents[0].Backend+"/running", &n))
	return n
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	for _, signal := range []string{"configuration", "list"} {
		t.Run(signal, func(t *testing.T) {
			sy := newSystem(t, 2, time.Millisecond)
			stop := sy.startLoad(4, func(int) call { return call{kind: "long-deadline"} })
			sy.waitAnswers(2)
			if signal == "configuration" {
				doc := sy.baseConfig()
				doc.Servers[0].Leaving = true
				sy.applyConfig(doc)
				sy.waitRevision(2, sy.fleet.Members()...)
			} else {
				require.NoError(t, sy.fleet.PublishWithLeaving(sy.agents[0]))
			}
			// The change is in force once five requests are answered and none of them starts on this
			// server.
			require.NoError(t, fleet.WaitUntil(waitTimeout, "no new requests on the leaving server", func() bool {
				before := sy.totalStarted(sy.agents[0])
				sy.waitAnswers(5)
				return sy.totalStarted(sy.agents[0]) == before
			}))
			started := sy.totalStarted(sy.agents[0])
			sy.waitAnswers(10)
			require.Equal(t, started, sy.totalStarted(sy.agents[0]))
			calls := stop()
			for _, ca := range calls {
				require.True(t, ca.complete, "%+v", ca)
			}
			sy.checkCalls(calls)
		})
	}
}

// totalStarted returns the number of requests of both versions that started on an agent's engine.
func (sy *system) totalStarted(ag *fleet.Member) int {
	return sy.startedCount(ag, "m@v1") + sy.startedCount(ag, "m@v2")
}

func TestTeamWithoutGrantSeesNoModels(t *testing.T) {
	sy := newSystem(t, 1, time.Millisecond)
	doc := sy.baseConfig()
	doc.Teams = append(doc.Teams, config.Team{Name: "other", KeyDigests: []string{config.KeyDigest("other-key")}})
	doc.Grants[0].Teams.Equal = map[string]string{"team": "team"}
	sy.applyConfig(doc)
	sy.waitRevision(2, sy.fleet.Members()...)
	granted := sy.send(sy.entries[0], call{idempotencyKey: "k", session: "s"})
	require.True(t, granted.complete)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+sy.entries[0].Address+"/v1/models", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer other-key")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NotContains(t, string(data), `"m"`)
	require.Contains(t, string(data), `"data":[]`, fmt.Sprint(resp.Status))
}
