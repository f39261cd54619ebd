package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
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

func TestAStockClientWorksUnchanged(t *testing.T) {
	si := newSite(t, 1, time.Millisecond)
	cl := openai.NewClient(option.WithBaseURL("http://"+si.entries[0].Address+"/v1"), option.WithAPIKey(key))
	ask := openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("x")},
	}
	done, err := cl.Chat.Completions.New(t.Context(), ask)
	require.NoError(t, err)
	require.Equal(t, engine.Answer(done.Model, tokens), done.Choices[0].Message.Content)
	require.EqualValues(t, tokens, done.Usage.CompletionTokens)

	for _, usage := range []bool{false, true} {
		ask.StreamOptions.IncludeUsage = openai.Bool(usage)
		st := cl.Chat.Completions.NewStreaming(t.Context(), ask)
		acc := openai.ChatCompletionAccumulator{}
		for st.Next() {
			require.True(t, acc.AddChunk(st.Current()))
		}
		require.NoError(t, st.Err())
		require.Equal(t, engine.Answer(acc.Model, tokens), acc.Choices[0].Message.Content)
		require.Equal(t, usage, acc.Usage.CompletionTokens > 0, "usage comes only to who asks for it")
	}

	models, err := cl.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Data, 1)
	require.Equal(t, "m", models.Data[0].ID)

	_, err = cl.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "none", Messages: ask.Messages})
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, http.StatusNotFound, apiErr.StatusCode)
	require.Equal(t, "unknown_model", apiErr.Type)
}

func TestEveryBadInputHasItsOwnCode(t *testing.T) {
	si := newSite(t, 1, time.Millisecond)
	good := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	for _, tc := range []struct {
		name, path, key, body string
		header                [2]string
		want                  result.Code
	}{
		{name: "no key", body: good, want: result.UnknownKey},
		{name: "wrong key", key: "other", body: good, want: result.UnknownKey},
		{name: "not JSON", key: key, body: `{"model":`, want: result.BadRequest},
		{name: "no model", key: key, body: `{"messages":[{}]}`, want: result.BadRequest},
		{name: "no messages", key: key, body: `{"model":"m","messages":[]}`, want: result.BadRequest},
		{name: "unknown model", key: key, body: strings.Replace(good, `"m"`, `"none"`, 1), want: result.UnknownModel},
		{name: "large body", key: key, body: good + strings.Repeat(" ", 2<<20), want: result.BodyTooLarge},
		{name: "long session", key: key, body: good, header: [2]string{"X-Linnetrudder-Session", strings.Repeat("s", 200)}, want: result.BadSession},
		{name: "long key", key: key, body: good, header: [2]string{"Idempotency-Key", strings.Repeat("k", 200)}, want: result.BadIdempotencyKey},
		{name: "no service", path: "/services/none/x", key: key, want: result.UnknownPath},
		{name: "no path", path: "/v2/chat", key: key, want: result.UnknownPath},
	} {
		path := tc.path
		if path == "" {
			path = "/v1/chat/completions"
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+si.entries[0].Address+path, strings.NewReader(tc.body))
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
		ca.judge(data)
		require.Equal(t, tc.want, ca.code, "%s: %s", tc.name, data)
		require.Equal(t, result.DidNotRun, ca.run, tc.name)
	}
	require.True(t, si.ask(si.entries[0], call{}).whole, "and the process goes on")
	require.Len(t, si.runs(), 1, "nothing of that has run")
}

func TestACallerThatGoesAwayFreesTheEngine(t *testing.T) {
	si := newSite(t, 1, time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+si.entries[0].Address+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 1, si.running())
	cancel()
	require.NoError(t, fleet.WaitUntil(bound, "the slot to be free", func() bool { return si.running() == 0 }))
}

// running returns how many requests run on the first engine.
func (si *site) running() int {
	var n int
	require.NoError(si.t, si.getJSON("http://"+si.agents[0].Backend+"/running", &n))
	return n
}

func TestAServerThatLeavesGetsNothingNew(t *testing.T) {
	for _, signal := range []string{"configuration", "list"} {
		t.Run(signal, func(t *testing.T) {
			si := newSite(t, 2, time.Millisecond)
			stop := si.load(4, func(int) call { return call{kind: "patient"} })
			si.served(2)
			if signal == "configuration" {
				doc := si.document()
				doc.Servers[0].Leaving = true
				si.apply(doc)
				si.waitRevision(2, si.fleet.Members()...)
			} else {
				require.NoError(t, si.fleet.PublishWithLeaving(si.agents[0]))
			}
			// It has left once a while goes by in which others serve and it
			// does not.
			require.NoError(t, fleet.WaitUntil(bound, "nothing new", func() bool {
				before := si.total(si.agents[0])
				si.served(5)
				return si.total(si.agents[0]) == before
			}))
			quiet := si.total(si.agents[0])
			si.served(10)
			require.Equal(t, quiet, si.total(si.agents[0]))
			calls := stop()
			for _, ca := range calls {
				require.True(t, ca.whole, "%+v", ca)
			}
			si.checkCalls(calls)
		})
	}
}

// total returns how many requests began on an agent's engine.
func (si *site) total(ag *fleet.Member) int {
	return si.began(ag, "m@v1") + si.began(ag, "m@v2")
}

func TestAnotherTeamReachesNothing(t *testing.T) {
	si := newSite(t, 1, time.Millisecond)
	doc := si.document()
	doc.Teams = append(doc.Teams, config.Team{Name: "other", KeyDigests: []string{config.KeyDigest("other-key")}})
	doc.Grants[0].Teams.Equal = map[string]string{"team": "team"}
	si.apply(doc)
	si.waitRevision(2, si.fleet.Members()...)
	mine := si.ask(si.entries[0], call{idempotency: "k", session: "s"})
	require.True(t, mine.whole)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+si.entries[0].Address+"/v1/models", http.NoBody)
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
