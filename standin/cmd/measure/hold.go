package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// holdCmd measures an entry and an agent with open streams.
type holdCmd struct {
	Streams int `default:"1000" help:"Streams to hold open."`
}

// holdTokens and holdPace make an answer last until it was measured.
const (
	holdTokens = 20
	holdPace   = time.Second
)

// Run opens the streams and prints the memory before and with them.
func (cm *holdCmd) Run(fe *fleet.Fleet) error {
	lo := loadCmd{Tokens: holdTokens, Pace: holdPace}
	paths, entry, agent, err := lo.start(fe)
	if err != nil {
		return err
	}
	idle, err := takeBoth(entry, agent)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ru := &run{first: hdrhistogram.New(1, 60_000_000, 3)}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cm.Streams}}
	for range cm.Streams {
		go ru.one(ctx, hc, paths[1])
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	full, err := takeBoth(entry, agent)
	if err != nil {
		return err
	}
	fmt.Printf("entry: idle %.1f MB, with %d streams %.1f MB, %.1f kB a stream\n", float64(idle.entry.rss)/1e6, cm.Streams,
		float64(full.entry.rss)/1e6, float64(full.entry.rss-idle.entry.rss)/1e3/float64(cm.Streams))
	fmt.Printf("agent: idle %.1f MB, with %d streams %.1f MB, %.1f kB a stream\n", float64(idle.agent.rss)/1e6, cm.Streams,
		float64(full.agent.rss)/1e6, float64(full.agent.rss-idle.agent.rss)/1e3/float64(cm.Streams))
	return nil
}
