package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"pepperlead/internal/emulator"
)

// palette holds the colors of lines and marks, which are used in turn.
var palette = []color.Color{
	color.RGBA{0x1f, 0x5f, 0xa8, 0xff},
	color.RGBA{0xc0, 0x4a, 0x1c, 0xff},
	color.RGBA{0x2f, 0x8f, 0x4e, 0xff},
	color.RGBA{0x7a, 0x3f, 0x98, 0xff},
	color.RGBA{0x8a, 0x6d, 0x1b, 0xff},
	color.RGBA{0x44, 0x44, 0x44, 0xff},
}

// Plot is one drawn chart of a report.
type Plot struct {
	Title string
	Note  string
	SVG   template.HTML
}

// lineSet holds the lines of a chart by name, and the names in the order in which they were added.
type lineSet struct {
	lines map[string]plotter.XYs
	order []string
}

func (l *lineSet) add(name string, points plotter.XYs) {
	if l.lines == nil {
		l.lines = map[string]plotter.XYs{}
	}
	if _, known := l.lines[name]; !known {
		l.order = append(l.order, name)
	}
	l.lines[name] = append(l.lines[name], points...)
}

// chart describes a line chart of a report.
type chart struct {
	title  string
	note   string
	yLabel string
	yMin   float64
	yMax   float64     // upper end of the y axis; 0: the largest value of the lines
	faults []FaultSpan // shown as grey bands
	lines  lineSet
}

const (
	// maxService is the upper end of the axis of the service, with a margin above the maximum of 1.
	maxService = 1.02
	// maxTotalLimit is the highest total limit that is drawn, so that instances without a limit don't stretch the axis.
	maxTotalLimit = 200
	// waitingScale divides the number of waiting jobs, which share an axis with the share of busy cores.
	waitingScale = 10
)

// plots returns the charts of a report.
func plots(r *Result, s *Series) ([]Plot, error) {
	service := serviceLine(r)
	if len(service) == 0 {
		return nil, errors.New("the result has no values by second: a report needs the result of run or replay")
	}
	charts := []chart{{
		title:  "Service",
		note:   "Credit in time over credit asked for, by the second in which a request was first sent. Grey: faults.",
		yLabel: "service",
		yMax:   maxService,
		faults: s.Faults,
	}}
	charts[0].lines.add("service", service)
	charts = append(charts, attemptsChart(s), limitsChart(s), endpointsChart(s))
	if latency := latencyChart(r, s); len(latency.lines.order) > 0 {
		charts = append(charts, latency)
	}
	var all []Plot
	for _, c := range charts {
		p, err := c.draw()
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// serviceLine returns the service for each second. A request counts in the second in which it was first sent.
func serviceLine(r *Result) plotter.XYs {
	var line plotter.XYs
	for i, second := range r.Verdict.Seconds {
		if second.Requested > 0 {
			line = append(line, plotter.XY{X: float64(i), Y: second.Earned / second.Requested})
		}
	}
	return line
}

// sampled returns one value of each sample as a line over time, in seconds.
func sampled(s *Series, value func(emulator.Sample) float64) plotter.XYs {
	var line plotter.XYs
	for _, sample := range s.Samples {
		line = append(line, plotter.XY{X: float64(sample.At) / 1e9, Y: value(sample)})
	}
	return line
}

func limitsChart(s *Series) chart {
	c := chart{
		title:  "Limits and pace",
		note:   "Mean over the sidecars: pushes that may be out in all, and to one server; servers set aside.",
		yLabel: "pushes, servers",
		faults: s.Faults,
	}
	c.lines.add("pace", sampled(s, func(sample emulator.Sample) float64 {
		return min(sample.TotalLimit, maxTotalLimit)
	}))
	c.lines.add("limit", sampled(s, func(sample emulator.Sample) float64 { return sample.Limit }))
	c.lines.add("aside", sampled(s, func(sample emulator.Sample) float64 { return sample.Ejected }))
	return c
}

func endpointsChart(s *Series) chart {
	c := chart{
		title:  "Servers",
		note:   "Part of all cores at work, and jobs in servers beyond their cores, in tens.",
		yLabel: "part, tens of jobs",
		faults: s.Faults,
	}
	c.lines.add("busy", sampled(s, func(sample emulator.Sample) float64 { return sample.Busy }))
	c.lines.add("waiting", sampled(s, func(sample emulator.Sample) float64 {
		return float64(sample.Waiting) / waitingScale
	}))
	return c
}

func latencyChart(r *Result, s *Series) chart {
	c := chart{
		title:  "Latency of honoured tickets",
		note:   "Seconds from reaching the sidecar to the answer, over percentiles.",
		yLabel: "seconds",
	}
	for _, latency := range r.Latency {
		if latency.Count == 0 {
			continue
		}
		var curve plotter.XYs
		for _, point := range s.Curves[latency.Class] {
			curve = append(curve, plotter.XY{X: point.X, Y: point.Y})
		}
		c.lines.add(latency.Class, curve)
	}
	return c
}

// maxEndpointLines is the largest number of endpoints that are drawn with a line each; quantiles are drawn for more.
const maxEndpointLines = 16

// attemptsChart shows the attempts in flight: a line for each endpoint, or quantiles over all if there are many.
func attemptsChart(s *Series) chart {
	c := chart{
		title:  "Pushes out by server",
		note:   "One line a server.",
		yLabel: "pushes",
		faults: s.Faults,
	}
	endpoints := 0
	for _, sample := range s.Samples {
		endpoints = max(endpoints, len(sample.Attempts))
	}
	if endpoints > maxEndpointLines {
		c.note = "Over the servers: the least, the middle, the 90th percentile and the most."
		c.lines = attemptQuantiles(s)
		return c
	}
	for i := range endpoints {
		var line plotter.XYs
		for _, sample := range s.Samples {
			if i < len(sample.Attempts) {
				line = append(line, plotter.XY{X: float64(sample.At) / 1e9, Y: float64(sample.Attempts[i])})
			}
		}
		c.lines.add(s.Endpoints[i], line)
	}
	return c
}

// attemptQuantiles returns quantiles over the endpoints of their attempts in flight.
func attemptQuantiles(s *Series) lineSet {
	var quantiles lineSet
	for _, sample := range s.Samples {
		sorted := slices.Sorted(slices.Values(sample.Attempts))
		add := func(name string, index int) {
			point := plotter.XY{X: float64(sample.At) / 1e9, Y: float64(sorted[index])}
			quantiles.add(name, plotter.XYs{point})
		}
		add("least", 0)
		add("middle", len(sorted)/2)
		add("90%", len(sorted)*9/10)
		add("most", len(sorted)-1)
	}
	return quantiles
}

// draw draws the chart.
func (c *chart) draw() (Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = c.yLabel
	p.Y.Min = c.yMin
	if c.yMax > 0 {
		p.Y.Max = c.yMax
	}
	for i, name := range c.lines.order {
		line, err := plotter.NewLine(c.lines.lines[name])
		if err != nil {
			return Plot{}, fmt.Errorf("%s: %w", c.title, err)
		}
		line.Color = paletteColor(i)
		line.Width = vg.Points(1.2)
		p.Add(line)
		if len(c.lines.order) <= len(palette) {
			p.Legend.Add(name, line)
		}
	}
	p.Legend.Top = true
	if c.faults != nil {
		drawFaultBands(p, c.faults)
	}
	svg, err := renderSVG(p)
	return Plot{c.title, c.note, svg}, err
}

// drawFaultBands draws faults as grey bands. Their labels are at four heights in turn, so that those of faults close in
// time don't overlap.
func drawFaultBands(p *plot.Plot, faults []FaultSpan) {
	for i, f := range faults {
		band, err := plotter.NewPolygon(plotter.XYs{
			{X: f.FromS, Y: p.Y.Min},
			{X: f.ToS, Y: p.Y.Min},
			{X: f.ToS, Y: p.Y.Max},
			{X: f.FromS, Y: p.Y.Max},
		})
		if err != nil {
			continue
		}
		band.Color = color.NRGBA{0x60, 0x60, 0x60, 0x22}
		band.Width = 0
		p.Add(band)
		labelY := p.Y.Max - (p.Y.Max-p.Y.Min)*0.05*float64(1+i%4)
		labels, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: f.FromS, Y: labelY}},
			Labels: []string{f.What},
		})
		if err == nil {
			labels.TextStyle[0].Color = color.NRGBA{0x50, 0x50, 0x50, 0xff}
			p.Add(labels)
		}
	}
}

// renderSVG returns the plot as an SVG element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(vg.Points(720), vg.Points(230))
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.String()
	if at := strings.Index(svg, "<svg"); at > 0 {
		svg = svg[at:] // an XML declaration is not allowed inside HTML
	}
	return template.HTML(svg), nil
}

func paletteColor(i int) color.Color { return palette[i%len(palette)] }
