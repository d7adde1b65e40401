// Package plot draws the load during a replay over time.
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

// Error is the error class of this package.
var Error = errs.Class("plot")

const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Write draws the samples and writes the plot to path. The extension of the path selects the format, for example .svg.
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
		{"queries in flight at instances", color.RGBA{B: 200, A: 255}, func(s replay.Sample) int { return s.Running }},
		{"requests queued at replicas", color.RGBA{G: 140, A: 255}, func(s replay.Sample) int { return s.Waiting }},
		{"refusals per 100 ms", color.RGBA{R: 200, A: 255}, func(s replay.Sample) int { return s.Refused }},
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
