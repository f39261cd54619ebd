package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// holdCmd measures the memory of an entry and an agent with many open streams.
type holdCmd struct {
	Streams int `default:"1000" help:"Number of concurrently open streams."`
}

// holdTokens and holdPace make an answer last longer than the measurement.
const (
	holdTokens = 20
	holdPace   = time.Second
)

// Run opens the streams and prints the memory used without and with them.
func (cm *holdCmd) Run(fe *fleet.Fleet) error {
	lo := loadCmd{Tokens: holdTokens, Pace: holdPace}
	targets, entry, agent, err := lo.startSystem(fe)
	if err != nil {
		return err
	}
	idle, err := takeSamplePair(entry, agent)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lr := &loadResult{firstByte: hdrhistogram.New(1, 60_000_000, 3)}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cm.Streams}}
	for range cm.Streams {
		go lr.sendRequest(ctx, hc, targets[1])
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	loaded, err := takeSamplePair(entry, agent)
	if err != nil {
		return err
	}
	fmt.Printf("entry: idle %.1f MB, with %d streams %.1f MB, %.1f kB per stream\n", float64(idle.entry.rss)/1e6, cm.Streams,
		float64(loaded.entry.rss)/1e6, float64(loaded.entry.rss-idle.entry.rss)/1e3/float64(cm.Streams))
	fmt.Printf("agent: idle %.1f MB, with %d streams %.1f MB, %.1f kB per stream\n", float64(idle.agent.rss)/1e6, cm.Streams,
		float64(loaded.agent.rss)/1e6, float64(loaded.agent.rss-idle.agent.rss)/1e3/float64(cm.Streams))
	return nil
}
