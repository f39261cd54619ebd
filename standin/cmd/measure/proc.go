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

// sample is the resource use of a process since its start.
type sample struct {
	at  time.Time
	cpu time.Duration
	// rss is the resident memory at the time of the sample, in bytes.
	rss int64
	// controlBytes is the number of bytes on links other than callers' data, in and out.
	controlBytes int64
	// linkMessages is the number of WebSocket messages on links, in and out.
	linkMessages int64
	// storeCalls is the number of GET and PUT calls to the store.
	storeCalls int64
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// takeSample reads the resource use of a process from /proc and from its metrics.
func takeSample(me *fleet.Member) (sample, error) {
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
	return sa, sa.readCounters(me.Admin)
}

// readCounters adds the counters of the process's metrics to the sample.
func (sa *sample) readCounters(admin string) error {
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
	sa.controlBytes = vars.In["control_bytes"] + vars.Out["control_bytes"]
	sa.linkMessages = vars.In["messages"] + vars.Out["messages"]
	sa.storeCalls = vars.Store["GET"] + vars.Store["PUT"]
	return nil
}

// usageSince describes the resources used since an earlier sample.
func (sa sample) usageSince(earlier sample) string {
	sec := sa.at.Sub(earlier.at).Seconds()
	return fmt.Sprintf("cpu %.3f%% of a core, rss %.1f MB, control %.0f B/s in %.1f messages/s, store calls %.2f/s",
		100*(sa.cpu-earlier.cpu).Seconds()/sec, float64(sa.rss)/1e6,
		float64(sa.controlBytes-earlier.controlBytes)/sec, float64(sa.linkMessages-earlier.linkMessages)/sec, float64(sa.storeCalls-earlier.storeCalls)/sec)
}

// samplePair contains a sample of an entry and one of an agent.
type samplePair struct{ entry, agent sample }

func takeSamplePair(entry, agent *fleet.Member) (samplePair, error) {
	en, err := takeSample(entry)
	if err != nil {
		return samplePair{}, err
	}
	ag, err := takeSample(agent)
	return samplePair{entry: en, agent: ag}, err
}
