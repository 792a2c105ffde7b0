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

// Grid describes the runs of a sweep: one for each combination of scenario, value of a setting, seed and policy.
type Grid struct {
	Scenarios []string // paths
	Seeds     []uint64
	Vary      string   // path of the setting that varies, may be ScalePath; "": none
	Values    []string // values of the setting that varies
	Policies  []string
	Workers   int       // 0: GOMAXPROCS
	Progress  io.Writer // nil: no progress bar
}

// job is one run of a grid.
type job struct {
	path     string
	seed     uint64
	override string // path=value; "": none
	policy   string
}

// Sweep plays all runs of a grid, several at once. The results are in the grid's order, whichever run ends first.
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

// jobs lists the runs of the grid. A scenario that cannot be loaded is an error before any run starts.
func (g *Grid) jobs() ([]job, error) {
	overrides := []string{""}
	if g.Vary != "" {
		overrides = nil
		for _, value := range g.Values {
			overrides = append(overrides, g.Vary+"="+value)
		}
	}
	var jobs []job
	for _, path := range g.Scenarios {
		for _, override := range overrides {
			if _, err := Load(path, ParseOverride(override)...); err != nil {
				return nil, err
			}
			for _, seed := range g.Seeds {
				for _, policyName := range g.Policies {
					jobs = append(jobs, job{path, seed, override, policyName})
				}
			}
		}
	}
	return jobs, nil
}

// progress shows a bar of how many runs have ended; the zero value shows nothing.
type progress struct {
	bars *mpb.Progress
	bar  *mpb.Bar
}

func newProgress(out io.Writer, runs int) progress {
	if out == nil {
		return progress{}
	}
	const width = 50
	bars := mpb.New(mpb.WithOutput(out), mpb.WithWidth(width))
	bar := bars.AddBar(int64(runs), mpb.PrependDecorators(decor.CountersNoUnit("%d of %d runs ")),
		mpb.AppendDecorators(decor.AverageETA(decor.ET_STYLE_GO)))
	return progress{bars: bars, bar: bar}
}

func (p progress) increment() {
	if p.bar != nil {
		p.bar.Increment()
	}
}

// end ends the bar, even if not all runs have ended.
func (p progress) end() {
	if p.bar != nil {
		p.bar.Abort(false)
		p.bars.Wait()
	}
}

// play plays the run. It drops the verdict's values by second, to save space: a sweep may have thousands of runs.
func (j job) play() (*Result, error) {
	scenario, err := Load(j.path, ParseOverride(j.override)...)
	if err != nil {
		return nil, err
	}
	r, _, err := Play(scenario, j.seed, j.policy, false)
	if err != nil {
		return nil, err
	}
	r.Set = j.override
	r.Verdict.Seconds = nil
	return r, nil
}

// ParseOverride parses an override of the form path=value. The result has one element, or none if text has no equals
// sign. The value becomes an integer, a float or a boolean if it can be parsed as one, else a string.
func ParseOverride(text string) []emulator.Override {
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

// ParseValues parses values, which are a list such as 1,2,4 or a range from:to:step.
func ParseValues(text string) ([]string, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return strings.Split(text, ","), nil
	}
	var bounds [3]float64 // from, to, step
	for i, part := range parts {
		var err error
		if bounds[i], err = strconv.ParseFloat(part, 64); err != nil {
			return nil, fmt.Errorf("range: found %q, allowed from:to:step or a comma-separated list", text)
		}
	}
	if bounds[2] <= 0 || bounds[1] < bounds[0] || (bounds[1]-bounds[0])/bounds[2] > 1000 {
		return nil, fmt.Errorf("range: found %q, allowed from <= to with a positive step and at most 1000 steps", text)
	}
	var all []string
	for i := 0; ; i++ {
		v := bounds[0] + float64(i)*bounds[2]
		if v > bounds[1]+bounds[2]*1e-9 {
			return all, nil
		}
		all = append(all, strconv.FormatFloat(math.Round(v*1e9)/1e9, 'g', -1, 64))
	}
}

// WriteSweep writes the results of a sweep into a directory as sweep.json.
func WriteSweep(dir string, all []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "sweep.json"), all)
}

// Row is a row of a sweep's table: the runs of one scenario, setting and policy. Values are means over the runs, except
// for the maxima and counts.
type Row struct {
	Scenario  string  `json:"scenario"`
	Set       string  `json:"set,omitempty"`
	Policy    string  `json:"policy"`
	Runs      int     `json:"days"`
	Service   float64 `json:"service"`
	HalfWidth float64 `json:"half"` // half the width of the service's 95% interval
	Worst10   float64 `json:"worst_10s"`
	Wasted    float64 `json:"wasted"`
	CrossZone float64 `json:"crossed"`
	judge.Spread
	ViolatingRuns [4]int `json:"broken"` // runs in which each rule was broken
}

// Table summarizes a sweep by scenario, setting and policy.
func Table(all []*Result) []Row {
	type key struct{ scenario, override, policy string }
	indexes := map[key]int{}
	var rows []Row
	var services [][]float64 // of the runs of each row
	for _, r := range all {
		k := key{r.Scenario, r.Set, r.Policy}
		i, known := indexes[k]
		if !known {
			i = len(rows)
			indexes[k] = i
			rows = append(rows, Row{Scenario: r.Scenario, Set: r.Set, Policy: r.Policy})
			services = append(services, nil)
		}
		rows[i].addResult(r)
		services[i] = append(services[i], r.Verdict.Service)
	}
	for i := range rows {
		rows[i].Service, rows[i].HalfWidth = ConfidenceInterval(services[i])
		rows[i].divide(float64(rows[i].Runs))
	}
	return rows
}

// addResult adds a run to the sums and counts. The method divide turns the sums into means.
func (r *Row) addResult(result *Result) {
	r.Runs++
	r.Worst10 += result.Verdict.Worst10
	r.Wasted += result.Wasted
	r.CrossZone += result.Verdict.CrossZone
	r.addSpread(&result.Verdict.Spread)
	for rule, count := range result.Verdict.ViolationCounts {
		if count > 0 {
			r.ViolatingRuns[rule]++
		}
	}
}

// divide divides the sums by the number of runs.
func (r *Row) divide(runs float64) {
	r.Worst10 /= runs
	r.Wasted /= runs
	r.CrossZone /= runs
	for i := range r.Scatter {
		r.Scatter[i] /= runs
		r.KeyScatter[i] /= runs
	}
	r.Busiest /= runs
	r.IdleSeconds /= runs
}

// addSpread adds the spread of a run: it sums the values whose mean is shown, and keeps the maximum of the others.
func (r *Row) addSpread(spread *judge.Spread) {
	for i := range spread.Scatter {
		r.Scatter[i] += spread.Scatter[i]
		r.KeyScatter[i] += spread.KeyScatter[i]
	}
	r.Busiest += spread.Busiest
	r.IdleSeconds += spread.IdleSeconds
	r.BusiestMax = max(r.BusiestMax, spread.BusiestMax)
	r.Herd = max(r.Herd, spread.Herd)
}

// ConfidenceInterval returns the mean of values and half the width of its 95% confidence interval, by Student's
// t-distribution.
func ConfidenceInterval(values []float64) (mean, halfWidth float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	if n < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return mean, t * math.Sqrt(sum/(n-1)/n)
}

// ReadResults reads the results that the command run, replay or sweep wrote into a directory; path may also be the file
// itself.
func ReadResults(path string) ([]*Result, error) {
	for _, name := range []string{filepath.Join(path, "sweep.json"), path} {
		var all []*Result
		if err := readJSON(name, &all); err == nil {
			return all, nil
		}
	}
	var single Result
	if err := readJSON(filepath.Join(path, "result.json"), &single); err != nil {
		if err2 := readJSON(path, &single); err2 != nil {
			return nil, err
		}
	}
	return []*Result{&single}, nil
}

// FilterByPolicy keeps the results of one policy; "" keeps all.
func FilterByPolicy(all []*Result, policy string) []*Result {
	if policy == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(r *Result) bool { return r.Policy != policy })
}
