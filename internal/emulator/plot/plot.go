// Package plot draws the load over the time of a replay as SVG.
//
//	err := plot.Write("burst.svg", "burst", result.Samples)
package plot

import (
	"image/color"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/hickorynotch/hickorynotch/internal/emulator/replay"
)

// Error is the class of the errors of this package.
var Error = errs.Class("plot")

// width and height are the size of a drawing.
const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Write draws the samples into the file at path, whose extension names the format.
func Write(path, title string, samples []replay.Sample) (err error) {
	defer func() { err = Error.Wrap(err) }()

	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Legend.Top = true
	for _, series := range []struct {
		name  string
		color color.Color
		value func(replay.Sample) int
	}{
		{"queries at instances", color.RGBA{B: 200, A: 255}, func(s replay.Sample) int { return s.Running }},
		{"requests waiting at replicas", color.RGBA{G: 140, A: 255}, func(s replay.Sample) int { return s.Waiting }},
		{"refusals in 100 ms", color.RGBA{R: 200, A: 255}, func(s replay.Sample) int { return s.Refused }},
	} {
		points := make(plotter.XYs, 0, len(samples))
		for _, s := range samples {
			points = append(points, plotter.XY{X: s.At.Seconds(), Y: float64(series.value(s))})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = series.color
		p.Add(line)
		p.Legend.Add(series.name, line)
	}

	return p.Save(width, height, path)
}
