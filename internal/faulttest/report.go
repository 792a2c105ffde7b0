package faulttest

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"

	"pepperlead/internal/snapshot"
)

//go:embed report.html
var reportTemplate string

// box is a part of a picture.
type box struct {
	X, Y, W, H float64
	Ink, Word  string
}

type lane struct {
	Name  string
	Text  float64
	Spans []box
}

const (
	lanesAt  = 60.0 // where lanes begin, under the words of what was done
	nameWide = 50.0
	wide     = 1120.0
	low      = 12.0
	plotHigh = 80.0
)

var palette = []string{"#888866", "#4477aa", "#66aa55", "#aa7744", "#8855aa", "#44aaaa", "#aa4488", "#777777"}

// Report writes one page of HTML about a play into the folder: a lane for each process, and answers over time.
func Report(dir string, s *Script, r *Result) error {
	h := r.History
	end := r.Begun + 1
	for _, a := range h.ClientRequests {
		end = max(end, a.EndedAt)
	}
	x := func(at int64) float64 {
		return nameWide + wide*float64(min(max(at, r.Begun), end)-r.Begun)/float64(end-r.Begun)
	}
	var lanes []lane
	row := func(name string) *lane {
		i := slices.IndexFunc(lanes, func(l lane) bool { return l.Name == name })
		if i < 0 {
			lanes = append(lanes, lane{Name: name, Text: lanesAt + float64(len(lanes))*(low+2) + low - 2})
			i = len(lanes) - 1
		}
		return &lanes[i]
	}
	changes := slices.Clone(h.Changes)
	for i, a := range changes {
		till := end
		for _, later := range changes[i+1:] {
			if later.Process == a.Process {
				till = later.At
				break
			}
		}
		l := row(a.Process)
		ink := func(n int) string { return palette[n%len(palette)] }
		y := l.Text - low + 2
		if till <= r.Begun {
			continue
		}
		b := box{x(a.At), y, x(till) - x(a.At), low, "#cc3333", fmt.Sprintf("by %v, leased %v", a.Revisions, a.Leased)}
		if a.Leased && len(a.Revisions) > 0 {
			b.Ink = ink(a.Revisions[0])
			if len(a.Revisions) > 1 {
				b.H = low / 2
				l.Spans = append(l.Spans, box{b.X, y + low/2, b.W, low / 2, ink(a.Revisions[1]), b.Word})
			}
		}
		l.Spans = append(l.Spans, b)
	}
	for _, d := range h.Down {
		l := row(d.Process)
		to := d.To - int64(answerTimeout)
		l.Spans = append(l.Spans, box{x(d.From), l.Text - low + 2, x(to) - x(d.From), low, "#cccccc", "stands still or is not there"})
	}
	bottom := lanesAt + float64(len(lanes))*(low+2) + 10
	height := bottom + plotHigh + 10
	const each = int64(5e8)
	var counts [][2]float64
	most := 1.0
	for _, a := range h.ClientRequests {
		i := int((a.EndedAt - r.Begun) / each)
		for len(counts) <= i {
			counts = append(counts, [2]float64{})
		}
		if i >= 0 {
			k := 1
			if a.Status == 200 {
				k = 0
			}
			counts[i][k]++
			most = max(most, counts[i][0]+counts[i][1])
		}
	}
	var plot, marks []box
	for i, n := range counts {
		at, w := x(r.Begun+int64(i)*each), wide*float64(each)/float64(end-r.Begun)-1
		good, bad := n[0]/most*plotHigh, n[1]/most*plotHigh
		word := fmt.Sprintf("%.0f honoured, %.0f not", n[0], n[1])
		plot = append(plot, box{at, bottom + plotHigh - good, w, good, "#66aa55", word}, box{at, bottom + plotHigh - good - bad, w, bad, "#dd8833", word})
	}
	for i, m := range r.Marks {
		marks = append(marks, box{X: x(m.At), Y: 12 + float64(i%4)*12, Word: m.What})
	}
	var out bytes.Buffer
	shape := template.Must(template.New("report").Parse(reportTemplate))
	if err := shape.Execute(&out, map[string]any{"R": r, "S": s, "Lanes": lanes, "Plot": plot, "Marks": marks, "Height": height}); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return snapshot.Replace(filepath.Join(dir, fmt.Sprintf("%s-%d.html", r.Drill, r.Seed)), out.Bytes())
}
