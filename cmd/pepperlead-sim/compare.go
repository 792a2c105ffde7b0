package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pepperlead/internal/experiment"
)

func compareCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "compare A B",
		Args:  cobra.ExactArgs(2),
		Short: "Compare two sweeps, or two runs, paired by seed",
		Long: "Compare the service of the runs that run, replay or sweep wrote into the folders A and B. Runs are " +
			"paired by scenario,\n" +
			"setting and seed. The gain is the mean service of B minus that of A, with its 95% interval (±). Exit " +
			"code 1 if a scenario loses\n" +
			"more service than --allow, or if B breaks a rule in a run in which A does not.",
		Example: "  pepperlead-sim compare /tmp/before /tmp/after --allow 0.01",
	}
	allow := c.Flags().Float64("allow", 0.01, "the largest loss of service (a negative gain) that is accepted")
	policyA := c.Flags().String("policy-a", "", "the policy to compare from A, if A has several")
	policyB := c.Flags().String("policy-b", "", "the policy to compare from B, if B has several")
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		a, err := experiment.ReadResults(args[0])
		if err != nil {
			return err
		}
		b, err := experiment.ReadResults(args[1])
		if err != nil {
			return err
		}
		comparisons, err := experiment.Compare(
			experiment.FilterByPolicy(a, *policyA),
			experiment.FilterByPolicy(b, *policyB),
		)
		if err != nil {
			return err
		}
		if *asJSON {
			err = printJSON(c.OutOrStdout(), comparisons)
		} else {
			err = printComparisons(c.OutOrStdout(), comparisons)
		}
		if err != nil {
			return err
		}
		return checkGains(comparisons, *allow)
	}
	return c
}

func printComparisons(out io.Writer, comparisons []experiment.Comparison) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printf(w, "scenario\tset\tpairs\tA\tB\tgain\t±\tnew violations\n")
	for _, x := range comparisons {
		printf(w, ""+
			"%s\t%s\t%d\t%.3f\t%.3f\t%+.4f\t%.4f\t%d\n",
			x.Scenario, x.Set, x.Pairs, x.A, x.B, x.Gain, x.HalfWidth, x.NewViolations)
	}
	return w.Flush()
}

// checkGains returns an error for the first scenario whose service falls by more than is allowed, or in which only B
// broke a rule in some run.
func checkGains(comparisons []experiment.Comparison, allow float64) error {
	for _, x := range comparisons {
		if x.Gain < -allow || x.NewViolations > 0 {
			return fmt.Errorf("%s: gain %+.4f, allowed at least %+.4f; %d runs in which only B broke a rule",
				x.Scenario, x.Gain, -allow, x.NewViolations)
		}
	}
	return nil
}
