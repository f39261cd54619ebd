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

// tokens is the length of the stand-in engines' answers.
const tokens = 8

// bound is reached only by a broken system.
const bound = 20 * time.Second

// demo is the state that the steps share.
type demo struct {
	fleet       *fleet.Fleet
	bin, config string
	entries     []*fleet.Member
	// requests counts what must stand on the bill.
	requests int
	// last is the id of the newest chat request.
	last string
}

// steps is the demo in its order.
var steps = []struct {
	name string
	run  func(de *demo) error
}{
	{"start stand-ins, agents and entries", (*demo).start},
	{"apply the configuration", (*demo).apply},
	{"chat through both entries", (*demo).chat},
	{"stream", (*demo).stream},
	{"a session keeps its version", (*demo).session},
	{"ratings of first tries", (*demo).rate},
	{"a cascade", (*demo).cascade},
	{"a plain call that may not be repeated", (*demo).plainCall},
	{"withdraw a version", (*demo).withdraw},
	{"the bill", (*demo).bill},
	{"the time line", (*demo).timeline},
	{"planned stop", (*demo).stop},
}

func (de *demo) start() error {
	if err := de.fleet.StartPlatform(); err != nil {
		return err
	}
	backends := []struct {
		server, dataCentre, kind string
		args                     []string
	}{
		{"a-model-1", "dc-a", "engine", []string{"--tokens", fmt.Sprint(tokens), "--confidence", "0.4"}},
		{"b-model-1", "dc-b", "engine", []string{"--tokens", fmt.Sprint(tokens), "--confidence", "0.4"}},
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

func (de *demo) ctl(args ...string) (string, error) {
	admins := make([]string, 0, len(de.entries))
	for _, en := range de.entries {
		admins = append(admins, en.Admin)
	}
	cmd := exec.Command(filepath.Join(de.bin, "linnetrudderctl"), append(args, "--admin", strings.Join(admins, ","))...)
	out, err := cmd.CombinedOutput()
	fmt.Print(string(out))
	return string(out), err
}

func (de *demo) apply() error {
	if _, err := de.ctl("apply", de.config, "--operator", "demo"); err != nil {
		return err
	}
	return fleet.WaitUntil(bound, "revision 1 in force everywhere", func() bool {
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

func params(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("What can I cook from rice and beans?")},
	}
}

// ask makes one chat request and returns the version that answered.
func (de *demo) ask(i int, key, model string, opts ...option.RequestOption) (string, error) {
	var resp *http.Response
	opts = append(opts, option.WithResponseInto(&resp))
	cl := de.client(i, key)
	done, err := cl.Chat.Completions.New(context.Background(), params(model), opts...)
	if err != nil {
		return "", err
	}
	de.requests++
	de.last = resp.Header.Get("X-Linnetrudder-Request")
	version := resp.Header.Get("X-Linnetrudder-Version")
	text := done.Choices[0].Message.Content
	fmt.Printf("%s answered %q\n", version, text)
	if want := engine.Answer(version, tokens); text != want {
		return "", fmt.Errorf("answer %q, want %q", text, want)
	}
	return version, nil
}

func (de *demo) chat() error {
	for i := range de.entries {
		version, err := de.ask(i, "kitchen-key", "menu")
		if err != nil {
			return err
		}
		if version != "menu@v1" {
			return fmt.Errorf("the kitchen got %s, which no grant opens", version)
		}
	}
	return nil
}

func (de *demo) stream() error {
	cl := de.client(0, "cooperative-key")
	st := cl.Chat.Completions.NewStreaming(context.Background(), params("notes"))
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
	de.requests++
	fmt.Printf("%s streamed %q\n", version, text.String())
	if want := engine.Answer(version, tokens); text.String() != want {
		return fmt.Errorf("streamed %q, want %q", text.String(), want)
	}
	return nil
}

func (de *demo) session() error {
	opt := option.WithHeader("X-Linnetrudder-Session", "voyage-7")
	first := ""
	for n := range 6 {
		version, err := de.ask(n%len(de.entries), "cooperative-key", "menu", opt)
		if err != nil {
			return err
		}
		if first == "" {
			first = version
		}
		if version != first {
			return fmt.Errorf("the session moved from %s to %s", first, version)
		}
	}
	return nil
}

// ratings is how many ratings of each sort make the system sure.
const ratings = 60

// rate plays the rating service: the strong model's drafts are good, the cheap
// one's are not, but its first tries that were kept are. Without that the system
// goes straight to the strong model, and now and then tries the cheap one.
func (de *demo) rate() error {
	var list []entry.Rating
	add := func(version string, kept bool, score float64) {
		one := entry.Rating{Team: "kitchen-a", Kind: "draft", Version: version, Accepted: kept, Score: score}
		list = append(list, slices.Repeat([]entry.Rating{one}, ratings)...)
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
		return fmt.Errorf("ratings: %s", resp.Status)
	}
	return nil
}

func (de *demo) cascade() error {
	version, err := de.ask(0, "kitchen-key", "auto", option.WithHeader("X-Linnetrudder-Kind", "draft"))
	if err != nil {
		return err
	}
	if version != "menu@v1" {
		return fmt.Errorf("the cascade ended on %s", version)
	}
	de.requests++ // its first try is a line of its own
	return nil
}

func (de *demo) plainCall() error {
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
		return fmt.Errorf("plain call: %s", resp.Status)
	}
	de.requests++
	return nil
}

func (de *demo) withdraw() error {
	if _, err := de.ctl("withdraw", "notes@v2"); err != nil {
		return err
	}
	if err := fleet.WaitUntil(bound, "the change in force", func() bool { return de.inForce("2") }); err != nil {
		return err
	}
	for n := range 10 {
		version, err := de.ask(n%len(de.entries), "cooperative-key", "notes")
		if err != nil {
			return err
		}
		if version == "notes@v2" {
			return fmt.Errorf("a withdrawn version answered")
		}
	}
	return nil
}

func (de *demo) inForce(revision string) bool {
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

func (de *demo) bill() error {
	lines := 0
	err := fleet.WaitUntil(bound, "the bill", func() bool {
		out, err := exec.Command(filepath.Join(de.bin, "linnetrudderctl"),
			"bill", "--lines", "--admin", de.entries[0].Admin).Output()
		lines = strings.Count(string(out), "\n")
		return err == nil && lines >= de.requests
	})
	if err != nil {
		return err
	}
	if lines != de.requests {
		return fmt.Errorf("%d lines for %d calls", lines, de.requests)
	}
	_, err = de.ctl("bill")
	return err
}

func (de *demo) timeline() error {
	out, err := de.ctl("timeline", "--team", "kitchen-a")
	if err != nil {
		return err
	}
	if !strings.Contains(out, "request_escalated") || !strings.Contains(out, "attempt_admitted") {
		return fmt.Errorf("the time line shows no attempt")
	}
	if _, err := de.ctl("explain", "--request", de.last); err != nil {
		return err
	}
	_, err = de.ctl("status")
	return err
}

func (de *demo) stop() error {
	if err := de.fleet.Stop(); err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, "all processes ended as planned")
	return nil
}
