package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

// sample is what a process has used so far.
type sample struct {
	at  time.Time
	cpu time.Duration
	// rss is the memory in use now, in bytes.
	rss int64
	// control is bytes on links that are not callers' data, in and out.
	control int64
	// messages is how many WebSocket messages carried them, in and out.
	messages int64
	store    int64
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func take(me *fleet.Member) (sample, error) {
	sa := sample{at: time.Now()}
	pid := me.Process.PID()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return sa, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	sa.cpu = time.Duration(user+system) * clockTick
	sa.rss = pages * int64(os.Getpagesize())
	return sa, sa.counters(me.Admin)
}

func (sa *sample) counters(admin string) error {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var vars struct {
		In    map[string]int64 `json:"linnetrudder_link_in"`
		Out   map[string]int64 `json:"linnetrudder_link_out"`
		Store map[string]int64 `json:"linnetrudder_store_calls"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return err
	}
	sa.control = vars.In["control_bytes"] + vars.Out["control_bytes"]
	sa.messages = vars.In["messages"] + vars.Out["messages"]
	sa.store = vars.Store["GET"] + vars.Store["PUT"]
	return nil
}

// since describes what was used between two samples.
func (sa sample) since(be sample) string {
	sec := sa.at.Sub(be.at).Seconds()
	return fmt.Sprintf("cpu %.3f%% of a core, rss %.1f MB, control %.0f B/s in %.1f messages/s, store calls %.2f/s",
		100*(sa.cpu-be.cpu).Seconds()/sec, float64(sa.rss)/1e6,
		float64(sa.control-be.control)/sec, float64(sa.messages-be.messages)/sec, float64(sa.store-be.store)/sec)
}

// both is a sample of an entry and one of an agent.
type both struct{ entry, agent sample }

func takeBoth(entry, agent *fleet.Member) (both, error) {
	en, err := take(entry)
	if err != nil {
		return both{}, err
	}
	ag, err := take(agent)
	return both{entry: en, agent: ag}, err
}
