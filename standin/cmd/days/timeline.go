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

// timelineCmd draws what was served in time over the seconds of days, from the
// the player's reports of single days.
type timelineCmd struct {
	Out     string   `help:"File for the plot (svg or png)." required:""`
	Reports []string `arg:"" help:"Files with what the bench printed of a day." type:"existingfile"`
}

// spanSeconds is how long each row of a report is.
const spanSeconds = 2

// span is one row of a report.
type span struct {
	from, asked, inTime float64
}

// Run draws the plot.
func (cm *timelineCmd) Run() error {
	pt := plot.New()
	pt.Title.Text = "answers in time a second (lines), requests a second (dashed)"
	pt.X.Label.Text = "second of the day"
	pt.Legend.Top = true
	pt.Y.Min = 0
	for i, path := range cm.Reports {
		body, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read")
		}
		spans := parseSpans(string(body))
		if len(spans) == 0 {
			return eris.Errorf("%s holds no seconds of a day", path)
		}
		if err := addLines(pt, spans, i, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))); err != nil {
			return err
		}
	}
	const width, height = 24 * vg.Centimeter, 12 * vg.Centimeter
	return eris.Wrap(pt.Save(width, height, cm.Out), "plot")
}

func addLines(pt *plot.Plot, spans []span, color int, name string) error {
	var asked, inTime plotter.XYs
	for _, sp := range spans {
		asked = append(asked, plotter.XY{X: sp.from, Y: sp.asked / spanSeconds})
		inTime = append(inTime, plotter.XY{X: sp.from, Y: sp.inTime / spanSeconds})
	}
	for i, points := range []plotter.XYs{inTime, asked} {
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "line")
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

// spanLine is one row of the table: the second, requests, answers in time.
var spanLine = regexp.MustCompile(`^(\d+) +(\d+) +(\d+) `)

// parseSpans reads the table that begins with "from second".
func parseSpans(report string) []span {
	var spans []span
	inTable := false
	for line := range strings.Lines(report) {
		if strings.HasPrefix(line, "from second") {
			inTable = true
			continue
		}
		found := spanLine.FindStringSubmatch(line)
		if !inTable || found == nil {
			inTable = inTable && found != nil
			continue
		}
		var values [3]float64
		for i := range values {
			values[i], _ = strconv.ParseFloat(found[i+1], 64) // the pattern lets digits through only
		}
		spans = append(spans, span{values[0], values[1], values[2]})
	}
	return spans
}
