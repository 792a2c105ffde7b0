package experiment

import (
	"bytes"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"pepperlead/internal/snapshot"
)

// PlotRows draws the table of a sweep into an SVG file: the mean service by scenario and setting, with a mark and a 95%
// interval for each policy.
func PlotRows(path string, rows []Row) error {
	if len(rows) == 0 {
		return fmt.Errorf("%s: the table has no rows to draw", path)
	}
	groups, policies, points := groupRows(rows)
	p := newServicePlot(groups)
	for i, name := range policies {
		marks, err := plotter.NewScatter(points[name].XYs)
		if err != nil {
			return err
		}
		marks.GlyphStyle = draw.GlyphStyle{Color: paletteColor(i), Radius: vg.Points(3), Shape: shapes[i%len(shapes)]}
		intervals, err := plotter.NewYErrorBars(points[name])
		if err != nil {
			return err
		}
		intervals.Color = paletteColor(i)
		p.Add(intervals, marks)
		p.Legend.Add(name, marks)
	}
	const (
		leftWidth  = 180
		groupWidth = 60
		height     = 420
	)
	canvas := vgsvg.New(vg.Points(float64(leftWidth+groupWidth*len(groups))), vg.Points(height))
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return err
	}
	return snapshot.Replace(path, out.Bytes())
}

// groupRows groups rows by scenario and setting. It returns the labels of the groups, the names of the policies, and
// the points of each policy.
func groupRows(rows []Row) (groups, policies []string, points map[string]*intervalPoints) {
	const policyOffset = 0.08 // x distance between the marks of a group
	points = map[string]*intervalPoints{}
	for _, row := range rows {
		label := row.Scenario
		if row.Set != "" {
			label += " " + row.Set
		}
		var group, policyNumber int
		groups, group = indexOf(groups, label)
		policies, policyNumber = indexOf(policies, row.Policy)
		if points[row.Policy] == nil {
			points[row.Policy] = &intervalPoints{}
		}
		ofPolicy := points[row.Policy]
		x := float64(group) + policyOffset*float64(policyNumber)
		ofPolicy.XYs = append(ofPolicy.XYs, plotter.XY{X: x, Y: row.Service})
		ofPolicy.YErrors = append(ofPolicy.YErrors, struct{ Low, High float64 }{row.HalfWidth, row.HalfWidth})
	}
	return groups, policies, points
}

// indexOf returns the index of the name, which is appended if the list does not contain it.
func indexOf(list []string, name string) (extended []string, index int) {
	if index = slices.Index(list, name); index >= 0 {
		return list, index
	}
	return append(list, name), len(list)
}

func newServicePlot(groups []string) *plot.Plot {
	p := plot.New()
	p.Title.Text = "Service, mean and 95% interval"
	p.Y.Label.Text = "service"
	p.Y.Min = 0
	p.Y.Max = maxService
	p.NominalX(groups...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = draw.XRight
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	p.Add(grid)
	p.Legend.Top = false
	p.Legend.Left = true
	return p
}

// intervalPoints are points with their 95% intervals.
type intervalPoints struct {
	plotter.XYs
	plotter.YErrors
}

// shapes are the marks of policies, which are used in turn.
var shapes = []draw.GlyphDrawer{
	draw.CircleGlyph{},
	draw.SquareGlyph{},
	draw.TriangleGlyph{},
	draw.CrossGlyph{},
	draw.PlusGlyph{},
	draw.PyramidGlyph{},
	draw.RingGlyph{},
}
