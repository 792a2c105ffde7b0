package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"pepperlead/internal/experiment"
	"pepperlead/internal/livetest"
)

// socketsOptions are the flags of the command sockets.
type socketsOptions struct {
	seed     uint64
	daemon   string
	traceDir string
	override string
	verbose  bool
	asJSON   bool
}

func socketsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "sockets SCENARIO",
		Args:  cobra.ExactArgs(1),
		Short: "Play a scenario over sockets in real time, with real daemons",
		Long: "Play a scenario over sockets in real time. The daemons are separate processes, fake backends follow " +
			"the emulator's model of\n" +
			"endpoints, clients send the same requests as in the emulator, and the emulator's judge checks the run. " +
			"A scenario may have at most\n" +
			"2,048 sidecars, 2,048 endpoints and 5,000 requests per second.",
		Example: "  pepperlead-sim sockets scenarios/monday.toml --seed 1 --record /tmp/monday",
	}
	var o socketsOptions
	c.Flags().Uint64Var(&o.seed, "seed", 1, "random seed")
	c.Flags().StringVar(&o.daemon, "daemon", "bin/pepperlead", "the daemon's `program`")
	c.Flags().StringVar(&o.traceDir, "record", "", "`folder` for the daemons' traces")
	c.Flags().StringVar(&o.override, "set", "",
		"override of a setting of the scenario as `path=value`, such as length=30s")
	c.Flags().BoolVar(&o.verbose, "log", false, "print faults and the daemons' warnings to standard error")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the verdict as JSON")
	c.RunE = func(c *cobra.Command, args []string) error { return o.run(c.OutOrStdout(), args[0]) }
	return c
}

// run plays the scenario and prints the judge's verdict.
func (o *socketsOptions) run(out io.Writer, path string) error {
	ctx, stop := interruptContext()
	defer stop()
	scenario, err := experiment.Load(path, experiment.ParseOverride(o.override)...)
	if err != nil {
		return err
	}
	if o.traceDir != "" {
		if err := os.MkdirAll(o.traceDir, 0o755); err != nil {
			return err
		}
	}
	options := livetest.Options{Scenario: scenario, Seed: o.seed, Daemon: o.daemon, TraceDir: o.traceDir}
	if o.verbose {
		options.Log = os.Stderr
	}
	v, err := livetest.Run(ctx, options)
	if err != nil {
		return err
	}
	if o.asJSON {
		return printJSON(out, v)
	}
	printf(out, "%s, seed %d, on sockets: service %.3f, worst 10 s %.3f, cross-zone attempts %.3f\n",
		scenario.Name, o.seed, v.Service, v.Worst10, v.CrossZone)
	printCounts(out, v)
	printSpread(out, &v.Spread)
	printViolations(out, v)
	return checkRules(v)
}
