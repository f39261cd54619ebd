// Command experiment runs the comparisons of decisions over several seeds and
// writes their tables and plots: make experiments.
package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/linnetrudder/linnetrudder/standin/trial"
)

type flags struct {
	Out   string `required:"" help:"Folder for the page and its plots." type:"path"`
	Seeds int    `default:"8" help:"How many seeds."`
}

func main() {
	var fl flags
	ct := kong.Parse(&fl)
	var sb strings.Builder
	sb.WriteString("# Decisions against naive ones\n\nDrawn by `make experiments`; the input and the strategies stand in\n" +
		"`standin/trial`. Each figure is the mean over the seeds, with the least and the\nmost in brackets.\n")
	for _, part := range []func(*strings.Builder, flags) error{versions, rollouts, loads} {
		ct.FatalIfErrorf(part(&sb, fl))
	}
	ct.FatalIfErrorf(os.WriteFile(filepath.Join(fl.Out, "experiments.md"), []byte(sb.String()), 0o600))
}

// spread is the mean, least and most of a figure over the seeds.
type spread struct{ sum, least, most, n float64 }

func (sp *spread) add(x float64) {
	if sp.n == 0 {
		sp.least, sp.most = x, x
	}
	sp.n++
	sp.sum += x
	sp.least, sp.most = math.Min(sp.least, x), math.Max(sp.most, x)
}

func (sp *spread) mean() float64 { return sp.sum / sp.n }

func (sp *spread) format(digits int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, sp.mean(), digits, sp.least, digits, sp.most)
}

// table gathers spreads by row and column, in the order of their coming.
type table struct {
	rows, columns []string
	cells         map[string]*spread
}

func (ta *table) add(row, column string, x float64) {
	if ta.cells == nil {
		ta.cells = map[string]*spread{}
	}
	ta.rows = appendOnce(ta.rows, row)
	ta.columns = appendOnce(ta.columns, column)
	key := row + "\x00" + column
	if ta.cells[key] == nil {
		ta.cells[key] = &spread{}
	}
	ta.cells[key].add(x)
}

func appendOnce(list []string, name string) []string {
	for _, have := range list {
		if have == name {
			return list
		}
	}
	return append(list, name)
}

func (ta *table) cell(row, column string) *spread { return ta.cells[row+"\x00"+column] }

func (ta *table) write(sb *strings.Builder, digits int) {
	fmt.Fprintf(sb, "\n| | %s |\n|%s\n", strings.Join(ta.columns, " | "), strings.Repeat(" --- |", len(ta.columns)+1))
	for _, row := range ta.rows {
		fmt.Fprintf(sb, "| %s |", row)
		for _, column := range ta.columns {
			fmt.Fprintf(sb, " %s |", ta.cell(row, column).format(digits))
		}
		sb.WriteString("\n")
	}
}

func versions(sb *strings.Builder, fl flags) error {
	var ta table
	for seed := range fl.Seeds {
		for _, cascade := range []bool{false, true} {
			ma := trial.VersionScenario{Requests: 60_000, RatedFraction: 0.3, WrongFraction: 0.02, RatingDelay: 500, Seed: uint64(seed), Cascade: cascade}
			for _, ou := range trial.CompareVersions(ma) {
				name := ou.Strategy
				if cascade {
					if name != "linnetrudder" {
						continue
					}
					name += " with cascades"
				}
				ta.add(name, "cost of a request", ou.Cost)
				ta.add(name, "requests at the target, %", 100*ou.TargetMet)
				ta.add(name, "worst shortfall", ou.WorstShortfall)
			}
		}
	}
	sb.WriteString("\n## Cost at the quality target\n\nTen teams from 34% to 1% of 60,000 requests, three kinds, versions at prices 1,\n" +
		"4 and 15; 30% of the answers are rated, 500 requests late, 2% of the ratings\nwrongly. The operators expect 0.7, 0.8 and 0.9 of the versions for every kind.\n")
	ta.write(sb, 2)
	sb.WriteString("\n![cost](versions.svg)\n")
	return bars(filepath.Join(fl.Out, "versions.svg"), "cost of a request", &ta, "cost of a request")
}

// cases are what can be wrong with a new version.
var cases = []struct {
	name   string
	change func(re *trial.RolloutScenario)
}{
	{"good", func(*trial.RolloutScenario) {}},
	{"20% fail from the start", func(re *trial.RolloutScenario) { re.FailureRate = 0.2 }},
	{"8% fail from the start", func(re *trial.RolloutScenario) { re.FailureRate = 0.08 }},
	{"40% low ratings", func(re *trial.RolloutScenario) { re.LowRatingRate = 0.4 }},
	{"30% fail after 20 min", func(re *trial.RolloutScenario) { re.FailureRate, re.DegradesAt = 0.3, 20*time.Minute }},
	{"30% fail after 90 min", func(re *trial.RolloutScenario) { re.FailureRate, re.DegradesAt = 0.3, 90*time.Minute }},
	{"20% fail, nobody decides for 10 min", func(re *trial.RolloutScenario) {
		re.FailureRate = 0.2
		re.DecisionOutage = [2]time.Duration{2 * time.Second, 10 * time.Minute}
	}},
}

func rollouts(sb *strings.Builder, fl flags) error {
	var exposure, reversed table
	for seed := range 5 * fl.Seeds {
		for _, ca := range cases {
			re := trial.RolloutScenario{
				RequestsPerSecond: 50, BaselineFailureRate: 0.01, BaselineLowRatingRate: 0.08, FailureRate: 0.01, LowRatingRate: 0.08, RatedFraction: 0.3,
				TallyLag: 5 * time.Second, RatingLag: time.Minute, Duration: 2 * time.Hour, Seed: uint64(seed),
			}
			ca.change(&re)
			for _, ou := range trial.CompareRollouts(re) {
				exposure.add(ca.name, ou.Strategy, float64(ou.Exposure))
				back := 0.0
				if ou.RolledBack {
					back = 100
				}
				reversed.add(ca.name, ou.Strategy, back)
			}
		}
	}
	fmt.Fprintf(sb, "\n## Exposure to bad versions\n\nRequests sent to a version while it was bad, of 360,000 in two hours; 1%% of the\n"+
		"good requests fail and 8%% get a low rating. Counts are seen 5 s late, ratings\n60 s; %d seeds.\n", 5*fl.Seeds)
	exposure.write(sb, 0)
	sb.WriteString("\nRolled back, in percent of the runs:\n")
	reversed.write(sb, 0)
	return nil
}

func loads(sb *strings.Builder, fl flags) error {
	var goodput, others table
	points := map[string][][2]float64{}
	for _, load := range []float64{0.5, 1, 1.5, 3, 10} {
		row := fmt.Sprintf("%.1f times", load)
		for seed := range fl.Seeds {
			for _, ou := range trial.CompareLoads(trial.LoadScenario{Load: load, FirstTeamWeight: 1, Duration: 2 * time.Minute, Seed: uint64(seed)}) {
				goodput.add(row, ou.Strategy, ou.Goodput)
			}
		}
		for _, name := range goodput.columns {
			points[name] = append(points[name], [2]float64{load, goodput.cell(row, name).mean()})
		}
	}
	for seed := range fl.Seeds {
		for _, ou := range trial.CompareLoads(trial.LoadScenario{Load: 3.6, FirstTeamWeight: 20, Duration: 2 * time.Minute, Seed: uint64(seed)}) {
			others.add("one team asks for three times everything", ou.Strategy, ou.OtherTeamsServed)
		}
		for _, ou := range trial.CompareLoads(trial.LoadScenario{Load: 0.8, FirstTeamWeight: 1, HalfLostAt: 30 * time.Second, Duration: 2 * time.Minute, Seed: uint64(seed)}) {
			others.add("half the pool lost for a third of the time, at 0.8 times", ou.Strategy, ou.OtherTeamsServed)
		}
	}
	sb.WriteString("\n## Overload\n\nRequests that started in time, over what 12 servers of 4 slots can do. Callers\n" +
		"wait 2 s for a start; those of round robin then try again, three times.\n")
	goodput.write(sb, 3)
	sb.WriteString("\n![goodput](load.svg)\n\nPart of the other teams' requests that started in time:\n")
	others.write(sb, 3)
	return lines(filepath.Join(fl.Out, "load.svg"), "goodput over capacity", "load over capacity", points)
}
