package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"pepperlead/internal/emulator/baseline"
	"pepperlead/internal/experiment"
	"pepperlead/internal/trace"
)

func replayCommand() *cobra.Command {
	c := &cobra.Command{Use: "replay TRACE...", Args: cobra.MinimumNArgs(1), Short: "Play what daemons have recorded, in virtual time",
		Long: `Play what daemons have recorded by serve --record, a trace from each sidecar, in virtual time: the same requests at the same
moments, and what the traces show to have gone wrong with servers. The fleet, which no sidecar knows, is a scenario's.`,
		Example: "  pepperlead-sim replay --scenario scenarios/monday.toml /tmp/monday/*.trace --out /tmp/again"}
	path := c.Flags().String("scenario", "", "the `scenario` whose fleet, offerings and clients are played (must be given)")
	scripted := c.Flags().Bool("scripted", false, "play the scenario's faults in place of those the traces show; those on load are in the traces")
	seed := c.Flags().Uint64("seed", 1, "of what was not recorded: sizes of work, speeds")
	name := c.Flags().String("policy", "module", strings.Join(baseline.Names, ", "))
	out := c.Flags().String("out", "", "`folder` for result.json and series.json (default: nothing is written)")
	asJSON := c.Flags().Bool("json", false, "print what was taken from the traces, and the result, as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		sc, err := experiment.Load(*path)
		if err != nil {
			return err
		}
		var all []*trace.Trace
		for _, p := range args {
			t, err := trace.ReadFile(p)
			if err != nil {
				return err
			}
			all = append(all, t)
		}
		script := sc.Faults
		took, err := experiment.FromTraces(sc, all)
		if err != nil {
			return err
		}
		if *scripted {
			sc.Faults = script
			sc.DropLoadFaults()
		}
		r, series, err := experiment.Play(sc, *seed, *name, true)
		if err != nil {
			return err
		}
		r.Scenario += ", recorded"
		if *out != "" {
			if err := experiment.Write(*out, r, series); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), map[string]any{"traces": took, "result": r})
		}
		v := r.Verdict
		fmt.Fprintf(c.OutOrStdout(), "%d traces (%d cut off): %d requests, %d further tries left out, %d servers; of their tickets %.3f were honoured\n",
			len(all), took.Truncated, took.Arrivals, took.Retries, took.Endpoints, took.SucceededShare)
		for _, f := range took.Faults {
			fmt.Fprintln(c.OutOrStdout(), "  "+f)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s, seed %d, %s: service %.3f, worst 10 s %.3f; %d honoured (%d late), %d turned back, %d given up\n", r.Scenario,
			r.Seed, r.Policy, v.Service, v.Worst10, v.Succeeded, v.Late, v.Rejected, v.Failed)
		if !v.RulesKept() {
			return fmt.Errorf("rules were broken: %v", v.ViolationCounts)
		}
		return nil
	}
	return c
}
