package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pepperlead/internal/emulator/baseline"
	"pepperlead/internal/experiment"
)

// sweepOptions are the flags of the command sweep.
type sweepOptions struct {
	seeds      uint64
	firstSeed  uint64
	variation  string
	policies   []string
	workers    int
	directory  string
	asJSON     bool
	noProgress bool
	plotPath   string
}

func sweepCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "sweep SCENARIO...",
		Args:  cobra.MinimumNArgs(1),
		Short: "Run scenarios for each combination of seeds, policies and values of a setting",
		Long: "Run scenarios for each combination of seeds, policies and values of a setting, and print a row " +
			"for each scenario, value and policy.\n" +
			"Columns are means over the seeds, except for maximum and herd, which are maxima, and the last one, " +
			"which counts runs:\n" +
			"  service           earned part of the requests' value; ± is half its 95% interval\n" +
			"  worst 10 s        service in the worst window of 10 s\n" +
			"  wasted            share of the endpoints' work that was done for abandoned attempts\n" +
			"  cross-zone        share of the attempts that went to another zone\n" +
			"  scatter           scatter of attempts per endpoint in 1 s and 5 s, relative to a random distribution\n" +
			"  forced            what the scatter would be if each key had one random endpoint\n" +
			"  busiest, maximum  attempts at the busiest endpoint / its share in 5 s, mean and maximum\n" +
			"  idle s            seconds that endpoints were idle while others had queues, summed\n" +
			"  herd              attempts at an endpoint beyond its share within 50 ms",
		Example: "  pepperlead-sim sweep scenarios/*.toml --seeds 20 --policies module,two,seeing --out /tmp/all\n" +
			"  pepperlead-sim sweep scenarios/burst.toml --vary load.part=0.5:1.5:0.1 --seeds 5 --out /tmp/load\n" +
			"  pepperlead-sim sweep scenarios/slow.toml --vary scale=4x8,300x100 --seeds 5     " +
			"# sidecars x endpoints, load and keys in proportion",
	}
	var o sweepOptions
	c.Flags().Uint64Var(&o.seeds, "seeds", 5, "number of seeds, starting with --first")
	c.Flags().Uint64Var(&o.firstSeed, "first", 1, "the first seed")
	c.Flags().StringVar(&o.variation, "vary", "",
		"a setting and its `values`, such as load.part=0.5,0.8, or load.part=0.5:1.5:0.1 for from:to:step")
	c.Flags().StringSliceVar(&o.policies, "policies", []string{"module"}, policyHelp)
	c.Flags().IntVar(&o.workers, "workers", 0, "number of concurrent runs (default: as many as there are cores)")
	c.Flags().StringVar(&o.directory, "out", "", "`folder` for sweep.json (default: nothing is written)")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the table as JSON")
	c.Flags().BoolVar(&o.noProgress, "quiet", false, "show no progress bar")
	c.Flags().StringVar(&o.plotPath, "plot", "", "`file` for a plot of the table, as SVG")
	c.RunE = func(c *cobra.Command, args []string) error { return o.run(c.OutOrStdout(), args) }
	return c
}

// run plays the grid, and writes and prints the results as the flags say.
func (o *sweepOptions) run(out io.Writer, scenarios []string) error {
	ctx, stop := interruptContext()
	defer stop()
	grid, err := o.grid(scenarios)
	if err != nil {
		return err
	}
	results, err := experiment.Sweep(ctx, grid)
	if err != nil {
		return err
	}
	if o.directory != "" {
		if err := experiment.WriteSweep(o.directory, results); err != nil {
			return err
		}
	}
	rows := experiment.Table(results)
	if o.plotPath != "" {
		if err := experiment.PlotRows(o.plotPath, rows); err != nil {
			return err
		}
	}
	if o.asJSON {
		return printJSON(out, rows)
	}
	return printTable(out, rows)
}

// grid returns the grid that the flags describe.
func (o *sweepOptions) grid(scenarios []string) (experiment.Grid, error) {
	grid := experiment.Grid{Scenarios: scenarios, Policies: o.policies, Workers: o.workers}
	for i := range o.seeds {
		grid.Seeds = append(grid.Seeds, o.firstSeed+i)
	}
	if err := checkPolicies(o.policies); err != nil {
		return grid, err
	}
	if !o.noProgress && !o.asJSON {
		grid.Progress = os.Stderr
	}
	return grid, setVariation(&grid, o.variation)
}

func checkPolicies(names []string) error {
	for _, name := range names {
		if _, err := baseline.Factory(name); err != nil {
			return err
		}
	}
	return nil
}

// setVariation sets the setting that a grid varies, and its values, from path=values; "" changes nothing.
func setVariation(grid *experiment.Grid, variation string) (err error) {
	if variation == "" {
		return nil
	}
	path, values, found := strings.Cut(variation, "=")
	if !found {
		return fmt.Errorf("--vary: found %q, allowed path=values", variation)
	}
	grid.Vary = path
	grid.Values, err = experiment.ParseValues(values)
	return err
}

func printTable(out io.Writer, rows []experiment.Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printf(w, "scenario\tset\tpolicy\truns\tservice\t±\tworst 10 s\twasted\tcross-zone\tscatter 1 s, 5 s\t"+
		"forced\tbusiest\tmaximum\tidle s\therd\truns that broke rules 1 2 3 4\n")
	for _, r := range rows {
		printf(
			w,
			"%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f, %.2f\t%.2f, "+
				"%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%v\n",
			r.Scenario,
			r.Set,
			r.Policy,
			r.Runs,
			r.Service,
			r.HalfWidth,
			r.Worst10,
			r.Wasted,
			r.CrossZone,
			r.Scatter[0],
			r.Scatter[1],
			r.KeyScatter[0],
			r.KeyScatter[1],
			r.Busiest,
			r.BusiestMax,
			r.IdleSeconds,
			r.Herd,
			r.ViolatingRuns,
		)
	}
	return w.Flush()
}
