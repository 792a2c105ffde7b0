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
		Short: "Play drills of a cluster whose rules change while things break",
		Long: "Starts sidecars, keepers of versions, servers and clients as drills/*.toml say, does to them " +
			"what is said there, heals all, and\n" +
			"has the judge look at what processes, servers and clients wrote down. Exit code 1 where a rule " +
			"was broken, two acted on rules that\n" +
			"contradict each other for longer than agree_within, or something failed; the command that " +
			"plays a failed one again is printed.",
		Example: "  pepperlead-sim drill play drills/naps.toml --seeds 20 --report out",
	}
	var p drillPlayer
	c.Flags().Uint64Var(&p.firstSeed, "seed", 1, "names the play; the first of them")
	c.Flags().Uint64Var(&p.seeds, "seeds", 1, "plays of each drill, one after the other")
	count := c.Flags().Int("count", 0, "sidecars (default as the drill says)")
	rate := c.Flags().Float64("rate", 0, "requests a second at each sidecar (default as the drill says)")
	c.Flags().StringVar(&p.daemon, "daemon", "bin/pepperlead", "the daemon's `program`")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print each result as a line of JSON")
	c.Flags().StringVar(&p.reports, "report", "", "`folder` for a page of HTML a play")
	c.Flags().StringVar(&p.failedPlays, "keep", "", "`folder` in which configurations and logs of failed plays stay")
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

// readScripts reads drills, with a count of instances and a rate in place of their own where they are over 0.
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

// drillPlayer plays drills one after another.
type drillPlayer struct {
	firstSeed   uint64
	seeds       uint64
	daemon      string
	asJSON      bool
	reports     string // directory; "": none are written
	failedPlays string // directory; "": nothing is kept
	out         io.Writer
	errors      io.Writer
}

func (p *drillPlayer) playAll(ctx context.Context, files []string, scripts []*faulttest.Script) error {
	const barWidth = 40
	bars := mpb.NewWithContext(ctx, mpb.WithOutput(os.Stderr), mpb.WithWidth(barWidth))
	plays := int64(len(files)) * int64(p.seeds)
	bar := bars.AddBar(plays, mpb.PrependDecorators(decor.Name("plays "), decor.CountersNoUnit("%d of %d")))
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
			"%d of %d plays have failed; to see one again:\n%s",
			len(failed),
			plays,
			strings.Join(failed, "\n"),
		)
	}
	return ctx.Err()
}

// playCommandLine is the command that plays a drill again.
func playCommandLine(file string, seed uint64) string {
	return fmt.Sprintf("pepperlead-sim drill play %s --seed %d", file, seed)
}

// playOne plays a drill and prints its result. The error is one of printing or of the report: a play that could not
// be made is not good.
func (p *drillPlayer) playOne(ctx context.Context, file string, script *faulttest.Script, seed uint64,
	played func()) (good bool, err error) {
	result, err := p.play(ctx, script, seed)
	played()
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

// play plays in a directory of its own, which stays if the play fails and is to be kept.
func (p *drillPlayer) play(ctx context.Context, script *faulttest.Script, seed uint64) (*faulttest.Result, error) {
	directory, err := os.MkdirTemp(p.failedPlays, "drill")
	if err != nil {
		return nil, err
	}
	result, err := faulttest.Play(ctx, p.daemon, directory, script, seed)
	if p.failedPlays == "" || err == nil && result.Passed(script) {
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
	printf(out, "%s, seed %d: %s; contradiction %v (allowed %v), %d broken rules, %d pushes (%d without a "+
		"lease), %d effects twice\n",
		r.Drill, r.Seed, verdict, v.Contradiction, script.AgreeWithin, v.Broken, v.Attempts, v.Unleased, v.Repeats)
	printf(out, "  clients: %d asked, %d honoured, %d turned back, %d given up, %d lost with their sidecar; "+
		"without a lease %d of %d honoured\n",
		v.ClientRequests, v.Succeeded, v.Rejected, v.Failed, v.Lost, v.UnleasedRequests[1], v.UnleasedRequests[0])
	for _, a := range r.Applied {
		printApplied(out, a)
	}
	printf(out, "  agreed %.1f s after all was healed; %.1f s without a lease and %.0f times held to be gone "+
		"over all; "+
		"one sidecar: %.1f packets and %.0f bytes a second, %.4f of a core\n",
		r.Converged, r.Unleased, r.FalseDeaths, r.Packets, r.Bytes, r.CPU)
	printf(out, "  links took %.1f ms (99%%), the clock was looked at %.0f ms late at the worst; %.0f%% of the "+
		"machine was in use\n",
		r.ProxyOverhead*1000, r.ClockLateness*1000, r.Busy*100)
	if r.Tables > 0 {
		printf(out, "  %d slot tables at the end\n", r.Tables)
	}
	if v.Between != "" {
		printf(out, "  %s\n", v.Between)
	}
	for _, fault := range append(r.Failed, v.Faults...) {
		printf(out, "  %s\n", fault)
	}
	if r.Void {
		printf(out, "  void: the machine stood still for longer than a lease\n")
	}
}

func printApplied(out io.Writer, a faulttest.RuleChange) {
	if a.Failed != "" {
		printf(out, "  %s at %.1f s: failed after %.1f s: %s\n", a.Version, a.At, a.Agreed, a.Failed)
		return
	}
	printf(out, "  %s at %.1f s: version %d, known to sidecars within %.2f s (half), %.2f s (99%%), %.2f s (all), "+
		"alone within %.2f s\n", a.Version, a.At, a.Number, a.P50, a.P99, a.Max, a.Alone)
}
