package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// loadCmd measures what the way through entry and agent adds.
type loadCmd struct {
	Rate   int           `default:"500" help:"Requests in a second."`
	Tokens int           `default:"50" help:"Tokens of an answer."`
	Pace   time.Duration `default:"10ms" help:"Time between two tokens."`
	For    time.Duration `default:"10s" help:"How long to measure."`
}

// path is one way to the engine.
type path struct {
	name, url, model string
}

// Run sends the same load to the engine alone and through the system.
func (cm *loadCmd) Run(fe *fleet.Fleet) error {
	paths, entry, agent, err := cm.start(fe)
	if err != nil {
		return err
	}
	for _, pa := range paths {
		before, err := takeBoth(entry, agent)
		if err != nil {
			return err
		}
		ru := cm.drive(pa)
		after, err := takeBoth(entry, agent)
		if err != nil {
			return err
		}
		for why, n := range ru.why {
			fmt.Printf("%d failed with %s\n", n, why)
		}
		tokens := float64(ru.first.TotalCount()) * float64(cm.Tokens)
		cpu := (after.entry.cpu - before.entry.cpu) + (after.agent.cpu - before.agent.cpu)
		fmt.Printf("%s: %d requests, %d failed, first byte p50 %d us, p99 %d us; cpu %.2f us/token (entry %.2f, agent %.2f)\n",
			pa.name, ru.first.TotalCount(), ru.failed, ru.first.ValueAtQuantile(50), ru.first.ValueAtQuantile(99),
			cpu.Seconds()*1e6/tokens, (after.entry.cpu-before.entry.cpu).Seconds()*1e6/tokens,
			(after.agent.cpu-before.agent.cpu).Seconds()*1e6/tokens)
	}
	return nil
}

// start starts one engine, one agent and one entry.
func (cm *loadCmd) start(fe *fleet.Fleet) ([]path, *fleet.Member, *fleet.Member, error) {
	if err := fe.StartPlatform(); err != nil {
		return nil, nil, nil, err
	}
	fe.AdjustSettings = func(se map[string]any) { se["log_level"] = "warn" }
	engine, _, err := fe.StartStandIn("engine", "engine", "--tokens", fmt.Sprint(cm.Tokens), "--pace", cm.Pace.String())
	if err != nil {
		return nil, nil, nil, err
	}
	agent, err := fe.Add(fleet.Member{Box: "agent", Role: "agent", DataCentre: "dc", Server: "s-0", Backend: engine})
	if err != nil {
		return nil, nil, nil, err
	}
	entry, err := fe.Add(fleet.Member{Box: "entry", Role: "entry", DataCentre: "dc"})
	if err != nil {
		return nil, nil, nil, err
	}
	if err := (changer{admin: entry.Admin}).apply(document(1)); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(2 * time.Second)
	return []path{
		{"engine alone", "http://" + engine + "/v1/chat/completions", "menu@v1"},
		{"through entry and agent", "http://" + entry.Address + "/v1/chat/completions", "menu"},
	}, entry, agent, nil
}

// run is the outcome of one load.
type run struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	failed int
	// why counts failures by what was seen of them.
	why map[string]int
}

// drive sends requests at a fixed rate, whatever becomes of them.
func (cm *loadCmd) drive(pa path) *run {
	ru := &run{first: hdrhistogram.New(1, 60_000_000, 3)}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	ctx, cancel := context.WithTimeout(context.Background(), cm.For+time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	ti := time.NewTicker(time.Second / time.Duration(cm.Rate))
	defer ti.Stop()
	for range int(cm.For.Seconds()) * cm.Rate {
		<-ti.C
		wg.Go(func() { ru.one(ctx, hc, pa) })
	}
	wg.Wait()
	return ru
}

func (ru *run) one(ctx context.Context, hc *http.Client, pa path) {
	body := `{"model":"` + pa.model + `","stream":true,"messages":[{"role":"user","content":"menu"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, pa.url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer key")
	began := time.Now()
	resp, err := hc.Do(req)
	if err != nil {
		ru.fail(err.Error())
		return
	}
	defer resp.Body.Close()
	one := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, one)
	took := time.Since(began)
	rest, restErr := io.ReadAll(resp.Body)
	if err != nil || restErr != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(rest), "[DONE]") {
		ru.fail(fmt.Sprint(resp.Status, err, restErr, tail(rest)))
		return
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	_ = ru.first.RecordValue(took.Microseconds())
}

func (ru *run) fail(why string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.failed++
	if ru.why == nil {
		ru.why = map[string]int{}
	}
	ru.why[why]++
}

// tail returns the end of an answer, where a broken one says why.
func tail(body []byte) string {
	return string(body[max(0, len(body)-200):])
}
