package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"otterspring/internal/lab/history"
)

// MaxTimelineRows is the maximum number of processes in a timeline. The processes with the most
// events are shown, and the page states how many are omitted.
const MaxTimelineRows = 60

// bar is an interval in a row.
type bar struct {
	from, to float64 // seconds
	kind     barKind
	text     string
}

// barKind is the kind of state or event that a bar shows.
type barKind int

const (
	running barKind = iota
	suspended
	faulted   // a fault affects the process
	leaseHeld // the process holds a lease
)

// tick is a mark in the row of a process. It shows an effect that arrived at the process.
type tick struct {
	at      float64
	refused bool // the process rejected the effect
}

// processRow is the row of a process.
type processRow struct {
	name       string
	bars       []bar
	ticks      []tick
	eventCount int // weighted number of events, without starts and resumptions; selects the rows to show
}

var barColors = map[barKind]color.Color{
	running:   color.RGBA{0xcf, 0xe3, 0xd4, 0xff},
	suspended: color.RGBA{0x9a, 0xa4, 0xb0, 0xff},
	faulted:   color.RGBA{0xe8, 0xb4, 0x9c, 0xff},
	leaseHeld: color.RGBA{0x8f, 0xb4, 0xdc, 0xff},
}

// historyRows returns a row per process of a history, with its incarnations, suspensions, faults,
// leases and the effects that arrived at it. end is the time of the last entry, in seconds.
func historyRows(h *history.History) (rows []*processRow, end float64) {
	byName := map[string]*processRow{}
	row := func(name string) *processRow {
		l := byName[name]
		if l == nil {
			l = &processRow{name: name}
			byName[name] = l
			rows = append(rows, l)
		}
		return l
	}
	seconds := func(d time.Duration) float64 { return d.Seconds() }
	for i := range h.Entries {
		end = max(end, seconds(h.Entries[i].At))
	}
	type processKey struct {
		name string
		pid  uint64
	}
	startedAt, suspendedAt := map[processKey]float64{}, map[processKey]float64{}
	endRun := func(k processKey, t float64) {
		if from, ok := startedAt[k]; ok {
			row(k.name).bars = append(row(k.name).bars, bar{from, t, running, ""})
			delete(startedAt, k)
		}
	}
	endSuspension := func(k processKey, t float64) {
		if from, ok := suspendedAt[k]; ok {
			row(k.name).bars = append(row(k.name).bars, bar{from, t, suspended, "stopped"})
			delete(suspendedAt, k)
		}
	}
	for _, e := range h.Entries {
		k := processKey{e.Actor, e.Number}
		switch {
		case e.Kind == history.KindProcess && e.Number > 0:
			switch e.Op {
			case "started":
				startedAt[k] = seconds(e.At)
				row(e.Actor)
			case "stopped":
				if _, is := suspendedAt[k]; !is {
					suspendedAt[k] = seconds(e.At)
				}
				row(e.Actor).eventCount++
			case "woken":
				endSuspension(k, seconds(e.At))
			case "killed", "ended":
				endSuspension(k, seconds(e.At))
				endRun(k, seconds(e.At))
				row(e.Actor).eventCount++
			}
		case e.Kind == history.KindFault && e.Actor != "":
			to := seconds(e.End)
			if e.End <= e.At {
				to = seconds(e.At) + 0.1
			}
			l := row(e.Actor)
			l.bars = append(l.bars, bar{seconds(e.At), min(to, end), faulted, strings.TrimSpace(e.Op + " " + e.Value)})
			l.eventCount += 2
		case e.Kind == history.KindEffect && e.Target != "" && e.Number > 0:
			l := row(e.Target)
			l.ticks = append(l.ticks, tick{seconds(e.At), e.Result == history.Refused})
			l.eventCount++
		case e.Kind == history.KindProcess && e.Op == "said" &&
			strings.Contains(e.Value, "council: ") && strings.Contains(e.Value, " owns "):
			l := row(e.Actor)
			l.bars = append(l.bars, bar{seconds(e.At), end, leaseHeld, "owns"})
			l.eventCount++
		case e.Kind == history.KindProcess && e.Op == "said" && strings.Contains(e.Value, " ends epoch "):
			l := row(e.Actor)
			for i := len(l.bars) - 1; i >= 0; i-- {
				if l.bars[i].kind == leaseHeld {
					l.bars[i].to = seconds(e.At)
					break
				}
			}
		}
	}
	for k := range startedAt {
		endRun(k, end)
	}
	for k := range suspendedAt {
		endSuspension(k, end)
	}
	slices.SortFunc(rows, func(a, b *processRow) int {
		an, _ := strconv.Atoi(a.name[1:])
		bn, _ := strconv.Atoi(b.name[1:])
		return cmp.Or(
			strings.IndexByte("mhfn", a.name[0])-strings.IndexByte("mhfn", b.name[0]),
			an-bn, cmp.Compare(a.name, b.name),
		)
	})
	return rows, end
}

// drawRows plots rows from top to bottom, with a vertical line at each of violationTimes.
func drawRows(rows []*processRow, end float64, violationTimes []float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "s"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, max(end, 1), -0.5, float64(len(rows))-0.5
	ticks := make([]plot.Tick, 0, len(rows))
	var labels []plot.Plotter
	for i, l := range rows {
		y := float64(len(rows) - 1 - i)
		ticks = append(ticks, plot.Tick{Value: y, Label: l.name})
		for _, kind := range []barKind{running, leaseHeld, faulted, suspended} {
			half := map[barKind]float64{running: 0.42, leaseHeld: 0.3, faulted: 0.2, suspended: 0.42}[kind]
			for _, b := range l.bars {
				if b.kind != kind || b.to <= b.from {
					continue
				}
				box, err := plotter.NewPolygon(plotter.XYs{
					{X: b.from, Y: y - half}, {X: b.to, Y: y - half}, {X: b.to, Y: y + half}, {X: b.from, Y: y + half},
				})
				if err != nil {
					return "", err
				}
				box.Color, box.Width = barColors[kind], 0
				p.Add(box)
				if kind == faulted {
					t, err := plotter.NewLabels(plotter.XYLabels{
						XYs: plotter.XYs{{X: b.from, Y: y - 0.15}}, Labels: []string{b.text},
					})
					if err != nil {
						return "", err
					}
					t.TextStyle[0].Font.Size = vg.Points(6)
					labels = append(labels, t)
				}
			}
		}
		for _, refused := range []bool{false, true} {
			var xy plotter.XYs
			for _, t := range l.ticks {
				if t.refused == refused {
					xy = append(xy, plotter.XY{X: t.at, Y: y})
				}
			}
			if len(xy) == 0 {
				continue
			}
			dots, err := plotter.NewScatter(xy)
			if err != nil {
				return "", err
			}
			dots.GlyphStyle = draw.GlyphStyle{Color: blue, Radius: vg.Points(2), Shape: draw.CircleGlyph{}}
			if refused {
				dots.GlyphStyle = draw.GlyphStyle{Color: red, Radius: vg.Points(4), Shape: draw.CrossGlyph{}}
			}
			p.Add(dots)
		}
	}
	for _, x := range violationTimes {
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return "", err
		}
		l.Color, l.Width = red, vg.Points(1)
		p.Add(l)
	}
	p.Add(labels...)
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	c := vgsvg.New(12*vg.Inch, vg.Length(len(rows))*0.19*vg.Inch+0.7*vg.Inch)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	return inlineSVG(b.String()), nil
}

// visualization is the HTML page that porcupine renders for a key with non-linearizable operations.
type visualization struct{ Key, HTML string }

// timelinePage is the data of timelineTemplate.
type timelinePage struct {
	Title, Verdict string
	OmittedRows    int
	SVG            template.HTML
	Void           []string
	Violations     []history.Violation
	Visualizations []visualization
}

// WriteTimeline writes a history as an HTML page. The page shows the processes over time with their
// faults. It shows the effects of lease holders that each process accepted or rejected, and each
// violation with its evidence.
func WriteTimeline(w io.Writer, h *history.History, v *history.Verdict) error {
	rows, end := historyRows(h)
	page := timelinePage{
		Title: fmt.Sprintf("%s, seed %d", h.Experiment, h.Seed), Verdict: "kept",
		Void: v.VoidReasons, Violations: v.Violations,
	}
	if len(rows) > MaxTimelineRows {
		page.OmittedRows = len(rows) - MaxTimelineRows
		byActivity := slices.Clone(rows)
		slices.SortStableFunc(byActivity, func(a, b *processRow) int { return b.eventCount - a.eventCount })
		shown := map[*processRow]bool{}
		for _, l := range byActivity[:MaxTimelineRows] {
			shown[l] = true
		}
		rows = slices.DeleteFunc(rows, func(l *processRow) bool { return !shown[l] })
	}
	switch {
	case v.Violated():
		page.Verdict = "broken"
	case len(v.VoidReasons) > 0:
		page.Verdict = "void"
	}
	var violationTimes []float64
	for _, x := range v.Violations {
		if n := len(x.Evidence); n > 0 {
			violationTimes = append(violationTimes, x.Evidence[n-1].At.Seconds())
		}
	}
	for key, html := range v.Visualizations {
		page.Visualizations = append(page.Visualizations, visualization{key, string(html)})
	}
	slices.SortFunc(page.Visualizations, func(a, b visualization) int { return cmp.Compare(a.Key, b.Key) })
	if len(rows) > 0 {
		var err error
		if page.SVG, err = drawRows(rows, end, violationTimes); err != nil {
			return err
		}
	}
	return timelineTemplate.Execute(w, page)
}

// timelineTemplate is the template of WriteTimeline. Its data has the type timelinePage.
var timelineTemplate = template.Must(template.New("story").Funcs(template.FuncMap{
	"words": func(e history.Entry) string { return e.Describe() },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1"><title>{{.Title}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:0 auto;max-width:1400px;padding:1rem;color:#1d2733;background:#fff}
h1{font-size:1.4rem;margin:.2rem 0}h2{font-size:1.1rem;margin:1.4rem 0 .3rem}
svg{width:100%;height:auto;display:block}pre{font-size:12px;overflow-x:auto;background:#f2f5f8;padding:.5rem}
.kept{color:#1a6b37}.broken{color:#a3161c;font-weight:600}.void{color:#8a5a00;font-weight:600}.small{color:#5b6774;font-size:13px}
i{display:inline-block;width:1em;height:.8em;margin:0 .2em 0 .8em}iframe{width:100%;height:420px;border:1px solid #dde3ea}
</style></head><body>
<h1>{{.Title}} <span class="{{.Verdict}}">{{.Verdict}}</span></h1>
{{range .Void}}<div class="void">{{.}}</div>{{end}}
<div class="small"><i style="background:#cfe3d4"></i>running<i style="background:#9aa4b0"></i>stopped<i style="background:#e8b49c"></i>fault<i style="background:#8fb4dc"></i>holds a lease; dots are accepted effects, crosses are rejected effects, red lines are violations. m: members of the coordination cluster, f: supervisors, n: sidecars.{{if .OmittedRows}} {{.OmittedRows}} processes with the fewest events are omitted.{{end}}</div>
{{.SVG}}
{{range .Violations}}<h2>{{.Rule}}</h2><div>{{.Description}}</div><pre>{{range .Evidence}}{{words .}}
{{end}}</pre>{{end}}
{{range .Visualizations}}<h2>{{.Key}}</h2><iframe srcdoc="{{.HTML}}"></iframe>{{end}}
</body></html>
`))
