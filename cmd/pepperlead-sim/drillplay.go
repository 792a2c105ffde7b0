package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"pepperlead/internal/faulttest"
)

func drillPlayCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "play FILE...",
		Args:  cobra.MinimumNArgs(1),
		Short: "Play scripts of faults against a cluster whose rule set changes",
		Long: "Start the sidecars, coordinators, endpoints and clients of a script (drills/*.toml), perform its " +
			"actions, heal all faults, and\n" +
			"have the judge check what processes, endpoints and clients recorded. Exit code 1 if a rule was broken, " +
			"if two processes acted on\n" +
			"contradicting rule sets for longer than the script's agree_within, or if something failed; the commands " +
			"that repeat the failed\n" +
			"runs are then printed.",
		Example: "  pepperlead-sim drill play drills/naps.toml --seeds 20 --report out",
	}
	var p drillPlayer
	c.Flags().Uint64Var(&p.firstSeed, "seed", 1, "random seed of the first run")
	c.Flags().Uint64Var(&p.seeds, "seeds", 1, "runs of each script, with consecutive seeds")
	count := c.Flags().Int("count", 0, "number of sidecars (default: as in the script)")
	rate := c.Flags().Float64("rate", 0, "requests per second at each sidecar (default: as in the script)")
	c.Flags().StringVar(&p.daemon, "daemon", "bin/pepperlead", "the daemon's `program`")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print each result as a line of JSON")
	c.Flags().StringVar(&p.reports, "report", "", "`folder` for an HTML report of each run")
	c.Flags().StringVar(&p.failedRuns, "keep", "", "`folder` in which configurations and logs of failed runs are kept")
	c.RunE = func(c *cobra.Command, files []string) error {
		ctx, stop := interruptContext()
		defer stop()
		scripts, err := readScripts(files, *count, *rate)
		if err != nil {
			return err
		}
		p.out = c.OutOrStdout()
		p.errors = c.ErrOrStderr()
		return p.playAll(ctx, files, scripts)
	}
	return c
}

// readScripts reads the scripts in files. A count of instances or a rate above 0 replaces that of the scripts.
func readScripts(files []string, count int, rate float64) ([]*faulttest.Script, error) {
	var scripts []*faulttest.Script
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		script, err := faulttest.ReadScript(file, text)
		if err != nil {
			return nil, err
		}
		if count > 0 {
			script.Instances = count
		}
		if rate > 0 {
			script.Rate = rate
		}
		scripts = append(scripts, script)
	}
	return scripts, nil
}

// drillPlayer plays scripts one after another.
type drillPlayer struct {
	firstSeed  uint64
	seeds      uint64
	daemon     string
	asJSON     bool
	reports    string // directory; "": no reports
	failedRuns string // directory for the files of failed runs; "": they are removed
	out        io.Writer
	errors     io.Writer
}

// playAll plays each script with each seed. The error names the commands that repeat the failed runs.
func (p *drillPlayer) playAll(ctx context.Context, files []string, scripts []*faulttest.Script) error {
	const barWidth = 40
	bars := mpb.NewWithContext(ctx, mpb.WithOutput(os.Stderr), mpb.WithWidth(barWidth))
	runs := int64(len(files)) * int64(p.seeds)
	bar := bars.AddBar(runs, mpb.PrependDecorators(decor.Name("runs "), decor.CountersNoUnit("%d of %d")))
	var failed []string
	for i, script := range scripts {
		for seed := p.firstSeed; seed < p.firstSeed+p.seeds && ctx.Err() == nil; seed++ {
			good, err := p.playOne(ctx, files[i], script, seed, bar.Increment)
			if err != nil {
				return err
			}
			if !good {
				failed = append(failed, playCommandLine(files[i], seed))
			}
		}
	}
	bars.Wait()
	if len(failed) > 0 {
		return fmt.Errorf(
			"%d of %d runs failed; to repeat them:\n%s",
			len(failed),
			runs,
			strings.Join(failed, "\n"),
		)
	}
	return ctx.Err()
}

// playCommandLine returns the command that repeats a run.
func playCommandLine(file string, seed uint64) string {
	return fmt.Sprintf("pepperlead-sim drill play %s --seed %d", file, seed)
}

// playOne plays a script once and prints the result. It returns an error only if printing or writing the report fails:
// a script that could not be played is reported on the error output and counts as a failed run.
func (p *drillPlayer) playOne(ctx context.Context, file string, script *faulttest.Script, seed uint64,
	finished func()) (good bool, err error) {
	result, err := p.play(ctx, script, seed)
	finished()
	if err != nil {
		printf(p.errors, "%s: %v\n", playCommandLine(file, seed), err)
		return false, nil
	}
	result.Drill = strings.TrimSuffix(filepath.Base(file), ".toml")
	if p.asJSON {
		if err := printJSON(p.out, result); err != nil {
			return false, err
		}
	} else {
		printPlay(p.out, script, result)
	}
	if p.reports != "" {
		if err := faulttest.Report(p.reports, script, result); err != nil {
			return false, err
		}
	}
	return result.Passed(script), nil
}

// play plays a script in a new directory, which is removed unless the run failed and failed runs are kept.
func (p *drillPlayer) play(ctx context.Context, script *faulttest.Script, seed uint64) (*faulttest.Result, error) {
	directory, err := os.MkdirTemp(p.failedRuns, "drill")
	if err != nil {
		return nil, err
	}
	result, err := faulttest.Play(ctx, p.daemon, directory, script, seed)
	if p.failedRuns == "" || err == nil && result.Passed(script) {
		removeAll(directory)
	}
	return result, err
}

func printPlay(out io.Writer, script *faulttest.Script, r *faulttest.Result) {
	verdict := "good"
	if !r.Passed(script) {
		verdict = "FAILED"
	}
	v := r.Verdict
	printf(out, "%s, seed %d: %s; longest contradiction %v (allowed %v), %d rule violations, %d attempts (%d "+
		"without a lease), %d repeated effects\n",
		r.Drill, r.Seed, verdict, v.Contradiction, script.AgreeWithin, v.Broken, v.Attempts, v.Unleased, v.Repeats)
	printf(out, "  clients: %d requests, %d succeeded, %d rejected, %d failed, %d lost with their sidecar; "+
		"%d of %d requests without a lease succeeded\n",
		v.ClientRequests, v.Succeeded, v.Rejected, v.Failed, v.Lost, v.UnleasedRequests[1], v.UnleasedRequests[0])
	for _, a := range r.Applied {
		printApplied(out, a)
	}
	printf(out, "  all had the same lease %.1f s after the faults were healed; in total, sidecars had no lease for "+
		"%.1f s and counted another one as left or dead %.0f times; "+
		"one sidecar: %.1f packets and %.0f bytes per second, %.4f of a core\n",
		r.Converged, r.Unleased, r.Departures, r.Packets, r.Bytes, r.CPU)
	printf(out, "  the fault proxy itself added %.1f ms (99th percentile); clock readings were up to %.0f ms late; "+
		"%.0f%% of the machine was in use\n",
		r.ProxyOverhead*1000, r.ClockLateness*1000, r.Busy*100)
	if r.Tables > 0 {
		printf(out, "  the sidecars had %d different slot tables at the end\n", r.Tables)
	}
	if v.Between != "" {
		printf(out, "  %s\n", v.Between)
	}
	for _, fault := range append(r.Failed, v.Faults...) {
		printf(out, "  %s\n", fault)
	}
	if r.Void {
		printf(out, "  this result is void: the machine stalled for longer than a lease\n")
	}
}

func printApplied(out io.Writer, a faulttest.RuleChange) {
	if a.Failed != "" {
		printf(out, "  %s at %.1f s: failed after %.1f s: %s\n", a.Version, a.At, a.Agreed, a.Failed)
		return
	}
	printf(out, "  %s at %.1f s: revision %d, used by sidecars within %.2f s (50%%), %.2f s (99%%), %.2f s (all), "+
		"without the previous revision within %.2f s\n", a.Version, a.At, a.Number, a.P50, a.P99, a.Max, a.Alone)
}
