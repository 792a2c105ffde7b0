package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/baseline"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/experiment"
)

func runCommand() *cobra.Command {
	c := &cobra.Command{Use: "run SCENARIO", Args: cobra.ExactArgs(1), Short: "Play one day in virtual time",
		Long:    "Play one day in virtual time. The same scenario, seed and policy give the same result.json, to the byte.",
		Example: "  pepperlead-sim run scenarios/monday.toml --seed 7 --out /tmp/monday && pepperlead-sim report /tmp/monday"}
	seed := c.Flags().Uint64("seed", 1, "names the day")
	out := c.Flags().String("out", "", "`folder` for result.json and series.json (default: nothing is written)")
	name := c.Flags().String("policy", "module", strings.Join(baseline.Names, ", "))
	set := c.Flags().StringArray("set", nil, "a figure that stands in place of the scenario's, as `load.part=0.8`; may be given again")
	asJSON := c.Flags().Bool("json", false, "print the result as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		var sets []emulator.Set
		for _, one := range *set {
			sets = append(sets, experiment.Sets(one)...)
		}
		sc, err := experiment.Load(args[0], sets...)
		if err != nil {
			return err
		}
		at := time.Now()
		r, series, err := experiment.Play(sc, *seed, *name, true)
		if err != nil {
			return err
		}
		r.Set = strings.Join(*set, " ")
		took := time.Since(at)
		if *out != "" {
			if err := experiment.Write(*out, r, series); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), r)
		}
		v := r.Verdict
		fmt.Fprintf(c.OutOrStdout(), "%s, seed %d, %s: service %.3f, worst 10 s %.3f, wasted %.3f, crossings %.3f\n"+
			"%d requests, %d tickets, %d pushes: %d honoured (%d late), %d turned back, %d given up\n", r.Scenario, r.Seed, r.Policy,
			v.Service, v.Worst10, r.Wasted, v.CrossZone, v.ClientRequests, v.Requests, v.Attempts, v.Succeeded, v.Late, v.Rejected, v.Failed)
		printEven(c.OutOrStdout(), &v.Spread)
		for _, b := range v.Violations {
			fmt.Fprintln(c.OutOrStdout(), b)
		}
		fmt.Fprintf(c.OutOrStdout(), "%.1f times real time: %d events in %v, %.0f tickets a second\n", float64(sc.Length)/1e9/took.Seconds(),
			r.Events, took.Round(time.Millisecond), float64(v.Requests)/took.Seconds())
		if !v.RulesKept() {
			return fmt.Errorf("rules were broken: %v", v.ViolationCounts)
		}
		return nil
	}
	return c
}

func sweepCommand() *cobra.Command {
	c := &cobra.Command{Use: "sweep SCENARIO...", Args: cobra.MinimumNArgs(1), Short: "Play many days: seeds, values of a figure, policies",
		Example: "  pepperlead-sim sweep scenarios/*.toml --seeds 20 --policies module,two,seeing --out /tmp/all\n" +
			"  pepperlead-sim sweep scenarios/burst.toml --vary load.part=0.5:1.5:0.1 --seeds 5 --out /tmp/load\n" +
			"  pepperlead-sim sweep scenarios/slow.toml --vary scale=4x8,300x100 --seeds 5     # sidecars x servers, load and keys in proportion"}
	seeds := c.Flags().Uint64("seeds", 5, "how many seeds, from --first on")
	first := c.Flags().Uint64("first", 1, "the first seed")
	vary := c.Flags().String("vary", "", "a figure and its `values`, as load.part=0.5,0.8 or load.part=0.5:1.5:0.1")
	policies := c.Flags().StringSlice("policies", []string{"module"}, strings.Join(baseline.Names, ", "))
	workers := c.Flags().Int("workers", 0, "days played at once (default: as many as there are cores)")
	out := c.Flags().String("out", "", "`folder` for sweep.json")
	asJSON := c.Flags().Bool("json", false, "print the table as JSON")
	quiet := c.Flags().Bool("quiet", false, "without a progress bar")
	plot := c.Flags().String("plot", "", "`file` for a picture of the table, SVG")
	c.RunE = func(c *cobra.Command, args []string) error {
		ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer end()
		g := experiment.Grid{Scenarios: args, Policies: *policies, Workers: *workers}
		for _, p := range *policies {
			if _, err := baseline.Maker(p); err != nil {
				return err
			}
		}
		for i := range *seeds {
			g.Seeds = append(g.Seeds, *first+i)
		}
		if path, values, ok := strings.Cut(*vary, "="); ok {
			var err error
			if g.Vary = path; err == nil {
				g.Values, err = experiment.Range(values)
			}
			if err != nil {
				return err
			}
		} else if *vary != "" {
			return fmt.Errorf("--vary: found %q, allowed path=values", *vary)
		}
		if !*quiet && !*asJSON {
			g.Progress = os.Stderr
		}
		all, err := experiment.Sweep(ctx, g)
		if err != nil {
			return err
		}
		if *out != "" {
			if err := experiment.WriteSweep(*out, all); err != nil {
				return err
			}
		}
		rows := experiment.Table(all)
		if *plot != "" {
			if err := experiment.PlotRows(*plot, rows); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), rows)
		}
		printTable(c.OutOrStdout(), rows)
		return nil
	}
	return c
}

func printTable(out io.Writer, rows []experiment.Row) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tset\tpolicy\tdays\tservice\t±\tworst 10 s\twasted\tcrossed\tscatter 1 s, 5 s\tforced\tbusiest\tmost\tidle s\therd\tdays that broke rules 1 2 3 4")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f, %.2f\t%.2f, %.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%v\n", r.Scenario, r.Set, r.Policy, r.Days,
			r.Service, r.Half, r.Worst10, r.Wasted, r.Crossed, r.Scatter[0], r.Scatter[1], r.Forced[0], r.Forced[1], r.Busiest, r.BusiestMax, r.IdleSeconds, r.Herd, r.Broken)
	}
	w.Flush()
}

func printEven(out io.Writer, e *judge.Spread) {
	fmt.Fprintf(out, "pushes scatter over servers %.2f times as chance in 1 s, %.2f in 5 s (keys alone would force %.2f, %.2f); busiest server %.2f times its share in "+
		"5 s, %.1f at the most;\n%.1f server seconds idle while others queued; herd of %.1f in 50 ms\n", e.Scatter[0], e.Scatter[1], e.Forced[0], e.Forced[1],
		e.Busiest, e.BusiestMax, e.IdleSeconds, e.Herd)
}

func compareCommand() *cobra.Command {
	c := &cobra.Command{Use: "compare A B", Args: cobra.ExactArgs(2), Short: "Compare two sweeps, or two days, paired by seed",
		Long: `Compare what run or sweep wrote into two folders, paired by scenario, figure and seed, with the 95% interval of the gain.
Exit code 1 if a scenario loses more than is allowed, or if B breaks a rule where A did not.`,
		Example: "  pepperlead-sim compare /tmp/before /tmp/after --allow 0.01"}
	allow := c.Flags().Float64("allow", 0.01, "the loss of service that is let pass")
	a := c.Flags().String("policy-a", "", "the policy of A, where it has several")
	b := c.Flags().String("policy-b", "", "the policy of B, where it has several")
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		first, err := experiment.ReadResults(args[0])
		if err != nil {
			return err
		}
		second, err := experiment.ReadResults(args[1])
		if err != nil {
			return err
		}
		all, err := experiment.Compare(experiment.Only(first, *a), experiment.Only(second, *b))
		if err != nil {
			return err
		}
		if *asJSON {
			if err := printJSON(c.OutOrStdout(), all); err != nil {
				return err
			}
		} else {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "scenario\tset\tpairs\tA\tB\tgain\t±\tnew breaks")
			for _, x := range all {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%+.4f\t%.4f\t%d\n", x.Scenario, x.Set, x.Pairs, x.A, x.B, x.Gain, x.Half, x.Breaks)
			}
			w.Flush()
		}
		for _, x := range all {
			if x.Gain < -*allow || x.Breaks > 0 {
				return fmt.Errorf("%s: a gain of %+.4f, allowed %+.4f; %d days on which only B broke a rule", x.Scenario, x.Gain, -*allow,
					x.Breaks)
			}
		}
		return nil
	}
	return c
}

func reportCommand() *cobra.Command {
	c := &cobra.Command{Use: "report FOLDER", Args: cobra.ExactArgs(1), Short: "Write report.html about a day that run has played",
		Example: "  pepperlead-sim report /tmp/monday"}
	asJSON := c.Flags().Bool("json", false, "print the file's path as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		path, err := experiment.Report(args[0])
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), map[string]string{"report": path})
		}
		fmt.Fprintln(c.OutOrStdout(), path)
		return nil
	}
	return c
}
