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

// noise is the difference in worth below which the users see no change.
const noise = 0.03

// compareCmd compares two sets of results.
type compareCmd struct {
	Before string `arg:"" help:"Results before." type:"existingfile"`
	After  string `arg:"" help:"Results after." type:"existingfile"`
	Plot   string `help:"Draw the differences into this file (svg or png)."`
}

// Run shows and draws the differences.
func (cm *compareCmd) Run() error {
	before, err := load(cm.Before)
	if err != nil {
		return err
	}
	after, err := load(cm.After)
	if err != nil {
		return err
	}
	rows := pair(before, after)
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "day\tseeds\tbefore\tafter\tdifference\tspread\t")
	for _, ro := range rows {
		mean, spread := meanAndSpread(ro.differences)
		note := ""
		if math.Abs(mean) < noise {
			note = "within the noise"
		}
		fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%+.3f\t%.3f\t%s\n", ro.name, len(ro.differences), ro.before, ro.after, mean, spread, note)
	}
	if err := tw.Flush(); err != nil {
		return eris.Wrap(err, "print")
	}
	if cm.Plot == "" {
		return nil
	}
	return draw(rows, cm.Plot)
}

func load(path string) ([]played, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read")
	}
	var list []played
	return list, eris.Wrap(json.Unmarshal(body, &list), path)
}

// row is one day of both sets.
type row struct {
	name string
	// before and after are means over the seeds that both sets have.
	before, after float64
	differences   []float64
}

// pair puts the same days and seeds together; what only one set has is left out.
func pair(before, after []played) []row {
	worth := map[string]float64{}
	for _, pl := range before {
		worth[pl.key()] = pl.Worth
	}
	days := map[string]*row{}
	for _, pl := range after {
		was, ok := worth[pl.key()]
		if !ok {
			continue
		}
		name := pl.Site + " " + pl.Day
		if days[name] == nil {
			days[name] = &row{name: name}
		}
		ro := days[name]
		n := float64(len(ro.differences))
		ro.before = (ro.before*n + was) / (n + 1)
		ro.after = (ro.after*n + pl.Worth) / (n + 1)
		ro.differences = append(ro.differences, pl.Worth-was)
	}
	rows := make([]row, 0, len(days))
	for _, ro := range days {
		rows = append(rows, *ro)
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.name, b.name) })
	return rows
}

// meanAndSpread returns the mean and the standard deviation.
func meanAndSpread(values []float64) (mean, spread float64) {
	for _, va := range values {
		mean += va / float64(len(values))
	}
	for _, va := range values {
		spread += (va - mean) * (va - mean)
	}
	if len(values) > 1 {
		spread = math.Sqrt(spread / float64(len(values)-1))
	}
	return mean, spread
}

// show prints a table of one set.
func show(results []played) {
	byDay := map[string][]played{}
	for _, pl := range results {
		name := pl.Site + " " + pl.Day
		byDay[name] = append(byDay[name], pl)
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
		least, most := list[0].Worth, list[0].Worth
		var sum played
		broken := 0
		for _, pl := range list {
			least, most = min(least, pl.Worth), max(most, pl.Worth)
			sum.Worth += pl.Worth / float64(len(list))
			sum.WholeDay += pl.WholeDay / float64(len(list))
			sum.Windows += pl.Windows / float64(len(list))
			sum.WorstClass += pl.WorstClass / float64(len(list))
			if pl.Broken != "" {
				broken++
			}
		}
		fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\n", name, len(list), sum.Worth, least, most,
			sum.WholeDay, sum.Windows, sum.WorstClass, broken)
	}
	_ = tw.Flush()
}

// draw plots each seed's difference beside its day.
func draw(rows []row, path string) error {
	pt := plot.New()
	pt.Title.Text = "worth after less worth before, each seed a point"
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
		return eris.Wrap(err, "points")
	}
	pt.Add(plotter.NewGrid(), sc)
	pt.NominalX(names...)
	pt.X.Tick.Label.Rotation = math.Pi / 6
	pt.X.Tick.Label.XAlign = -1
	const width, height = 24 * vg.Centimeter, 12 * vg.Centimeter
	return eris.Wrap(pt.Save(width, height, path), "plot")
}
