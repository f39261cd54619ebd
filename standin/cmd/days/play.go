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

// played is one day as it was played. Its fields are exported because a codec
// writes them.
type played struct {
	Site string `json:"site"`
	Day  string `json:"day"`
	Seed int    `json:"seed"`
	// Worth is the share of what callers were owed, less prices; the others are its
	// parts before prices.
	Worth      float64 `json:"worth"`
	WholeDay   float64 `json:"whole_day"`
	Windows    float64 `json:"worst_windows"`
	WorstClass float64 `json:"worst_class"`
	// Broken names the promises that were broken, empty for none.
	Broken string `json:"broken,omitempty"`
}

func (pl played) key() string { return fmt.Sprintf("%s %s %d", pl.Site, pl.Day, pl.Seed) }

// playCmd plays days.
type playCmd struct {
	Bench string   `help:"The users' bench." required:"" type:"existingfile"`
	Out   string   `help:"File for the results." required:""`
	Seeds []int    `help:"Seeds of each day; 0 is the day's own." default:"1,2,3"`
	Jobs  int      `help:"Days played at a time." default:"4"`
	NoCPU bool     `help:"Charge no processor time: plays then mostly repeat." name:"no-cpu"`
	Why   string   `help:"What is tried, for the bench's own records." default:"comparison of days"`
	Days  []string `arg:"" help:"Days, as SITE.toml:DAY."`
}

// Run plays all days.
func (cm *playCmd) Run() error {
	if out, err := exec.Command(cm.Bench, "build").CombinedOutput(); err != nil {
		return eris.Wrapf(err, "build: %s", out)
	}
	var mu sync.Mutex
	var results []played
	var failed error
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, cm.Jobs))
	for _, day := range cm.Days {
		site, name, ok := strings.Cut(day, ":")
		if !ok {
			return eris.Errorf("%q is not SITE.toml:DAY", day)
		}
		for _, seed := range cm.Seeds {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				pl, err := cm.play(site, name, seed)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = err
					return
				}
				results = append(results, pl)
			})
		}
	}
	wg.Wait()
	if failed != nil {
		return failed
	}
	show(results)
	body, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	return eris.Wrap(os.WriteFile(cm.Out, body, 0o600), "write")
}

// worthLine is the player's line on what a day was worth and its parts.
var worthLine = regexp.MustCompile(`(?m)^worth ([0-9.]+) = whole day ([0-9.]+).*worst windows ([0-9.]+).*worst class ([0-9.]+)`)

// brokenLine is its line on promises that were broken.
var brokenLine = regexp.MustCompile(`(?m)^rules broken: (.*)$`)

func (cm *playCmd) play(site, day string, seed int) (played, error) {
	args := []string{"run", site, day, "--why", cm.Why}
	if seed != 0 {
		args = append(args, "--seed", strconv.Itoa(seed))
	}
	if cm.NoCPU {
		args = append(args, "--no-cpu")
	}
	out, err := exec.Command(cm.Bench, args...).CombinedOutput()
	pl := played{Site: strings.TrimSuffix(filepath.Base(site), ".toml"), Day: strings.TrimSuffix(filepath.Base(day), ".toml"), Seed: seed}
	if broken := brokenLine.FindSubmatch(out); broken != nil {
		pl.Broken = string(broken[1])
	}
	return pl, errorsOf(parseWorth(string(out), &pl), err, out)
}

// errorsOf returns why a day gave no result. The player also ends with an error when
// a promise was broken, which is a result.
func errorsOf(parse, run error, out []byte) error {
	if parse == nil {
		return nil
	}
	return eris.Errorf("%v, %v: %s", parse, run, out)
}

func parseWorth(out string, pl *played) error {
	found := worthLine.FindStringSubmatch(out)
	if found == nil {
		return eris.New("the bench told no worth")
	}
	for i, into := range []*float64{&pl.Worth, &pl.WholeDay, &pl.Windows, &pl.WorstClass} {
		value, err := strconv.ParseFloat(found[i+1], 64)
		if err != nil {
			return eris.Wrap(err, "worth")
		}
		*into = value
	}
	return nil
}
