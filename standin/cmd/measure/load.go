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

// loadCmd measures the latency and processor time that an entry and an agent add to requests.
type loadCmd struct {
	Rate   int           `default:"500" help:"Requests per second."`
	Tokens int           `default:"50" help:"Length of an answer in tokens."`
	Pace   time.Duration `default:"10ms" help:"Time between two tokens."`
	For    time.Duration `default:"10s" help:"Duration of the measurement."`
}

// target is an address that requests are sent to: the engine itself or an entry.
type target struct {
	name, url, model string
}

// Run sends the same load to the engine directly and through the system.
func (cm *loadCmd) Run(fe *fleet.Fleet) error {
	targets, entry, agent, err := cm.startSystem(fe)
	if err != nil {
		return err
	}
	for _, ta := range targets {
		before, err := takeSamplePair(entry, agent)
		if err != nil {
			return err
		}
		lr := cm.sendAtRate(ta)
		after, err := takeSamplePair(entry, agent)
		if err != nil {
			return err
		}
		for cause, n := range lr.failuresByError {
			fmt.Printf("%d failed: %s\n", n, cause)
		}
		tokens := float64(lr.firstByte.TotalCount()) * float64(cm.Tokens)
		cpu := (after.entry.cpu - before.entry.cpu) + (after.agent.cpu - before.agent.cpu)
		fmt.Printf("%s: %d requests, %d failed, first byte p50 %d us, p99 %d us; cpu %.2f us/token (entry %.2f, agent %.2f)\n",
			ta.name, lr.firstByte.TotalCount(), lr.failed, lr.firstByte.ValueAtQuantile(50), lr.firstByte.ValueAtQuantile(99),
			cpu.Seconds()*1e6/tokens, (after.entry.cpu-before.entry.cpu).Seconds()*1e6/tokens,
			(after.agent.cpu-before.agent.cpu).Seconds()*1e6/tokens)
	}
	return nil
}

// startSystem starts one engine, one agent and one entry. It returns the targets, the entry and the
// agent.
func (cm *loadCmd) startSystem(fe *fleet.Fleet) ([]target, *fleet.Member, *fleet.Member, error) {
	if err := fe.StartPlatform(); err != nil {
		return nil, nil, nil, err
	}
	fe.Tune = func(se map[string]any) { se["log_level"] = "warn" }
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
	if err := (adminClient{address: entry.Admin}).applyConfig(configWithServers(1)); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(2 * time.Second)
	return []target{
		{"engine alone", "http://" + engine + "/v1/chat/completions", "menu@v1"},
		{"through entry and agent", "http://" + entry.Address + "/v1/chat/completions", "menu"},
	}, entry, agent, nil
}

// loadResult contains the results of a load.
type loadResult struct {
	mu sync.Mutex
	// firstByte contains the times to the first byte in microseconds.
	firstByte *hdrhistogram.Histogram
	failed    int
	// failuresByError counts the failed requests by status, errors and end of the response body.
	failuresByError map[string]int
}

// sendAtRate sends requests at a fixed rate without waiting for earlier ones to complete.
func (cm *loadCmd) sendAtRate(ta target) *loadResult {
	lr := &loadResult{firstByte: hdrhistogram.New(1, 60_000_000, 3)}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	ctx, cancel := context.WithTimeout(context.Background(), cm.For+time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	ti := time.NewTicker(time.Second / time.Duration(cm.Rate))
	defer ti.Stop()
	for range int(cm.For.Seconds()) * cm.Rate {
		<-ti.C
		wg.Go(func() { lr.sendRequest(ctx, hc, ta) })
	}
	wg.Wait()
	return lr
}

// sendRequest sends a streamed request, reads the complete answer and records the result.
func (lr *loadResult) sendRequest(ctx context.Context, hc *http.Client, ta target) {
	body := `{"model":"` + ta.model + `","stream":true,"messages":[{"role":"user","content":"menu"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, ta.url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer key")
	start := time.Now()
	resp, err := hc.Do(req)
	if err != nil {
		lr.recordFailure(err.Error())
		return
	}
	defer resp.Body.Close()
	buf := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, buf)
	elapsed := time.Since(start)
	rest, restErr := io.ReadAll(resp.Body)
	if err != nil || restErr != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(rest), "[DONE]") {
		lr.recordFailure(fmt.Sprint(resp.Status, err, restErr, lastBytes(rest)))
		return
	}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	_ = lr.firstByte.RecordValue(elapsed.Microseconds())
}

// recordFailure counts a failed request.
func (lr *loadResult) recordFailure(cause string) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.failed++
	if lr.failuresByError == nil {
		lr.failuresByError = map[string]int{}
	}
	lr.failuresByError[cause]++
}

// lastBytes returns the last 200 bytes of an answer, where the error of a failed one is.
func lastBytes(body []byte) string {
	return string(body[max(0, len(body)-200):])
}
