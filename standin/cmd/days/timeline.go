package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// timelineCmd plots the requests served in time over the seconds of days, from the simulator's reports
// of single days.
type timelineCmd struct {
	Out     string   `help:"File for the plot (svg or png)." required:""`
	Reports []string `arg:"" help:"Files with the bench's output for a day." type:"existingfile"`
}

// intervalSeconds is the length of the interval that a row of a report covers.
const intervalSeconds = 2

// interval is a row of a report: the second at which the interval starts, the number of requests
// and the number of answers in time.
type interval struct {
	from, requests, inTime float64
}

// Run writes the plot.
func (cm *timelineCmd) Run() error {
	pt := plot.New()
	pt.Title.Text = "answers in time per second (solid), requests per second (dashed)"
	pt.X.Label.Text = "second of the day"
	pt.Legend.Top = true
	pt.Y.Min = 0
	for i, path := range cm.Reports {
		body, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read report")
		}
		intervals := parseIntervals(string(body))
		if len(intervals) == 0 {
			return eris.Errorf("%s has no table by second of the day", path)
		}
		if err := addLines(pt, intervals, i, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))); err != nil {
			return err
		}
	}
	const width, height = 24 * vg.Centimeter, 12 * vg.Centimeter
	return eris.Wrap(pt.Save(width, height, cm.Out), "save plot")
}

// addLines adds the lines of a report to the plot.
func addLines(pt *plot.Plot, intervals []interval, color int, name string) error {
	var requests, inTime plotter.XYs
	for _, in := range intervals {
		requests = append(requests, plotter.XY{X: in.from, Y: in.requests / intervalSeconds})
		inTime = append(inTime, plotter.XY{X: in.from, Y: in.inTime / intervalSeconds})
	}
	for i, points := range []plotter.XYs{inTime, requests} {
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot line")
		}
		line.Color = plotutil.Color(color)
		line.Dashes = plotutil.Dashes(i)
		pt.Add(line)
		if i == 0 {
			pt.Legend.Add(name, line)
		}
	}
	return nil
}

// intervalPattern matches a row of the table: the second, requests, answers in time.
var intervalPattern = regexp.MustCompile(`^(\d+) +(\d+) +(\d+) `)

// parseIntervals reads the table that begins with "from second".
func parseIntervals(report string) []interval {
	var intervals []interval
	inTable := false
	for line := range strings.Lines(report) {
		if strings.HasPrefix(line, "from second") {
			inTable = true
			continue
		}
		found := intervalPattern.FindStringSubmatch(line)
		if !inTable || found == nil {
			inTable = inTable && found != nil
			continue
		}
		var values [3]float64
		for i := range values {
			values[i], _ = strconv.ParseFloat(found[i+1], 64) // the pattern matches digits only
		}
		intervals = append(intervals, interval{values[0], values[1], values[2]})
	}
	return intervals
}
