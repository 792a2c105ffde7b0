package main

import (
	"io"

	"github.com/spf13/cobra"

	"pepperlead/internal/experiment"
	"pepperlead/internal/trace"
)

// replayOptions are the flags of the command replay.
type replayOptions struct {
	scenarioPath string
	scripted     bool
	seed         uint64
	policyName   string
	directory    string
	asJSON       bool
}

func replayCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "replay TRACE...",
		Args:  cobra.MinimumNArgs(1),
		Short: "Replay traces that daemons recorded, in virtual time",
		Long: "Replay traces that daemons recorded with serve --record, one from each sidecar, in virtual time: the " +
			"same requests at the same\n" +
			"times, and the faults of endpoints that the traces show. The fleet is that of a scenario, because " +
			"traces do not show how fast\n" +
			"endpoints are.",
		Example: "  pepperlead-sim replay --scenario scenarios/monday.toml /tmp/monday/*.trace --out /tmp/again",
	}
	var o replayOptions
	c.Flags().StringVar(&o.scenarioPath, "scenario", "",
		"the `scenario` whose fleet, classes and clients are used (required)")
	c.Flags().BoolVar(&o.scripted, "scripted", false,
		"play the scenario's faults instead of those that the traces show; faults that change the load are left "+
			"out, because the recorded requests already contain them")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "random seed for what was not recorded, such as sizes of work and speeds")
	c.Flags().StringVar(&o.policyName, "policy", "module", policyHelp)
	c.Flags().StringVar(&o.directory, "out", "",
		"`folder` for result.json and series.json (default: nothing is written)")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the summary of the traces and the result as JSON")
	c.RunE = func(c *cobra.Command, args []string) error { return o.run(c.OutOrStdout(), args) }
	return c
}

// run replays the traces, and writes and prints the result as the flags say.
func (o *replayOptions) run(out io.Writer, paths []string) error {
	scenario, err := experiment.Load(o.scenarioPath)
	if err != nil {
		return err
	}
	traces, err := readTraces(paths)
	if err != nil {
		return err
	}
	scriptedFaults := scenario.Faults
	summary, err := experiment.FromTraces(scenario, traces)
	if err != nil {
		return err
	}
	if o.scripted {
		scenario.Faults = scriptedFaults
		scenario.DropLoadFaults()
	}
	result, series, err := experiment.Play(scenario, o.seed, o.policyName, true)
	if err != nil {
		return err
	}
	result.Scenario += ", recorded"
	if o.directory != "" {
		if err := experiment.WriteResult(o.directory, result, series); err != nil {
			return err
		}
	}
	if o.asJSON {
		return printJSON(out, map[string]any{"traces": summary, "result": result})
	}
	printReplay(out, len(traces), summary, result)
	return checkRules(result.Verdict)
}

func readTraces(paths []string) ([]*trace.Trace, error) {
	var traces []*trace.Trace
	for _, path := range paths {
		t, err := trace.ReadFile(path)
		if err != nil {
			return nil, err
		}
		traces = append(traces, t)
	}
	return traces, nil
}

func printReplay(out io.Writer, traces int, summary *experiment.ReplaySummary, result *experiment.Result) {
	printf(out, "%d traces (%d truncated): %d requests, %d retries left out, %d endpoints; "+
		"%.3f of the recorded requests succeeded\n",
		traces, summary.Truncated, summary.Arrivals, summary.Retries, summary.Endpoints, summary.SucceededShare)
	for _, fault := range summary.Faults {
		printf(out, "  %s\n", fault)
	}
	v := result.Verdict
	printf(out, "%s, seed %d, %s: service %.3f, worst 10 s %.3f; %d succeeded (%d late), %d rejected, "+
		"%d failed\n",
		result.Scenario, result.Seed, result.Policy, v.Service, v.Worst10, v.Succeeded, v.Late, v.Rejected, v.Failed)
}
