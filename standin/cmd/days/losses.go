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

// lossesCmd says where credit was lost on days, from the gateways' logs.
type lossesCmd struct {
	By   string   `help:"What to tell apart." enum:"route,size,second,data_centre" default:"route"`
	Logs []string `arg:"" help:"Files with what the player printed with the logs of all gateways." type:"existingfile"`
}

// What an answer is worth after its target, and one of a model too small for its request,
// as parts of a good one in time, by the users' sheets.
const (
	lateCredit = 0.3
	poorCredit = 0.05
)

// Run prints the table.
func (cm *lossesCmd) Run() error {
	var ends []ending
	for _, path := range cm.Logs {
		list, err := readEndings(path)
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
		fmt.Fprintf(tw, "%s\t%d\t%.1f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\n", name, ta.requests, ta.owed, ta.late/ta.owed,
			ta.poor/ta.owed, ta.failed/ta.owed, ta.refused/ta.owed, ta.smallest, ta.middle, ta.largest)
	}
	return eris.Wrap(tw.Flush(), "print")
}

// compareNames puts numbers in their order and after them other names.
func compareNames(a, b string) int {
	x, errX := strconv.Atoi(a)
	y, errY := strconv.Atoi(b)
	if errX == nil && errY == nil {
		return cmp.Compare(x, y)
	}
	return strings.Compare(a, b)
}

// ending is a gateway's line on the end of a request. Its fields are exported because a
// codec fills them.
type ending struct {
	Event      event.ID `json:"event"`
	Route      string   `json:"route"`
	DataCentre string   `json:"data_centre"`
	Detail     string   `json:"detail"`
	Status     int      `json:"status"`
	// Confidence and Place are those of a model's answer.
	Confidence int     `json:"confidence"`
	Place      int     `json:"place"`
	HeadMS     float64 `json:"head_ms"`
	TargetMS   float64 `json:"target_ms"`
	// Prompt is the size of the prompt in tokens, zero for a plain service.
	Prompt int `json:"prompt"`

	// second is when the line was written, counted from the start of the day's traffic.
	second int
}

// readEndings reads the lines on ends of requests from what the player printed: the
// second, the box and the line.
func readEndings(path string) ([]ending, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open")
	}
	defer file.Close()
	var list []ending
	sc := bufio.NewScanner(file)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		at, line, ok := strings.Cut(sc.Text(), "{")
		var en ending
		if !ok || json.Unmarshal([]byte("{"+line), &en) != nil || !en.ends() {
			continue
		}
		if fields := strings.Fields(at); len(fields) > 0 {
			second, _ := strconv.ParseFloat(fields[0], 64)
			en.second = int(second)
		}
		list = append(list, en)
	}
	return list, eris.Wrap(sc.Err(), "read")
}

// ends reports whether the line is on the end of a request that a caller waited for.
func (en ending) ends() bool {
	switch en.Event {
	case event.RequestAnswered, event.RequestRefused, event.RequestFailed:
		return en.Route != "" && en.Detail != "the caller went away"
	}
	return false
}

// losses adds up requests and the credit that they lost, as parts of a usual request's.
type losses struct {
	requests                    int
	owed                        float64
	late, poor, failed, refused float64
	smallest, middle, largest   int
}

// tallyLosses adds up the losses by name.
func tallyLosses(ends []ending, by string) map[string]*losses {
	usual := usualPrompts(ends)
	most := 0
	for _, en := range ends {
		most = max(most, en.Place)
	}
	tallies := map[string]*losses{}
	for _, en := range ends {
		credit := en.credit(usual)
		for _, name := range []string{"all", en.name(by, usual)} {
			if tallies[name] == nil {
				tallies[name] = &losses{}
			}
			tallies[name].add(en, credit, most)
		}
	}
	return tallies
}

// usualPrompts returns the mean size of each route's prompts.
func usualPrompts(ends []ending) map[string]float64 {
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

// credit returns what a request is worth as a part of a usual one of its kind: it grows
// with the size of its prompt, up to four times, by the users' rules.
func (en ending) credit(usual map[string]float64) float64 {
	if en.Prompt == 0 {
		return 1
	}
	return min(4, 0.3+0.7*float64(en.Prompt)/usual[en.Route])
}

// name returns what a request is told apart by.
func (en ending) name(by string, usual map[string]float64) string {
	switch by {
	case "second":
		return strconv.Itoa(en.second)
	case "data_centre":
		return en.DataCentre
	case "size":
		if en.Prompt == 0 {
			return "none"
		}
		return fmt.Sprintf("%.1f times the usual", min(4, float64(int(2*float64(en.Prompt)/usual[en.Route]))/2))
	}
	return en.Route
}

func (lo *losses) add(en ending, credit float64, most int) {
	lo.requests++
	lo.owed += credit
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
	case en.Place == most:
		lo.largest++
		return
	case en.Place == 0:
		lo.smallest++
	default:
		lo.middle++
	}
	lo.poor += credit * (1 - poorCredit) * cascade.PoorProbability(float64(en.Confidence))
}
