package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// dayResult is the result of one run of a day. Its fields are exported for the JSON codec.
type dayResult struct {
	Site string `json:"site"`
	Day  string `json:"day"`
	Seed int    `json:"seed"`
	// Worth is the simulator's score: the share of the possible credit that was earned, less prices. The
	// other figures are its components before prices.
	Worth      float64 `json:"worth"`
	WholeDay   float64 `json:"whole_day"`
	Windows    float64 `json:"worst_windows"`
	WorstClass float64 `json:"worst_class"`
	// Broken lists the rules that were broken, empty for none.
	Broken string `json:"broken,omitempty"`
}

// key identifies results that can be compared with each other.
func (dr dayResult) key() string { return fmt.Sprintf("%s %s %d", dr.Site, dr.Day, dr.Seed) }

// playCmd runs days on the simulator.
type playCmd struct {
	Bench string   `help:"The users' bench." required:"" type:"existingfile"`
	Out   string   `help:"File for the results." required:""`
	Seeds []int    `help:"Seeds of each day; 0 stands for the day's own seed." default:"1,2,3"`
	Jobs  int      `help:"Number of days to run in parallel." default:"4"`
	NoCPU bool     `help:"Do not charge processor time, which makes most runs reproducible." name:"no-cpu"`
	Why   string   `help:"Purpose of the runs, for the bench's records." default:"comparison of days"`
	Days  []string `arg:"" help:"Days, as SITE.toml:DAY."`
}

// Run runs all days, prints a summary and writes the results.
func (cm *playCmd) Run() error {
	if out, err := exec.Command(cm.Bench, "build").CombinedOutput(); err != nil {
		return eris.Wrapf(err, "bench build: %s", out)
	}
	var mu sync.Mutex
	var results []dayResult
	var failed error
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, cm.Jobs))
	for _, day := range cm.Days {
		site, name, ok := strings.Cut(day, ":")
		if !ok {
			return eris.Errorf("day %q is not in the form SITE.toml:DAY", day)
		}
		for _, seed := range cm.Seeds {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				dr, err := cm.playDay(site, name, seed)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = err
					return
				}
				results = append(results, dr)
			})
		}
	}
	wg.Wait()
	if failed != nil {
		return failed
	}
	printSummary(results)
	body, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrap(os.WriteFile(cm.Out, body, 0o600), "write results")
}

// worthPattern matches the simulator's line with the worth of a day and its components.
var worthPattern = regexp.MustCompile(`(?m)^worth ([0-9.]+) = whole day ([0-9.]+).*worst windows ([0-9.]+).*worst class ([0-9.]+)`)

// brokenPattern matches the simulator's line with the rules that were broken.
var brokenPattern = regexp.MustCompile(`(?m)^rules broken: (.*)$`)

// playDay runs a day once.
func (cm *playCmd) playDay(site, day string, seed int) (dayResult, error) {
	args := []string{"run", site, day, "--why", cm.Why}
	if seed != 0 {
		args = append(args, "--seed", strconv.Itoa(seed))
	}
	if cm.NoCPU {
		args = append(args, "--no-cpu")
	}
	out, err := exec.Command(cm.Bench, args...).CombinedOutput()
	dr := dayResult{Site: strings.TrimSuffix(filepath.Base(site), ".toml"), Day: strings.TrimSuffix(filepath.Base(day), ".toml"), Seed: seed}
	if broken := brokenPattern.FindSubmatch(out); broken != nil {
		dr.Broken = string(broken[1])
	}
	return dr, resultError(parseWorth(string(out), &dr), err, out)
}

// resultError returns the error of a run without a result. The simulator also exits with an error if a
// rule was broken, but such a run has a result.
func resultError(parse, run error, out []byte) error {
	if parse == nil {
		return nil
	}
	return eris.Errorf("parse: %v; run: %v; output: %s", parse, run, out)
}

// parseWorth reads the worth and its components from the simulator's output.
func parseWorth(out string, dr *dayResult) error {
	found := worthPattern.FindStringSubmatch(out)
	if found == nil {
		return eris.New("bench output has no line with the worth")
	}
	for i, into := range []*float64{&dr.Worth, &dr.WholeDay, &dr.Windows, &dr.WorstClass} {
		value, err := strconv.ParseFloat(found[i+1], 64)
		if err != nil {
			return eris.Wrap(err, "parse worth")
		}
		*into = value
	}
	return nil
}
