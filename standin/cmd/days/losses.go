package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/cascade"
	"github.com/linnetrudder/linnetrudder/internal/event"
)

// lossesCmd reports where credit was lost on days, from the gateways' logs.
type lossesCmd struct {
	By   string   `help:"Property to group requests by." enum:"route,size,second,data_centre" default:"route"`
	Logs []string `arg:"" help:"Files with the bench's output, including the logs of all gateways." type:"existingfile"`
}

// The credit for an answer after its target time, and for one by a model too small for its request,
// as fractions of the credit for a good answer in time, by the users' rules.
const (
	lateCredit = 0.3
	poorCredit = 0.05
)

// Run prints a table of the losses by group.
func (cm *lossesCmd) Run() error {
	var ends []requestEnd
	for _, path := range cm.Logs {
		list, err := readRequestEnds(path)
		if err != nil {
			return eris.Wrap(err, path)
		}
		ends = append(ends, list...)
	}
	tallies := tallyLosses(ends, cm.By)
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, cm.By+"\trequests\towed\tlate\tpoor\tfailed\trefused\tsmallest\tmiddle\tlargest")
	for _, name := range slices.SortedFunc(maps.Keys(tallies), compareNames) {
		ta := tallies[name]
		fmt.Fprintf(tw, "%s\t%d\t%.1f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\n", name, ta.requests, ta.credit, ta.late/ta.credit,
			ta.poor/ta.credit, ta.failed/ta.credit, ta.refused/ta.credit, ta.smallest, ta.middle, ta.largest)
	}
	return eris.Wrap(tw.Flush(), "print table")
}

// compareNames compares two names by value if both are numbers, otherwise as strings.
func compareNames(a, b string) int {
	x, errX := strconv.Atoi(a)
	y, errY := strconv.Atoi(b)
	if errX == nil && errY == nil {
		return cmp.Compare(x, y)
	}
	return strings.Compare(a, b)
}

// requestEnd is a gateway's log line about the end of a request. Its fields are exported for the
// JSON decoder.
type requestEnd struct {
	Event      event.ID `json:"event"`
	Route      string   `json:"route"`
	DataCentre string   `json:"data_centre"`
	Detail     string   `json:"detail"`
	Status     int      `json:"status"`
	// Confidence is the model's confidence in its answer and Place the model's position in the
	// cascade, 0 for the smallest model.
	Confidence int     `json:"confidence"`
	Place      int     `json:"place"`
	HeadMS     float64 `json:"head_ms"`
	TargetMS   float64 `json:"target_ms"`
	// Prompt is the size of the prompt in tokens, zero for a plain service.
	Prompt int `json:"prompt"`

	// second is the time of the line in whole seconds since the start of the day's traffic.
	second int
}

// readRequestEnds reads the log lines about ends of requests from the simulator's output, in which each
// log line follows its time in seconds and the name of its box.
func readRequestEnds(path string) ([]requestEnd, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer file.Close()
	var list []requestEnd
	sc := bufio.NewScanner(file)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		at, line, ok := strings.Cut(sc.Text(), "{")
		var en requestEnd
		if !ok || json.Unmarshal([]byte("{"+line), &en) != nil || !en.awaitedByCaller() {
			continue
		}
		if fields := strings.Fields(at); len(fields) > 0 {
			second, _ := strconv.ParseFloat(fields[0], 64)
			en.second = int(second)
		}
		list = append(list, en)
	}
	return list, eris.Wrap(sc.Err(), "read log")
}

// awaitedByCaller reports whether the line is about the end of a request whose caller had not
// disconnected.
func (en requestEnd) awaitedByCaller() bool {
	switch en.Event {
	case event.RequestAnswered, event.RequestRefused, event.RequestFailed:
		return en.Route != "" && en.Detail != "the caller went away"
	}
	return false
}

// lossTally contains the number of requests, their total credit and the credit lost, in units of
// the credit for a request of average size, and the number of answers by size of the model.
type lossTally struct {
	requests                    int
	credit                      float64
	late, poor, failed, refused float64
	smallest, middle, largest   int
}

// tallyLosses adds up the losses by group and, as "all", of all requests.
func tallyLosses(ends []requestEnd, by string) map[string]*lossTally {
	meanPrompts := meanPromptSizes(ends)
	lastPlace := 0
	for _, en := range ends {
		lastPlace = max(lastPlace, en.Place)
	}
	tallies := map[string]*lossTally{}
	for _, en := range ends {
		credit := en.credit(meanPrompts)
		for _, name := range []string{"all", en.groupName(by, meanPrompts)} {
			if tallies[name] == nil {
				tallies[name] = &lossTally{}
			}
			tallies[name].add(en, credit, lastPlace)
		}
	}
	return tallies
}

// meanPromptSizes returns the mean prompt size of each route in tokens.
func meanPromptSizes(ends []requestEnd) map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, en := range ends {
		if en.Prompt > 0 {
			sums[en.Route] += float64(en.Prompt)
			counts[en.Route]++
		}
	}
	for route := range sums {
		sums[route] /= counts[route]
	}
	return sums
}

// credit returns the credit for a request relative to one with a prompt of the route's mean size.
// By the users' rules it grows with the size of the prompt, up to four times.
func (en requestEnd) credit(meanPrompts map[string]float64) float64 {
	if en.Prompt == 0 {
		return 1
	}
	return min(4, 0.3+0.7*float64(en.Prompt)/meanPrompts[en.Route])
}

// groupName returns the name of the group that a request belongs to.
func (en requestEnd) groupName(by string, meanPrompts map[string]float64) string {
	switch by {
	case "second":
		return strconv.Itoa(en.second)
	case "data_centre":
		return en.DataCentre
	case "size":
		if en.Prompt == 0 {
			return "none"
		}
		return fmt.Sprintf("%.1f times the mean", min(4, float64(int(2*float64(en.Prompt)/meanPrompts[en.Route]))/2))
	}
	return en.Route
}

// add counts a request and its credit. lastPlace is the position of the largest model.
func (lo *lossTally) add(en requestEnd, credit float64, lastPlace int) {
	lo.requests++
	lo.credit += credit
	switch {
	case en.Event == event.RequestRefused:
		lo.refused += credit
		return
	case en.Event == event.RequestFailed, en.Status >= 500:
		lo.failed += credit
		return
	}
	if en.TargetMS > 0 && en.HeadMS > en.TargetMS {
		lo.late += credit * (1 - lateCredit)
		credit *= lateCredit
	}
	switch {
	case en.Prompt == 0:
		return
	case en.Place == lastPlace:
		lo.largest++
		return
	case en.Place == 0:
		lo.smallest++
	default:
		lo.middle++
	}
	lo.poor += credit * (1 - poorCredit) * cascade.PoorProbability(float64(en.Confidence))
}
