package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"pepperlead/internal/faulttest"
)

func drillPlayCommand() *cobra.Command {
	c := &cobra.Command{Use: "play FILE...", Args: cobra.MinimumNArgs(1), Short: "Play drills of a cluster whose rules change while things break",
		Long: `Starts sidecars, keepers of versions, servers and clients as drills/*.toml say, does to them what is said there, heals all, and
has the judge look at what processes, servers and clients wrote down. Exit code 1 where a rule was broken, two acted on rules that
contradict each other for longer than agree_within, or something failed; the command that plays a failed one again is printed.`,
		Example: "  pepperlead-sim drill play drills/naps.toml --seeds 20 --report out"}
	seed := c.Flags().Uint64("seed", 1, "names the play; the first of them")
	seeds := c.Flags().Uint64("seeds", 1, "plays of each drill, one after the other")
	count := c.Flags().Int("count", 0, "sidecars (default as the drill says)")
	rate := c.Flags().Float64("rate", 0, "requests a second at each sidecar (default as the drill says)")
	daemon := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	asJSON := c.Flags().Bool("json", false, "print each result as a line of JSON")
	report := c.Flags().String("report", "", "`folder` for a page of HTML a play")
	keep := c.Flags().String("keep", "", "`folder` in which configurations and logs of failed plays stay")
	c.RunE = func(c *cobra.Command, files []string) error {
		ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer end()
		var scripts []*faulttest.Script
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			s, err := faulttest.ReadScript(file, text)
			if err != nil {
				return err
			}
			if *count > 0 {
				s.Instances = *count
			}
			if *rate > 0 {
				s.Rate = *rate
			}
			scripts = append(scripts, s)
		}
		bars := mpb.NewWithContext(ctx, mpb.WithOutput(os.Stderr), mpb.WithWidth(40))
		bar := bars.AddBar(int64(len(files))*int64(*seeds), mpb.PrependDecorators(decor.Name("plays "), decor.CountersNoUnit("%d of %d")))
		var failed []string
		for i, s := range scripts {
			for n := *seed; n < *seed+*seeds && ctx.Err() == nil; n++ {
				r, err := playOne(ctx, *daemon, *keep, s, n)
				bar.Increment()
				again := fmt.Sprintf("pepperlead-sim drill play %s --seed %d", files[i], n)
				if err != nil {
					failed = append(failed, again)
					fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", again, err)
					continue
				}
				r.Drill = strings.TrimSuffix(filepath.Base(files[i]), ".toml")
				if !r.Good(s) {
					failed = append(failed, again)
				}
				if *asJSON {
					err = printJSON(c.OutOrStdout(), r)
				} else {
					printPlay(c.OutOrStdout(), s, r)
				}
				if err == nil && *report != "" {
					err = faulttest.Report(*report, s, r)
				}
				if err != nil {
					return err
				}
			}
		}
		bars.Wait()
		if len(failed) > 0 {
			return fmt.Errorf("%d of %d plays have failed; to see one again:\n%s", len(failed), len(files)*int(*seeds), strings.Join(failed, "\n"))
		}
		return ctx.Err()
	}
	return c
}

// playOne plays in a folder of its own, which stays where a failed play is to be kept.
func playOne(ctx context.Context, daemon, keep string, s *faulttest.Script, seed uint64) (*faulttest.Result, error) {
	dir, err := os.MkdirTemp(keep, "drill")
	if err != nil {
		return nil, err
	}
	r, err := faulttest.Play(ctx, daemon, dir, s, seed)
	if keep == "" || err == nil && r.Good(s) {
		os.RemoveAll(dir)
	}
	return r, err
}

func printPlay(out io.Writer, s *faulttest.Script, r *faulttest.Result) {
	v, word := r.Verdict, "good"
	if !r.Good(s) {
		word = "FAILED"
	}
	fmt.Fprintf(out, "%s, seed %d: %s; contradiction %v (allowed %v), %d broken rules, %d pushes (%d without a lease), %d effects twice\n", r.Drill, r.Seed, word,
		v.Contradiction, s.AgreeWithin, v.Broken, v.Attempts, v.Unleased, v.Repeats)
	fmt.Fprintf(out, "  clients: %d asked, %d honoured, %d turned back, %d given up, %d lost with their sidecar; without a lease %d of %d honoured\n",
		v.ClientRequests, v.Succeeded, v.Rejected, v.Failed, v.Lost, v.UnleasedRequests[1], v.UnleasedRequests[0])
	for _, a := range r.Applied {
		if a.Failed != "" {
			fmt.Fprintf(out, "  %s at %.1f s: failed after %.1f s: %s\n", a.Version, a.At, a.Agreed, a.Failed)
			continue
		}
		fmt.Fprintf(out, "  %s at %.1f s: version %d, known to sidecars within %.2f s (half), %.2f s (99%%), %.2f s (all), alone within %.2f s\n", a.Version,
			a.At, a.Number, a.P50, a.P99, a.Max, a.Alone)
	}
	fmt.Fprintf(out, "  agreed %.1f s after all was healed; %.1f s without a lease and %.0f times held to be gone over all; one sidecar: %.1f packets and %.0f bytes a second, %.4f of a core\n",
		r.Converged, r.Unleased, r.FalseDeaths, r.Packets, r.Bytes, r.CPU)
	fmt.Fprintf(out, "  links took %.1f ms (99%%), the clock was looked at %.0f ms late at the worst; %.0f%% of the machine was in use\n", r.OwnDelay*1000, r.ClockLateness*1000, r.Busy*100)
	if r.Tables > 0 {
		fmt.Fprintf(out, "  %d slot tables at the end\n", r.Tables)
	}
	if v.Between != "" {
		fmt.Fprintln(out, "  "+v.Between)
	}
	for _, f := range append(r.Failed, v.Faults...) {
		fmt.Fprintln(out, "  "+f)
	}
	if r.Void {
		fmt.Fprintln(out, "  void: the machine stood still for longer than a lease")
	}
}
