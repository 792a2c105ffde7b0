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
		Short: "Play many days: seeds, values of a figure, policies",
		Example: "  pepperlead-sim sweep scenarios/*.toml --seeds 20 --policies module,two,seeing --out /tmp/all\n" +
			"  pepperlead-sim sweep scenarios/burst.toml --vary load.part=0.5:1.5:0.1 --seeds 5 --out /tmp/load\n" +
			"  pepperlead-sim sweep scenarios/slow.toml --vary scale=4x8,300x100 --seeds 5     " +
			"# sidecars x servers, load and keys in proportion",
	}
	var o sweepOptions
	c.Flags().Uint64Var(&o.seeds, "seeds", 5, "how many seeds, from --first on")
	c.Flags().Uint64Var(&o.firstSeed, "first", 1, "the first seed")
	c.Flags().StringVar(&o.variation, "vary", "",
		"a figure and its `values`, as load.part=0.5,0.8 or load.part=0.5:1.5:0.1")
	c.Flags().StringSliceVar(&o.policies, "policies", []string{"module"}, strings.Join(baseline.Names, ", "))
	c.Flags().IntVar(&o.workers, "workers", 0, "days played at once (default: as many as there are cores)")
	c.Flags().StringVar(&o.directory, "out", "", "`folder` for sweep.json")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the table as JSON")
	c.Flags().BoolVar(&o.noProgress, "quiet", false, "without a progress bar")
	c.Flags().StringVar(&o.plotPath, "plot", "", "`file` for a picture of the table, SVG")
	c.RunE = func(c *cobra.Command, args []string) error { return o.run(c.OutOrStdout(), args) }
	return c
}

// run plays the grid and writes its results where the flags say.
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

// grid returns the runs that the flags ask for.
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

// setVariation sets what a grid varies from path=values; "" is nothing.
func setVariation(grid *experiment.Grid, variation string) (err error) {
	if variation == "" {
		return nil
	}
	path, values, found := strings.Cut(variation, "=")
	if !found {
		return fmt.Errorf("--vary: found %q, allowed path=values", variation)
	}
	grid.Vary = path
	grid.Values, err = experiment.Range(values)
	return err
}

func printTable(out io.Writer, rows []experiment.Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printf(w, "scenario\tset\tpolicy\tdays\tservice\t±\tworst 10 s\twasted\tcrossed\tscatter 1 s, 5 "+
		"s\tforced\tbusiest\tmost\t"+
		"idle s\therd\tdays that broke rules 1 2 3 4\n")
	for _, r := range rows {
		printf(
			w,
			"%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f, %.2f\t%.2f, "+
				"%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%v\n",
			r.Scenario,
			r.Set,
			r.Policy,
			r.Days,
			r.Service,
			r.Half,
			r.Worst10,
			r.Wasted,
			r.Crossed,
			r.Scatter[0],
			r.Scatter[1],
			r.KeyScatter[0],
			r.KeyScatter[1],
			r.Busiest,
			r.BusiestMax,
			r.IdleSeconds,
			r.Herd,
			r.Broken,
		)
	}
	return w.Flush()
}
