package faulttest

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"pepperlead/internal/faulttest/judge"
	"pepperlead/internal/snapshot"
)

//go:embed report.html
var reportTemplate string

// box is a rectangle of the picture, or a label if it has no size.
type box struct {
	X     float64
	Y     float64
	W     float64
	H     float64
	Color string
	Label string
}

// lane shows the states of a process over time.
type lane struct {
	Name  string
	TextY float64
	Boxes []box
}

func (l *lane) top() float64 { return l.TextY - laneHeight + 2 }

// reportData is the data of the template.
type reportData struct {
	Result *Result
	Script *Script
	Lanes  []lane
	Plot   []box
	Marks  []box
	Height float64
}

// Sizes of the picture, in pixels.
const (
	lanesTop   = 60.0 // upper end of the lanes, below the marks
	nameWidth  = 50.0
	plotWidth  = 1120.0
	plotHeight = 80.0
	laneHeight = 12.0
	lanePitch  = laneHeight + 2
	margin     = 10.0
	markHeight = 12.0
	markRows   = 4
)

const plotInterval = int64(500 * time.Millisecond)

const (
	colorUnleased  = "#cc3333"
	colorDown      = "#cccccc"
	colorSucceeded = "#66aa55"
	colorFailed    = "#dd8833"
)

// palette holds the colors of revisions; each revision takes the next one.
var palette = []string{"#888866", "#4477aa", "#66aa55", "#aa7744", "#8855aa", "#44aaaa", "#aa4488", "#777777"}

func revisionColor(revision int) string { return palette[revision%len(palette)] }

// Report writes an HTML page about a result into a directory. It shows a lane for each process, and the responses over
// time.
func Report(directory string, script *Script, result *Result) error {
	picture := newPicture(result)
	picture.addRules(result.History.Changes)
	picture.addDown(result.History.DownIntervals)
	bottom := lanesTop + float64(len(picture.lanes))*lanePitch + margin
	data := reportData{
		Result: result,
		Script: script,
		Lanes:  picture.lanes,
		Plot:   picture.plot(result.History.ClientRequests, bottom),
		Marks:  picture.marks(result.Marks),
		Height: bottom + plotHeight + margin,
	}
	var out bytes.Buffer
	if err := template.Must(template.New("report").Parse(reportTemplate)).Execute(&out, data); err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	path := filepath.Join(directory, fmt.Sprintf("%s-%d.html", result.Drill, result.Seed))
	return snapshot.Replace(path, out.Bytes())
}

// picture draws a result, from its start to the last response.
type picture struct {
	start int64
	end   int64
	lanes []lane
}

func newPicture(result *Result) *picture {
	p := &picture{start: result.StartedAt, end: result.StartedAt + 1}
	for _, request := range result.History.ClientRequests {
		p.end = max(p.end, request.EndedAt)
	}
	return p
}

// x returns the horizontal position of a time in the picture, in pixels.
func (p *picture) x(at int64) float64 {
	return nameWidth + plotWidth*float64(min(max(at, p.start), p.end)-p.start)/float64(p.end-p.start)
}

// lane returns the lane of a process, which it adds if there is none yet.
func (p *picture) lane(name string) *lane {
	i := slices.IndexFunc(p.lanes, func(l lane) bool { return l.Name == name })
	if i < 0 {
		i = len(p.lanes)
		p.lanes = append(p.lanes, lane{Name: name, TextY: lanesTop + float64(i)*lanePitch + laneHeight - 2})
	}
	return &p.lanes[i]
}

// addRules draws which revisions the processes applied over time.
func (p *picture) addRules(changes []judge.ActiveRules) {
	for i, rules := range changes {
		until := p.end
		for _, later := range changes[i+1:] {
			if later.Process == rules.Process {
				until = later.At
				break
			}
		}
		lane := p.lane(rules.Process)
		if until > p.start {
			lane.Boxes = append(lane.Boxes, p.rulesBoxes(rules, until, lane.top())...)
		}
	}
}

// rulesBoxes draws the rules of a process until a time. Two revisions that apply together share the height of the lane.
func (p *picture) rulesBoxes(rules judge.ActiveRules, until int64, top float64) []box {
	first := box{
		X:     p.x(rules.At),
		Y:     top,
		W:     p.x(until) - p.x(rules.At),
		H:     laneHeight,
		Color: colorUnleased,
		Label: fmt.Sprintf("by %v, leased %v", rules.Revisions, rules.Leased),
	}
	if !rules.Leased || len(rules.Revisions) == 0 {
		return []box{first}
	}
	first.Color = revisionColor(rules.Revisions[0])
	if len(rules.Revisions) == 1 {
		return []box{first}
	}
	first.H = laneHeight / 2
	second := first
	second.Y = top + laneHeight/2
	second.Color = revisionColor(rules.Revisions[1])
	return []box{second, first}
}

// addDown draws when processes were stopped or not running.
func (p *picture) addDown(down []judge.Interval) {
	for _, span := range down {
		lane := p.lane(span.Process)
		from := p.x(span.From)
		lane.Boxes = append(lane.Boxes, box{
			X:     from,
			Y:     lane.top(),
			W:     p.x(span.To-int64(answerTimeout)) - from,
			H:     laneHeight,
			Color: colorDown,
			Label: "stands still or is not there",
		})
	}
}

// responseCounts are the responses of one interval.
type responseCounts struct {
	succeeded float64
	failed    float64
}

// countResponses counts the responses of each interval.
func (p *picture) countResponses(requests []judge.ClientRequest) []responseCounts {
	var counts []responseCounts
	for _, request := range requests {
		i := int((request.EndedAt - p.start) / plotInterval)
		for len(counts) <= i {
			counts = append(counts, responseCounts{})
		}
		switch {
		case i < 0:
		case request.Status == http.StatusOK:
			counts[i].succeeded++
		default:
			counts[i].failed++
		}
	}
	return counts
}

// plot draws the responses over time, under the lanes.
func (p *picture) plot(requests []judge.ClientRequest, top float64) []box {
	counts := p.countResponses(requests)
	highest := 1.0
	for _, count := range counts {
		highest = max(highest, count.succeeded+count.failed)
	}
	width := plotWidth*float64(plotInterval)/float64(p.end-p.start) - 1
	var boxes []box
	for i, count := range counts {
		x := p.x(p.start + int64(i)*plotInterval)
		succeeded := count.succeeded / highest * plotHeight
		failed := count.failed / highest * plotHeight
		label := fmt.Sprintf("%.0f honoured, %.0f not", count.succeeded, count.failed)
		boxes = append(boxes,
			box{X: x, Y: top + plotHeight - succeeded, W: width, H: succeeded, Color: colorSucceeded, Label: label},
			box{X: x, Y: top + plotHeight - succeeded - failed, W: width, H: failed, Color: colorFailed, Label: label},
		)
	}
	return boxes
}

// marks draws the labels of the actions, in rows so that neighbours do not overlap.
func (p *picture) marks(marks []Mark) []box {
	var boxes []box
	for i, mark := range marks {
		y := markHeight + float64(i%markRows)*markHeight
		boxes = append(boxes, box{X: p.x(mark.At), Y: y, Label: mark.Label})
	}
	return boxes
}
