package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"otterspring/internal/lab/experiment"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

var (
	grey       = color.RGBA{0x8a, 0x94, 0xa0, 0xff}
	blue       = color.RGBA{0x1f, 0x5f, 0xa8, 0xff}
	green      = color.RGBA{0x1a, 0x7f, 0x45, 0xff}
	orange     = color.RGBA{0xc9, 0x6a, 0x00, 0xff}
	red        = color.RGBA{0xb3, 0x1b, 0x1f, 0xff}
	violet     = color.RGBA{0x7a, 0x3e, 0xa5, 0xff}
	faultShade = color.RGBA{0xf3, 0xd9, 0xd2, 0xff}
)

// renderSVG renders a plot for use within a page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	return inlineSVG(b.String()), nil
}

// inlineSVG removes the XML declaration from an SVG document, so that it can be part of an HTML page.
// The result is safe in HTML, because the plotter writes numbers and escapes names.
func inlineSVG(text string) template.HTML {
	if at := strings.Index(text, "<svg"); at > 0 {
		text = text[at:]
	}
	return template.HTML(text) //nolint:gosec // see above
}

// series is one line of a plot over time.
type series struct {
	name   string
	color  color.Color
	value  func(s experiment.Second) float64
	dashed bool
}

// plotSeries plots lines over the seconds of a run. Faults are drawn as shaded areas.
func plotSeries(r *experiment.Result, title, unit string, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	p.Y.Min = 0
	top := 0.0
	var all []*plotter.Line
	for _, l := range lines {
		xy := make(plotter.XYs, len(r.Series))
		for i, s := range r.Series {
			xy[i].X, xy[i].Y = float64(i)+0.5, l.value(s)
			top = max(top, xy[i].Y)
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = l.color, vg.Points(1.3)
		if l.dashed {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		all = append(all, line)
		p.Legend.Add(l.name, line)
	}
	top = max(top*1.5, 1) // space for the legend and the names of the faults
	var labels []plot.Plotter
	for i, m := range r.Marks {
		to := max(m.To, m.From+0.15)
		box, err := plotter.NewPolygon(plotter.XYs{
			{X: m.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: m.From, Y: top},
		})
		if err != nil {
			return "", err
		}
		box.Color, box.Width = faultShade, 0
		p.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: m.From, Y: top * (0.94 - 0.065*float64(i%5))}},
			Labels: []string{m.Kind},
		})
		if err != nil {
			return "", err
		}
		label.TextStyle[0].Font.Size = vg.Points(8)
		labels = append(labels, label)
	}
	for _, l := range all {
		p.Add(l)
	}
	for _, l := range labels {
		p.Add(l)
	}
	p.Y.Max = top
	p.X.Min, p.X.Max = 0, float64(len(r.Series))
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.Padding, p.Legend.ThumbnailWidth = vg.Points(2), vg.Points(18)
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	return renderSVG(p)
}

// allZero reports whether the first element of lines is 0 in every second.
func allZero(seconds []experiment.Second, lines []series) bool {
	for _, s := range seconds {
		if lines[0].value(s) > 0 {
			return false
		}
	}
	return true
}

// drawRun plots a run: request outcomes, retries in relation to the retry budget, the load of servers
// in warm-up, the number of servers out of service, and the outcomes of each class.
func drawRun(r *experiment.Result) (timeline, error) {
	t := timeline{
		Title:   fmt.Sprintf("%s, %s, seed %d %s", r.Experiment, r.Engine, r.Seed, strings.Join(r.Settings, " ")),
		Verdict: r.Verdict(), Notes: r.Problems,
	}
	if len(t.Notes) > 5 {
		t.Notes = t.Notes[:5]
	}
	if len(r.Series) == 0 {
		return t, nil
	}
	plots := []struct {
		title, unit string
		lines       []series
	}{
		{"requests by the second in which they were due", "per second", []series{
			{"asked", grey, func(s experiment.Second) float64 { return float64(s.Asked) }, true},
			{"in time", green, func(s experiment.Second) float64 { return float64(s.InTime) }, false},
			{"late", blue, func(s experiment.Second) float64 { return float64(s.Late) }, false},
			{"refused", orange, func(s experiment.Second) float64 { return float64(s.Refused) }, false},
			{"failed, no answer", red, func(s experiment.Second) float64 { return float64(s.Failed + s.NoAnswer) }, false},
		}},
		{"attempts at servers, and 20 % of the first attempts", "per second", []series{
			{"first attempts", grey, func(s experiment.Second) float64 { return float64(s.FirstAttempts) }, true},
			{"repeats", red, func(s experiment.Second) float64 { return float64(s.Retries) }, false},
			{"20 % of the first attempts", blue, func(s experiment.Second) float64 { return 0.2 * float64(s.FirstAttempts) }, true},
		}},
		{"highest load of a server in warm-up; at 1 it is overloaded", "share", []series{
			{"cold load", violet, func(s experiment.Second) float64 { return s.WarmupLoad }, false},
			{"limit", red, func(experiment.Second) float64 { return 1 }, true},
		}},
		{"servers that the plan takes out of service", "servers", []series{
			{"out", orange, func(s experiment.Second) float64 { return float64(s.ServersDown) }, false},
		}},
	}
	for i, c := range r.Classes {
		classCount := func(k int) func(experiment.Second) float64 {
			return func(s experiment.Second) float64 {
				if i < len(s.Classes) {
					return float64(s.Classes[i][k])
				}
				return 0
			}
		}
		plots = append(plots, struct {
			title, unit string
			lines       []series
		}{c.Name, "per second", []series{
			{"asked", grey, classCount(0), true},
			{"in time", green, classCount(1), false},
			{"refused", orange, classCount(2), false},
			{"failed, late, no answer", red, classCount(3), false},
		}})
	}
	for _, x := range plots {
		if allZero(r.Series, x.lines) {
			continue // no such events in this run
		}
		s, err := plotSeries(r, x.title, x.unit, x.lines)
		if err != nil {
			return t, err
		}
		t.SVGs = append(t.SVGs, s)
	}
	return t, nil
}

// curvePoints implements plotter.XYer and plotter.YErrorer for the points of a curve.
type curvePoints struct{ points []point }

func (iv curvePoints) Len() int { return len(iv.points) }
func (iv curvePoints) XY(i int) (float64, float64) {
	return iv.points[i].X, iv.points[i].Interval.Median
}
func (iv curvePoints) YError(i int) (float64, float64) {
	p := iv.points[i].Interval
	return p.Median - p.Low, p.High - p.Median
}

// drawCurve plots a sweep with its confidence intervals.
func drawCurve(c *curve) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = c.Key, c.Figure
	iv := curvePoints{c.Points}
	line, dots, err := plotter.NewLinePoints(iv)
	if err != nil {
		return "", err
	}
	line.Color, dots.Color = blue, blue
	bars, err := plotter.NewYErrorBars(iv)
	if err != nil {
		return "", err
	}
	bars.Color = grey
	p.Add(bars, line, dots)
	return renderSVG(p)
}
