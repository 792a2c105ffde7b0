package experiment

import (
	"bytes"
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"pepperlead/internal/snapshot"
)

// PlotRows draws a sweep's table into an SVG file: service by scenario, or by the values of a figure, a mark for each policy with its
// interval.
func PlotRows(path string, rows []Row) error {
	if len(rows) == 0 {
		return fmt.Errorf("%s: nothing to draw", path)
	}
	var groups, policies []string
	at := map[string]int{}
	place := func(list *[]string, key, label string) int {
		i, known := at[key]
		if !known {
			i = len(*list)
			at[key] = i
			*list = append(*list, label)
		}
		return i
	}
	points := map[string]*intervalPoints{}
	for _, r := range rows {
		label := r.Scenario
		if r.Set != "" {
			label += " " + r.Set
		}
		x := place(&groups, "scenario "+label, label)
		n := place(&policies, "policy "+r.Policy, r.Policy)
		if points[r.Policy] == nil {
			points[r.Policy] = &intervalPoints{}
		}
		b := points[r.Policy]
		b.XYs = append(b.XYs, plotter.XY{X: float64(x) + 0.08*float64(n), Y: r.Service})
		b.YErrors = append(b.YErrors, struct{ Low, High float64 }{r.Half, r.Half})
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Service, mean and 95% interval", "service"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.NominalX(groups...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = draw.XRight
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	p.Add(grid)
	for i, name := range policies {
		marks, err := plotter.NewScatter(points[name].XYs)
		if err != nil {
			return err
		}
		marks.GlyphStyle = draw.GlyphStyle{Color: paletteColor(i), Radius: vg.Points(3), Shape: shapes[i%len(shapes)]}
		spread, err := plotter.NewYErrorBars(points[name])
		if err != nil {
			return err
		}
		spread.Color = paletteColor(i)
		p.Add(spread, marks)
		p.Legend.Add(name, marks)
	}
	p.Legend.Top, p.Legend.Left = false, true
	c := vgsvg.New(vg.Points(float64(180+60*len(groups))), vg.Points(420))
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return err
	}
	return snapshot.Replace(path, b.Bytes())
}

// intervalPoints are points with their intervals.
type intervalPoints struct {
	plotter.XYs
	plotter.YErrors
}

var shapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{},
	draw.PyramidGlyph{}, draw.RingGlyph{}}

func paletteColor(i int) color.Color { return palette[i%len(palette)] }
