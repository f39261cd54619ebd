package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/linnetrudder/linnetrudder/internal/entry"
	"github.com/linnetrudder/linnetrudder/standin/engine"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/plain"
)

// answerTokens is the length of the stand-in engines' answers in tokens.
const answerTokens = 8

// waitTimeout is long enough that only a faulty system reaches it.
const waitTimeout = 20 * time.Second

// demo is the state shared by the steps.
type demo struct {
	fleet       *fleet.Fleet
	bin, config string
	entries     []*fleet.Member
	// expectedBillLines is the number of lines that the bill must have.
	expectedBillLines int
	// lastRequestID is the id of the latest chat request.
	lastRequestID string
}

// steps lists the steps of the demo in the order in which they run.
var steps = []struct {
	name string
	run  func(de *demo) error
}{
	{"start stand-ins, agents and entries", (*demo).start},
	{"apply the configuration", (*demo).applyConfig},
	{"send chat requests through both entries", (*demo).checkChat},
	{"stream a chat response", (*demo).checkStream},
	{"keep the version within a session", (*demo).checkSession},
	{"submit ratings", (*demo).submitRatings},
	{"escalate a request in a cascade", (*demo).checkCascade},
	{"send a plain call with an idempotency key", (*demo).checkPlainCall},
	{"withdraw a version", (*demo).withdrawVersion},
	{"check the bill", (*demo).checkBill},
	{"show the timeline", (*demo).checkTimeline},
	{"shut down gracefully", (*demo).stop},
}

func (de *demo) start() error {
	if err := de.fleet.StartPlatform(); err != nil {
		return err
	}
	backends := []struct {
		server, dataCentre, kind string
		args                     []string
	}{
		{"a-model-1", "dc-a", "engine", []string{"--tokens", fmt.Sprint(answerTokens), "--confidence", "0.4"}},
		{"b-model-1", "dc-b", "engine", []string{"--tokens", fmt.Sprint(answerTokens), "--confidence", "0.4"}},
		{"a-track-1", "dc-a", "plain", nil},
	}
	for _, ba := range backends {
		address, _, err := de.fleet.StartStandIn(ba.server, ba.kind, ba.args...)
		if err != nil {
			return err
		}
		me := fleet.Member{Box: "agent-" + ba.server, Role: "agent", DataCentre: ba.dataCentre, Server: ba.server, Backend: address}
		if _, err := de.fleet.Add(me); err != nil {
			return err
		}
	}
	for _, dc := range []string{"dc-a", "dc-b"} {
		me, err := de.fleet.Add(fleet.Member{Box: "entry-" + dc, Role: "entry", DataCentre: dc})
		if err != nil {
			return err
		}
		de.entries = append(de.entries, me)
	}
	return nil
}

// runCtl runs linnetrudderctl against all entries, prints its output and returns it.
func (de *demo) runCtl(args ...string) (string, error) {
	admins := make([]string, 0, len(de.entries))
	for _, en := range de.entries {
		admins = append(admins, en.Admin)
	}
	cmd := exec.Command(filepath.Join(de.bin, "linnetrudderctl"), append(args, "--admin", strings.Join(admins, ","))...)
	out, err := cmd.CombinedOutput()
	fmt.Print(string(out))
	return string(out), err
}

func (de *demo) applyConfig() error {
	if _, err := de.runCtl("apply", de.config, "--operator", "demo"); err != nil {
		return err
	}
	return fleet.WaitUntil(waitTimeout, "revision 1 to be in force in all processes", func() bool {
		for _, me := range de.fleet.Members() {
			if !ready(me) {
				return false
			}
		}
		return true
	})
}

func ready(me *fleet.Member) bool {
	resp, err := http.Get("http://" + me.Admin + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (de *demo) client(i int, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+de.entries[i].Address+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(3))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("What can I cook from rice and beans?")},
	}
}

// sendChat sends a chat request through the i-th entry, checks the answer and returns the version
// that gave it.
func (de *demo) sendChat(i int, key, model string, opts ...option.RequestOption) (string, error) {
	var resp *http.Response
	opts = append(opts, option.WithResponseInto(&resp))
	cl := de.client(i, key)
	done, err := cl.Chat.Completions.New(context.Background(), chatParams(model), opts...)
	if err != nil {
		return "", err
	}
	de.expectedBillLines++
	de.lastRequestID = resp.Header.Get("X-Linnetrudder-Request")
	version := resp.Header.Get("X-Linnetrudder-Version")
	text := done.Choices[0].Message.Content
	fmt.Printf("%s answered %q\n", version, text)
	if want := engine.Answer(version, answerTokens); text != want {
		return "", fmt.Errorf("answer %q, want %q", text, want)
	}
	return version, nil
}

func (de *demo) checkChat() error {
	for i := range de.entries {
		version, err := de.sendChat(i, "kitchen-key", "menu")
		if err != nil {
			return err
		}
		if version != "menu@v1" {
			return fmt.Errorf("kitchen request served by %s, which no grant allows", version)
		}
	}
	return nil
}

func (de *demo) checkStream() error {
	cl := de.client(0, "cooperative-key")
	st := cl.Chat.Completions.NewStreaming(context.Background(), chatParams("notes"))
	var text strings.Builder
	version := ""
	for st.Next() {
		ch := st.Current()
		version = ch.Model
		if len(ch.Choices) > 0 {
			text.WriteString(ch.Choices[0].Delta.Content)
		}
	}
	if err := st.Err(); err != nil {
		return err
	}
	de.expectedBillLines++
	fmt.Printf("%s streamed %q\n", version, text.String())
	if want := engine.Answer(version, answerTokens); text.String() != want {
		return fmt.Errorf("streamed %q, want %q", text.String(), want)
	}
	return nil
}

func (de *demo) checkSession() error {
	opt := option.WithHeader("X-Linnetrudder-Session", "voyage-7")
	first := ""
	for n := range 6 {
		version, err := de.sendChat(n%len(de.entries), "cooperative-key", "menu", opt)
		if err != nil {
			return err
		}
		if first == "" {
			first = version
		}
		if version != first {
			return fmt.Errorf("version changed within the session from %s to %s", first, version)
		}
	}
	return nil
}

// ratingsPerCase is the number of ratings for each version and value of Accepted, enough for the
// system to rely on them.
const ratingsPerCase = 60

// submitRatings sends ratings as the rating service would: the strong model's drafts are good, the
// cheap one's are poor except for first attempts that the cascade accepted. Without these ratings
// the system sends drafts to the strong model directly and tries the cheap one only occasionally.
func (de *demo) submitRatings() error {
	var list []entry.Rating
	add := func(version string, accepted bool, score float64) {
		rating := entry.Rating{Team: "kitchen-a", Kind: "draft", Version: version, Accepted: accepted, Score: score}
		list = append(list, slices.Repeat([]entry.Rating{rating}, ratingsPerCase)...)
	}
	add("menu@v1", false, 1)
	for _, version := range []string{"notes@v1", "notes@v2"} {
		add(version, false, 0.3)
		add(version, true, 1)
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+de.entries[0].Admin+"/v1/ratings", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("submit ratings: %s", resp.Status)
	}
	return nil
}

func (de *demo) checkCascade() error {
	version, err := de.sendChat(0, "kitchen-key", "auto", option.WithHeader("X-Linnetrudder-Kind", "draft"))
	if err != nil {
		return err
	}
	if version != "menu@v1" {
		return fmt.Errorf("cascade answered by %s, want menu@v1", version)
	}
	de.expectedBillLines++ // the first attempt has its own bill line
	return nil
}

func (de *demo) checkPlainCall() error {
	req, err := http.NewRequest(http.MethodPost, "http://"+de.entries[0].Address+"/services/tracking/seals/42", http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer cooperative-key")
	req.Header.Set("Idempotency-Key", "seal-42")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var an plain.Response
	if err := json.NewDecoder(resp.Body).Decode(&an); err != nil {
		return err
	}
	fmt.Printf("%s %s\n", an.Method, an.Path)
	if resp.StatusCode != http.StatusOK || an.Path != "/seals/42" {
		return fmt.Errorf("plain call failed: %s", resp.Status)
	}
	de.expectedBillLines++
	return nil
}

func (de *demo) withdrawVersion() error {
	if _, err := de.runCtl("withdraw", "notes@v2"); err != nil {
		return err
	}
	if err := fleet.WaitUntil(waitTimeout, "the withdrawal to be in force", func() bool { return de.revisionInForce("2") }); err != nil {
		return err
	}
	for n := range 10 {
		version, err := de.sendChat(n%len(de.entries), "cooperative-key", "notes")
		if err != nil {
			return err
		}
		if version == "notes@v2" {
			return fmt.Errorf("request served by a withdrawn version")
		}
	}
	return nil
}

// revisionInForce reports whether all processes have the configuration of the given revision.
func (de *demo) revisionInForce(revision string) bool {
	for _, me := range de.fleet.Members() {
		resp, err := http.Get("http://" + me.Admin + "/v1/status")
		if err != nil {
			return false
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !strings.Contains(string(body), `"revision":`+revision) {
			return false
		}
	}
	return true
}

func (de *demo) checkBill() error {
	lines := 0
	err := fleet.WaitUntil(waitTimeout, "all requests to be billed", func() bool {
		out, err := exec.Command(filepath.Join(de.bin, "linnetrudderctl"),
			"bill", "--lines", "--admin", de.entries[0].Admin).Output()
		lines = strings.Count(string(out), "\n")
		return err == nil && lines >= de.expectedBillLines
	})
	if err != nil {
		return err
	}
	if lines != de.expectedBillLines {
		return fmt.Errorf("bill has %d lines, want %d", lines, de.expectedBillLines)
	}
	_, err = de.runCtl("bill")
	return err
}

func (de *demo) checkTimeline() error {
	out, err := de.runCtl("timeline", "--team", "kitchen-a")
	if err != nil {
		return err
	}
	if !strings.Contains(out, "request_escalated") || !strings.Contains(out, "attempt_admitted") {
		return fmt.Errorf("timeline lacks request_escalated or attempt_admitted")
	}
	if _, err := de.runCtl("explain", "--request", de.lastRequestID); err != nil {
		return err
	}
	_, err = de.runCtl("status")
	return err
}

func (de *demo) stop() error {
	if err := de.fleet.Stop(); err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, "all processes shut down gracefully")
	return nil
}
