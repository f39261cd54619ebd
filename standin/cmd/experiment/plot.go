package main

import (
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 1 * vg.Centimeter
	// loadPlotMaxY is the upper end of the y axis, which leaves space for the legend above the lines.
	loadPlotMaxY = 1.3
)

// plotBars plots one column of a table as a bar chart.
func plotBars(path, title string, ta *table, column string) error {
	pl := plot.New()
	pl.Title.Text = title
	pl.Y.Min = 0
	values := make(plotter.Values, 0, len(ta.rows))
	for _, row := range ta.rows {
		values = append(values, ta.cell(row, column).mean())
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	chart.Color = plotutil.Color(2)
	pl.Add(chart)
	pl.NominalX(ta.rows...)
	pl.X.Tick.Label.Rotation = 0.3
	pl.X.Tick.Label.XAlign = -1
	pl.X.Max = float64(len(values)) - 0.5
	return pl.Save(plotWidth, plotHeight, path)
}

// plotLines plots one line per name over a logarithmic x axis.
func plotLines(path, yTitle, xTitle string, points map[string][][2]float64) error {
	pl := plot.New()
	pl.X.Label.Text, pl.Y.Label.Text = xTitle, yTitle
	pl.X.Scale, pl.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	pl.Y.Min = 0
	var list []any
	for _, name := range slices.Sorted(maps.Keys(points)) {
		xys := make(plotter.XYs, 0, len(points[name]))
		for _, po := range points[name] {
			xys = append(xys, plotter.XY{X: po[0], Y: po[1]})
		}
		list = append(list, name, xys)
	}
	if err := plotutil.AddLinePoints(pl, list...); err != nil {
		return err
	}
	pl.Legend.Top = true
	pl.Y.Max = loadPlotMaxY
	return pl.Save(plotWidth, plotHeight, path)
}
