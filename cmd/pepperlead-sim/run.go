package main

import (
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/baseline"
	"pepperlead/internal/experiment"
)

// policyHelp is the help text of flags that take policies.
var policyHelp = "load-balancing policy: module is that of the sidecar, the others are baselines (" +
	strings.Join(baseline.Names, ", ") + ")"

// runOptions are the flags of the command run.
type runOptions struct {
	seed       uint64
	directory  string
	policyName string
	settings   []string
	asJSON     bool
}

func runCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Args:  cobra.ExactArgs(1),
		Short: "Run a scenario once in virtual time",
		Long: "Run a scenario once in virtual time, and print the verdict of the emulator's judge. The service is " +
			"the earned part of the\n" +
			"requests' value. The same scenario, settings, seed and policy give the same result.json, to the byte.",
		Example: "  pepperlead-sim run scenarios/monday.toml --seed 7 --out /tmp/monday " +
			"&& pepperlead-sim report /tmp/monday",
	}
	var o runOptions
	c.Flags().Uint64Var(&o.seed, "seed", 1, "random seed")
	c.Flags().StringVar(&o.directory, "out", "",
		"`folder` for result.json and series.json (default: nothing is written)")
	c.Flags().StringVar(&o.policyName, "policy", "module", policyHelp)
	c.Flags().StringArrayVar(&o.settings, "set", nil,
		"override of a setting of the scenario as `path=value`, such as load.part=0.8; may be repeated")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the result as JSON")
	c.RunE = func(c *cobra.Command, args []string) error { return o.run(c.OutOrStdout(), args[0]) }
	return c
}

// run plays the scenario, and writes and prints the result as the flags say.
func (o *runOptions) run(out io.Writer, path string) error {
	scenario, err := loadScenario(path, o.settings)
	if err != nil {
		return err
	}
	start := time.Now()
	result, series, err := experiment.Play(scenario, o.seed, o.policyName, true)
	if err != nil {
		return err
	}
	elapsed := time.Since(start)
	result.Set = strings.Join(o.settings, " ")
	if o.directory != "" {
		if err := experiment.WriteResult(o.directory, result, series); err != nil {
			return err
		}
	}
	if o.asJSON {
		return printJSON(out, result)
	}
	printRun(out, scenario, result, elapsed)
	return checkRules(result.Verdict)
}

// loadScenario loads a scenario with overrides of its settings, each as path=value.
func loadScenario(path string, settings []string) (*emulator.Scenario, error) {
	var overrides []emulator.Override
	for _, setting := range settings {
		overrides = append(overrides, experiment.ParseOverride(setting)...)
	}
	return experiment.Load(path, overrides...)
}

func printRun(out io.Writer, scenario *emulator.Scenario, result *experiment.Result, elapsed time.Duration) {
	v := result.Verdict
	printf(out, "%s, seed %d, %s: service %.3f, worst 10 s %.3f, wasted work %.3f, cross-zone attempts %.3f\n",
		result.Scenario, result.Seed, result.Policy, v.Service, v.Worst10, result.Wasted, v.CrossZone)
	printCounts(out, v)
	printSpread(out, &v.Spread)
	printViolations(out, v)
	printf(out, "%.1f times real time: %d events in %v, %.0f requests per second\n",
		float64(scenario.Length)/1e9/elapsed.Seconds(), result.Events, elapsed.Round(time.Millisecond),
		float64(v.Requests)/elapsed.Seconds())
}
