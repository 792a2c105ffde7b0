package experiment

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"pepperlead/internal/emulator"
	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

//go:embed report.html
var reportTemplate string

var palette = []color.Color{color.RGBA{0x1f, 0x5f, 0xa8, 0xff}, color.RGBA{0xc0, 0x4a, 0x1c, 0xff}, color.RGBA{0x2f, 0x8f, 0x4e, 0xff},
	color.RGBA{0x7a, 0x3f, 0x98, 0xff}, color.RGBA{0x8a, 0x6d, 0x1b, 0xff}, color.RGBA{0x44, 0x44, 0x44, 0xff}}

// Report writes one HTML file about a day, all in it, from what run has written into the folder. It gives the file's path.
func Report(dir string) (string, error) {
	var r Result
	var s Series
	if err := readJSON(filepath.Join(dir, "result.json"), &r); err != nil {
		return "", err
	}
	if err := readJSON(filepath.Join(dir, "series.json"), &s); err != nil {
		return "", err
	}
	plots, err := plots(&r, &s)
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	shape := template.Must(template.New("report").Funcs(template.FuncMap{
		"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
		"ms":      func(v any) string { return fmt.Sprint(v) },
		"seconds": func(v policy.Time) string { return fmt.Sprintf("%.3f s", float64(v)/1e9) },
		"rule":    func(i int) string { return ruleNames[i] },
	}).Parse(reportTemplate))
	if err := shape.Execute(&out, map[string]any{"R": r, "S": s, "Plots": plots}); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "report.html")
	return path, snapshot.Replace(path, out.Bytes())
}

var ruleNames = []string{"one final answer before the cut-off", "no effect twice", "nothing new to a server that leaves",
	"a cold server's budget"}

// Plot is one picture of a report.
type Plot struct {
	Title string
	Note  string
	SVG   template.HTML
}

func plots(r *Result, s *Series) ([]Plot, error) {
	var all []Plot
	add := func(title, note, y string, faults bool, low, high float64, lines map[string]plotter.XYs, order []string) error {
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = "seconds", y
		if !math.IsNaN(low) {
			p.Y.Min = low
		}
		if !math.IsNaN(high) {
			p.Y.Max = high
		}
		for i, name := range order {
			l, err := plotter.NewLine(lines[name])
			if err != nil {
				return fmt.Errorf("%s: %w", title, err)
			}
			l.Color, l.Width = palette[i%len(palette)], vg.Points(1.2)
			p.Add(l)
			if len(order) <= len(palette) {
				p.Legend.Add(name, l)
			}
		}
		p.Legend.Top = true
		if faults {
			drawFaultBands(p, s.Faults)
		}
		svg, err := renderSVG(p)
		all = append(all, Plot{title, note, svg})
		return err
	}
	service := plotter.XYs{}
	for i, c := range r.Verdict.Seconds {
		if c.Offered > 0 {
			service = append(service, plotter.XY{X: float64(i), Y: c.Earned / c.Offered})
		}
	}
	if len(service) == 0 {
		return nil, fmt.Errorf("the result has no seconds: only days that run has played have a report")
	}
	if err := add("Service", "Credit in time over credit asked for, by the second in which a request was first sent. Grey: faults.",
		"service", true, 0, 1.02, map[string]plotter.XYs{"service": service}, []string{"service"}); err != nil {
		return nil, err
	}
	few := attemptLines(s)
	if err := add("Pushes out by server", few.note, "pushes", true, 0, math.NaN(), few.lines, few.order); err != nil {
		return nil, err
	}
	sampled := func(of func(emulator.Sample) float64) plotter.XYs {
		var xy plotter.XYs
		for _, one := range s.Samples {
			xy = append(xy, plotter.XY{X: float64(one.At) / 1e9, Y: of(one)})
		}
		return xy
	}
	if err := add("Limits and pace", "Mean over the sidecars: pushes that may be out in all, and to one server; servers set aside.",
		"pushes, servers", true, 0, math.NaN(), map[string]plotter.XYs{
			"pace":  sampled(func(x emulator.Sample) float64 { return min(x.TotalLimit, 200) }),
			"limit": sampled(func(x emulator.Sample) float64 { return x.Limit }),
			"aside": sampled(func(x emulator.Sample) float64 { return x.Ejected })}, []string{"pace", "limit", "aside"}); err != nil {
		return nil, err
	}
	if err := add("Servers", "Part of all cores at work, and jobs in servers beyond their cores, in tens.", "part, tens of jobs", true, 0,
		math.NaN(), map[string]plotter.XYs{"busy": sampled(func(x emulator.Sample) float64 { return x.Busy }),
			"waiting": sampled(func(x emulator.Sample) float64 { return float64(x.Waiting) / 10 })}, []string{"busy", "waiting"}); err != nil {
		return nil, err
	}
	curves := map[string]plotter.XYs{}
	var names []string
	for _, l := range r.Latency {
		for _, c := range s.Curves[l.Class] {
			curves[l.Class] = append(curves[l.Class], plotter.XY{X: c.X, Y: c.Y})
		}
		if l.Count > 0 {
			names = append(names, l.Class)
		}
	}
	if len(names) > 0 {
		if err := add("Latency of honoured tickets", "Seconds from reaching the sidecar to the answer, over percentiles.", "seconds", false, 0,
			math.NaN(), curves, names); err != nil {
			return nil, err
		}
	}
	return all, nil
}

type lineSet struct {
	lines map[string]plotter.XYs
	order []string
	note  string
}

// attemptLines draws a line for each server where they are few, else quantiles over the servers.
func attemptLines(s *Series) lineSet {
	out := lineSet{lines: map[string]plotter.XYs{}, note: "One line a server."}
	most := 0
	for _, one := range s.Samples {
		most = max(most, len(one.Attempts))
	}
	if most <= 16 {
		for i := range most {
			name := s.Endpoints[i]
			out.order = append(out.order, name)
			for _, one := range s.Samples {
				if i < len(one.Attempts) {
					out.lines[name] = append(out.lines[name], plotter.XY{X: float64(one.At) / 1e9, Y: float64(one.Attempts[i])})
				}
			}
		}
		return out
	}
	out.note = "Over the servers: the least, the middle, the 90th percentile and the most."
	out.order = []string{"least", "middle", "90%", "most"}
	for _, one := range s.Samples {
		sorted := slices.Sorted(slices.Values(one.Attempts))
		for i, name := range out.order {
			at := []int{0, len(sorted) / 2, len(sorted) * 9 / 10, len(sorted) - 1}[i]
			out.lines[name] = append(out.lines[name], plotter.XY{X: float64(one.At) / 1e9, Y: float64(sorted[at])})
		}
	}
	return out
}

// drawFaultBands draws the faults in behind the lines.
func drawFaultBands(p *plot.Plot, faults []Span) {
	for i, f := range faults {
		poly, err := plotter.NewPolygon(plotter.XYs{{X: f.FromS, Y: p.Y.Min}, {X: f.ToS, Y: p.Y.Min}, {X: f.ToS, Y: p.Y.Max}, {X: f.FromS, Y: p.Y.Max}})
		if err != nil {
			continue
		}
		poly.Color = color.NRGBA{0x60, 0x60, 0x60, 0x22}
		poly.LineStyle.Width = 0
		p.Add(poly)
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.FromS, Y: p.Y.Max - (p.Y.Max-p.Y.Min)*0.05*float64(1+i%4)}},
			Labels: []string{f.What}})
		if err == nil {
			labels.TextStyle[0].Color = color.NRGBA{0x50, 0x50, 0x50, 0xff}
			p.Add(labels)
		}
	}
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(vg.Points(720), vg.Points(230))
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.String()
	if at := strings.Index(svg, "<svg"); at > 0 {
		svg = svg[at:] // without the XML head, which has no place inside of HTML
	}
	return template.HTML(svg), nil
}
