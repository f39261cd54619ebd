package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// noiseThreshold is the difference in worth below which the users consider two results equal.
const noiseThreshold = 0.03

// compareCmd compares two sets of results.
type compareCmd struct {
	Before string `arg:"" help:"Results before the change." type:"existingfile"`
	After  string `arg:"" help:"Results after the change." type:"existingfile"`
	Plot   string `help:"Plot the differences to this file (svg or png)."`
}

// Run prints the differences and plots them if a file is given.
func (cm *compareCmd) Run() error {
	before, err := loadResults(cm.Before)
	if err != nil {
		return err
	}
	after, err := loadResults(cm.After)
	if err != nil {
		return err
	}
	rows := pairResults(before, after)
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "day\tseeds\tbefore\tafter\tdifference\tspread\t")
	for _, ro := range rows {
		mean, stdDev := meanAndStdDev(ro.differences)
		note := ""
		if math.Abs(mean) < noiseThreshold {
			note = "within the noise"
		}
		fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%+.3f\t%.3f\t%s\n", ro.name, len(ro.differences), ro.before, ro.after, mean, stdDev, note)
	}
	if err := tw.Flush(); err != nil {
		return eris.Wrap(err, "print table")
	}
	if cm.Plot == "" {
		return nil
	}
	return plotDifferences(rows, cm.Plot)
}

func loadResults(path string) ([]dayResult, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read results")
	}
	var list []dayResult
	return list, eris.Wrap(json.Unmarshal(body, &list), path)
}

// dayComparison contains the results of one day in both sets.
type dayComparison struct {
	name string
	// before and after are the mean worth over the seeds that are in both sets.
	before, after float64
	// differences contains the change in worth of each seed.
	differences []float64
}

// pairResults matches results by site, day and seed. Results that are in one set only are ignored.
func pairResults(before, after []dayResult) []dayComparison {
	worth := map[string]float64{}
	for _, dr := range before {
		worth[dr.key()] = dr.Worth
	}
	days := map[string]*dayComparison{}
	for _, dr := range after {
		previous, ok := worth[dr.key()]
		if !ok {
			continue
		}
		name := dr.Site + " " + dr.Day
		if days[name] == nil {
			days[name] = &dayComparison{name: name}
		}
		ro := days[name]
		n := float64(len(ro.differences))
		ro.before = (ro.before*n + previous) / (n + 1)
		ro.after = (ro.after*n + dr.Worth) / (n + 1)
		ro.differences = append(ro.differences, dr.Worth-previous)
	}
	rows := make([]dayComparison, 0, len(days))
	for _, ro := range days {
		rows = append(rows, *ro)
	}
	slices.SortFunc(rows, func(a, b dayComparison) int { return strings.Compare(a.name, b.name) })
	return rows
}

// meanAndStdDev returns the mean and the sample standard deviation, 0 for fewer than two values.
func meanAndStdDev(values []float64) (mean, stdDev float64) {
	for _, va := range values {
		mean += va / float64(len(values))
	}
	for _, va := range values {
		stdDev += (va - mean) * (va - mean)
	}
	if len(values) > 1 {
		stdDev = math.Sqrt(stdDev / float64(len(values)-1))
	}
	return mean, stdDev
}

// printSummary prints a table of the results by day.
func printSummary(results []dayResult) {
	byDay := map[string][]dayResult{}
	for _, dr := range results {
		name := dr.Site + " " + dr.Day
		byDay[name] = append(byDay[name], dr)
	}
	names := make([]string, 0, len(byDay))
	for name := range byDay {
		names = append(names, name)
	}
	slices.Sort(names)
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "day\tseeds\tworth\tleast\tmost\twhole day\tworst windows\tworst class\tbroken")
	for _, name := range names {
		list := byDay[name]
		lowest, highest := list[0].Worth, list[0].Worth
		var sum dayResult
		broken := 0
		for _, dr := range list {
			lowest, highest = min(lowest, dr.Worth), max(highest, dr.Worth)
			sum.Worth += dr.Worth / float64(len(list))
			sum.WholeDay += dr.WholeDay / float64(len(list))
			sum.Windows += dr.Windows / float64(len(list))
			sum.WorstClass += dr.WorstClass / float64(len(list))
			if dr.Broken != "" {
				broken++
			}
		}
		fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\n", name, len(list), sum.Worth, lowest, highest,
			sum.WholeDay, sum.Windows, sum.WorstClass, broken)
	}
	_ = tw.Flush()
}

// plotDifferences plots the differences of all seeds by day.
func plotDifferences(rows []dayComparison, path string) error {
	pt := plot.New()
	pt.Title.Text = "change in worth, one point per seed"
	pt.Y.Label.Text = "difference"
	names := make([]string, len(rows))
	var points plotter.XYs
	for i, ro := range rows {
		names[i] = ro.name
		for _, di := range ro.differences {
			points = append(points, plotter.XY{X: float64(i), Y: di})
		}
	}
	sc, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrap(err, "scatter plot")
	}
	pt.Add(plotter.NewGrid(), sc)
	pt.NominalX(names...)
	pt.X.Tick.Label.Rotation = math.Pi / 6
	pt.X.Tick.Label.XAlign = -1
	const width, height = 24 * vg.Centimeter, 12 * vg.Centimeter
	return eris.Wrap(pt.Save(width, height, path), "save plot")
}
