package experiment

import (
	"cmp"
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

type job struct {
	path   string
	seed   uint64
	set    string
	policy string
}

// Sweep plays all days of a grid, several at once. The results stand in the grid's order, whoever finishes first.
func Sweep(ctx context.Context, g Grid) ([]*Result, error) {
	var jobs []job
	values := g.Values
	if g.Vary == "" {
		values = []string{""}
	}
	for _, path := range g.Scenarios {
		for _, v := range values {
			set := ""
			if g.Vary != "" {
				set = g.Vary + "=" + v
			}
			if _, err := Load(path, Sets(set)...); err != nil {
				return nil, err // before hours are spent on the others
			}
			for _, seed := range g.Seeds {
				for _, p := range g.Policies {
					jobs = append(jobs, job{path, seed, set, p})
				}
			}
		}
	}
	out, errs := make([]*Result, len(jobs)), make([]error, len(jobs))
	workers := g.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	var bar *mpb.Bar
	var bars *mpb.Progress
	if g.Progress != nil {
		bars = mpb.New(mpb.WithOutput(g.Progress), mpb.WithWidth(50))
		bar = bars.AddBar(int64(len(jobs)), mpb.PrependDecorators(decor.CountersNoUnit("%d of %d days ")),
			mpb.AppendDecorators(decor.AverageETA(decor.ET_STYLE_GO)))
	}
	next := make(chan int)
	var done sync.WaitGroup
	for range workers {
		done.Go(func() {
			for i := range next {
				out[i], errs[i] = jobs[i].play()
				if bar != nil {
					bar.Increment()
				}
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
	done.Wait()
	if bar != nil {
		bar.Abort(false) // ends the bar, also where not all days were played
		bars.Wait()
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return out, errors.Join(errs...)
}

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
	r.Verdict.Seconds = nil // a sweep has thousands of days
	return r, nil
}

// Sets reads path=value, "" being none. A value that is a whole number stays one.
func Sets(text string) []emulator.Set {
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
	return []emulator.Set{{Path: path, Value: v}}
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

// Table sums a sweep up.
func Table(all []*Result) []Row {
	type key struct{ scenario, set, policy string }
	at := map[key]int{}
	var rows []Row
	service := map[key][]float64{}
	for _, r := range all {
		k := key{r.Scenario, r.Set, r.Policy}
		i, known := at[k]
		if !known {
			i = len(rows)
			at[k] = i
			rows = append(rows, Row{Scenario: r.Scenario, Set: r.Set, Policy: r.Policy})
		}
		row := &rows[i]
		row.Days++
		service[k] = append(service[k], r.Verdict.Service)
		row.Worst10 += r.Verdict.Worst10
		row.Wasted += r.Wasted
		row.Crossed += r.Verdict.CrossZone
		row.add(&r.Verdict.Spread)
		for rule, n := range r.Verdict.ViolationCounts {
			if n > 0 {
				row.Broken[rule]++
			}
		}
	}
	for i := range rows {
		row := &rows[i]
		row.Service, row.Half = Interval(service[key{row.Scenario, row.Set, row.Policy}])
		n := float64(row.Days)
		row.Worst10, row.Wasted, row.Crossed = row.Worst10/n, row.Wasted/n, row.Crossed/n
		for i := range row.Scatter {
			row.Scatter[i], row.Forced[i] = row.Scatter[i]/n, row.Forced[i]/n
		}
		row.Busiest, row.IdleSeconds = row.Busiest/n, row.IdleSeconds/n
	}
	return rows
}

// add takes a day's figures in: sums of those that are means, the most of the others.
func (r *Row) add(e *judge.Spread) {
	for i := range e.Scatter {
		r.Scatter[i] += e.Scatter[i]
		r.Forced[i] += e.Forced[i]
	}
	r.Busiest, r.IdleSeconds = r.Busiest+e.Busiest, r.IdleSeconds+e.IdleSeconds
	r.BusiestMax, r.Herd = max(r.BusiestMax, e.BusiestMax), max(r.Herd, e.Herd)
}

// Interval is the mean of some figures and half the width of its 95% interval, by Student's distribution.
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

// Comparison is one scenario of two sweeps, paired by seed.
type Comparison struct {
	Scenario string  `json:"scenario"`
	Set      string  `json:"set,omitempty"`
	Pairs    int     `json:"pairs"`
	A        float64 `json:"a"`
	B        float64 `json:"b"`
	Gain     float64 `json:"gain"`   // of B over A
	Half     float64 `json:"half"`   // of its 95% interval
	Breaks   int     `json:"breaks"` // days on which B broke a rule and A did not
}

// Compare pairs the days of two sweeps by scenario, figure and seed. A sweep of several policies is narrowed by name.
func Compare(a, b []*Result) ([]Comparison, error) {
	type key struct {
		scenario, set string
		seed          uint64
	}
	first := map[key]*Result{}
	for _, r := range a {
		k := key{r.Scenario, r.Set, r.Seed}
		if _, twice := first[k]; twice {
			return nil, fmt.Errorf("%s, seed %d is there twice: name one policy", r.Scenario, r.Seed)
		}
		first[k] = r
	}
	gains := map[[2]string][]float64{}
	out := map[[2]string]*Comparison{}
	seen := map[key]bool{}
	for _, r := range b {
		k := key{r.Scenario, r.Set, r.Seed}
		if seen[k] {
			return nil, fmt.Errorf("%s, seed %d is there twice: name one policy", r.Scenario, r.Seed)
		}
		seen[k] = true
		with, paired := first[k]
		if !paired {
			continue
		}
		name := [2]string{r.Scenario, r.Set}
		c := out[name]
		if c == nil {
			c = &Comparison{Scenario: r.Scenario, Set: r.Set}
			out[name] = c
		}
		c.Pairs++
		c.A += with.Verdict.Service
		c.B += r.Verdict.Service
		gains[name] = append(gains[name], r.Verdict.Service-with.Verdict.Service)
		if !r.Verdict.RulesKept() && with.Verdict.RulesKept() {
			c.Breaks++
		}
	}
	if len(out) == 0 {
		return nil, errors.New("the two have no day in common")
	}
	var all []Comparison
	for name, c := range out {
		c.A, c.B = c.A/float64(c.Pairs), c.B/float64(c.Pairs)
		c.Gain, c.Half = Interval(gains[name])
		all = append(all, *c)
	}
	slices.SortFunc(all, func(x, y Comparison) int {
		return cmp.Or(cmp.Compare(x.Scenario, y.Scenario), cmp.Compare(x.Set, y.Set))
	})
	return all, nil
}

// ReadResults reads what run or sweep have written into a folder, or one such file.
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
