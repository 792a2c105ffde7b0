package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
	"gonum.org/v1/gonum/stat/distuv"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
)

// Grid is a set of days: every scenario, seed, figure and policy.
type Grid struct {
	Scenarios []string // paths
	Seeds     []uint64
	Vary      string   // path of a figure, or scale; "": none
	Values    []string // of it
	Policies  []string
	Workers   int       // 0: as many as there are cores
	Progress  io.Writer // nil: none
}

// job is one day of a grid.
type job struct {
	path   string
	seed   uint64
	set    string
	policy string
}

// Sweep plays all days of a grid, several at once. The results are in the grid's order, whichever day ends first.
func Sweep(ctx context.Context, g Grid) ([]*Result, error) {
	jobs, err := g.jobs()
	if err != nil {
		return nil, err
	}
	results := make([]*Result, len(jobs))
	errs := make([]error, len(jobs))
	workers := g.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	progress := newProgress(g.Progress, len(jobs))
	next := make(chan int)
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for i := range next {
				results[i], errs[i] = jobs[i].play()
				progress.increment()
			}
		})
	}
	for i := range jobs {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	running.Wait()
	progress.end()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return results, errors.Join(errs...)
}

// jobs lists the days of the grid. A scenario that cannot be loaded is an error before any day is played.
func (g *Grid) jobs() ([]job, error) {
	sets := []string{""}
	if g.Vary != "" {
		sets = nil
		for _, value := range g.Values {
			sets = append(sets, g.Vary+"="+value)
		}
	}
	var jobs []job
	for _, path := range g.Scenarios {
		for _, set := range sets {
			if _, err := Load(path, Sets(set)...); err != nil {
				return nil, err
			}
			for _, seed := range g.Seeds {
				for _, policyName := range g.Policies {
					jobs = append(jobs, job{path, seed, set, policyName})
				}
			}
		}
	}
	return jobs, nil
}

// progress shows how many days were played; its zero value shows nothing.
type progress struct {
	bars *mpb.Progress
	bar  *mpb.Bar
}

func newProgress(out io.Writer, days int) progress {
	if out == nil {
		return progress{}
	}
	const width = 50
	bars := mpb.New(mpb.WithOutput(out), mpb.WithWidth(width))
	bar := bars.AddBar(int64(days), mpb.PrependDecorators(decor.CountersNoUnit("%d of %d days ")),
		mpb.AppendDecorators(decor.AverageETA(decor.ET_STYLE_GO)))
	return progress{bars: bars, bar: bar}
}

func (p progress) increment() {
	if p.bar != nil {
		p.bar.Increment()
	}
}

// end ends the bar, also where not all days were played.
func (p progress) end() {
	if p.bar != nil {
		p.bar.Abort(false)
		p.bars.Wait()
	}
}

// play plays the day, without its seconds: a sweep has thousands of days.
func (j job) play() (*Result, error) {
	sc, err := Load(j.path, Sets(j.set)...)
	if err != nil {
		return nil, err
	}
	r, _, err := Play(sc, j.seed, j.policy, false)
	if err != nil {
		return nil, err
	}
	r.Set = j.set
	r.Verdict.Seconds = nil
	return r, nil
}

// Sets reads path=value, "" being none. A value that is a whole number stays one.
func Sets(text string) []emulator.Override {
	path, value, ok := strings.Cut(text, "=")
	if !ok {
		return nil
	}
	var v any = value
	if n, err := strconv.ParseInt(value, 10, 64); err == nil {
		v = n
	} else if f, err := strconv.ParseFloat(value, 64); err == nil {
		v = f
	} else if b, err := strconv.ParseBool(value); err == nil {
		v = b
	}
	return []emulator.Override{{Path: path, Value: v}}
}

// Range reads values as a list, 1,2,4, or as from:to:step.
func Range(text string) ([]string, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return strings.Split(text, ","), nil
	}
	var n [3]float64
	for i, p := range parts {
		var err error
		if n[i], err = strconv.ParseFloat(p, 64); err != nil {
			return nil, fmt.Errorf("range: found %q, allowed from:to:step or a list with commas", text)
		}
	}
	if n[2] <= 0 || n[1] < n[0] || (n[1]-n[0])/n[2] > 1000 {
		return nil, fmt.Errorf("range: found %q, allowed a step over 0 and a thousand values at most", text)
	}
	var all []string
	for i := 0; ; i++ {
		v := n[0] + float64(i)*n[2]
		if v > n[1]+n[2]*1e-9 {
			return all, nil
		}
		all = append(all, strconv.FormatFloat(math.Round(v*1e9)/1e9, 'g', -1, 64))
	}
}

// WriteSweep puts the results of a grid into a folder.
func WriteSweep(dir string, all []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "sweep.json"), all)
}

// Row is one line of a sweep's table.
type Row struct {
	Scenario string  `json:"scenario"`
	Set      string  `json:"set,omitempty"`
	Policy   string  `json:"policy"`
	Days     int     `json:"days"`
	Service  float64 `json:"service"` // mean
	Half     float64 `json:"half"`    // of its 95% interval
	Worst10  float64 `json:"worst_10s"`
	Wasted   float64 `json:"wasted"`
	Crossed  float64 `json:"crossed"`
	judge.Spread
	Broken [4]int `json:"broken"` // days on which the rule was broken
}

// Table summarizes a sweep.
func Table(all []*Result) []Row {
	type key struct{ scenario, set, policy string }
	at := map[key]int{}
	var rows []Row
	var services [][]float64 // of each row, by day
	for _, r := range all {
		k := key{r.Scenario, r.Set, r.Policy}
		i, known := at[k]
		if !known {
			i = len(rows)
			at[k] = i
			rows = append(rows, Row{Scenario: r.Scenario, Set: r.Set, Policy: r.Policy})
			services = append(services, nil)
		}
		rows[i].addResult(r)
		services[i] = append(services[i], r.Verdict.Service)
	}
	for i := range rows {
		rows[i].Service, rows[i].Half = Interval(services[i])
		rows[i].divide(float64(rows[i].Days))
	}
	return rows
}

// addResult adds a day to the sums and counts, of which divide makes means.
func (r *Row) addResult(result *Result) {
	r.Days++
	r.Worst10 += result.Verdict.Worst10
	r.Wasted += result.Wasted
	r.Crossed += result.Verdict.CrossZone
	r.add(&result.Verdict.Spread)
	for rule, count := range result.Verdict.ViolationCounts {
		if count > 0 {
			r.Broken[rule]++
		}
	}
}

func (r *Row) divide(days float64) {
	r.Worst10 /= days
	r.Wasted /= days
	r.Crossed /= days
	for i := range r.Scatter {
		r.Scatter[i] /= days
		r.KeyScatter[i] /= days
	}
	r.Busiest /= days
	r.IdleSeconds /= days
}

// add adds a day: sums of the values of which the mean is shown, the maximum of the others.
func (r *Row) add(e *judge.Spread) {
	for i := range e.Scatter {
		r.Scatter[i] += e.Scatter[i]
		r.KeyScatter[i] += e.KeyScatter[i]
	}
	r.Busiest += e.Busiest
	r.IdleSeconds += e.IdleSeconds
	r.BusiestMax = max(r.BusiestMax, e.BusiestMax)
	r.Herd = max(r.Herd, e.Herd)
}

// Interval returns the mean of some values and half the width of its 95% interval, by Student's distribution.
func Interval(all []float64) (mean, half float64) {
	n := float64(len(all))
	for _, v := range all {
		mean += v / n
	}
	if n < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, v := range all {
		sum += (v - mean) * (v - mean)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return mean, t * math.Sqrt(sum/(n-1)/n)
}

// ReadResults reads the results that run or sweep have written into a directory, or one such file.
func ReadResults(path string) ([]*Result, error) {
	for _, name := range []string{filepath.Join(path, "sweep.json"), path} {
		var all []*Result
		if err := readJSON(name, &all); err == nil {
			return all, nil
		}
	}
	var one Result
	if err := readJSON(filepath.Join(path, "result.json"), &one); err != nil {
		if err2 := readJSON(path, &one); err2 != nil {
			return nil, err
		}
	}
	return []*Result{&one}, nil
}

// Only keeps the results of one policy; "" keeps all.
func Only(all []*Result, policy string) []*Result {
	if policy == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(r *Result) bool { return r.Policy != policy })
}
