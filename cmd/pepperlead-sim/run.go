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

func runCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Args:  cobra.ExactArgs(1),
		Short: "Play one day in virtual time",
		Long: "Play one day in virtual time. " +
			"The same scenario, seed and policy give the same result.json, to the byte.",
		Example: "  pepperlead-sim run scenarios/monday.toml --seed 7 --out /tmp/monday " +
			"&& pepperlead-sim report /tmp/monday",
	}
	seed := c.Flags().Uint64("seed", 1, "names the day")
	directory := c.Flags().String("out", "", "`folder` for result.json and series.json (default: nothing is written)")
	policyName := c.Flags().String("policy", "module", strings.Join(baseline.Names, ", "))
	settings := c.Flags().StringArray("set", nil,
		"a figure that stands in place of the scenario's, as `load.part=0.8`; may be given again")
	asJSON := c.Flags().Bool("json", false, "print the result as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		scenario, err := loadScenario(args[0], *settings)
		if err != nil {
			return err
		}
		start := time.Now()
		result, series, err := experiment.Play(scenario, *seed, *policyName, true)
		if err != nil {
			return err
		}
		elapsed := time.Since(start)
		result.Set = strings.Join(*settings, " ")
		if *directory != "" {
			if err := experiment.Write(*directory, result, series); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), result)
		}
		printRun(c.OutOrStdout(), scenario, result, elapsed)
		return checkRules(result.Verdict)
	}
	return c
}

// loadScenario loads a scenario with settings that replace its own, each as path=value.
func loadScenario(path string, settings []string) (*emulator.Scenario, error) {
	var sets []emulator.Set
	for _, setting := range settings {
		sets = append(sets, experiment.Sets(setting)...)
	}
	return experiment.Load(path, sets...)
}

func printRun(out io.Writer, scenario *emulator.Scenario, result *experiment.Result, elapsed time.Duration) {
	v := result.Verdict
	printf(out, "%s, seed %d, %s: service %.3f, worst 10 s %.3f, wasted %.3f, crossings %.3f\n",
		result.Scenario, result.Seed, result.Policy, v.Service, v.Worst10, result.Wasted, v.CrossZone)
	printCounts(out, v)
	printSpread(out, &v.Spread)
	printViolations(out, v)
	printf(out, "%.1f times real time: %d events in %v, %.0f tickets a second\n",
		float64(scenario.Length)/1e9/elapsed.Seconds(), result.Events, elapsed.Round(time.Millisecond),
		float64(v.Requests)/elapsed.Seconds())
}
