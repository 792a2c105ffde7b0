package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pepperlead/internal/experiment"
	"pepperlead/internal/livetest"
)

func socketsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "sockets SCENARIO",
		Args:  cobra.ExactArgs(1),
		Short: "Play a scenario on sockets in real time, with real daemons",
		Long: "Play a scenario on sockets in real time: daemons as processes of their own, stand-in servers " +
			"whose inside is the emulator's\n" +
			"model, clients that ask for what the emulator's would, and the same judge. 320 daemons and " +
			"5,000 requests a second at most.",
		Example: "  pepperlead-sim sockets scenarios/monday.toml --seed 1 --record /tmp/monday",
	}
	seed := c.Flags().Uint64("seed", 1, "names the day")
	daemon := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	record := c.Flags().String("record", "", "`folder` for the daemons' traces")
	set := c.Flags().String("set", "", "a figure that stands in place of the scenario's, as `length=30s`")
	verbose := c.Flags().Bool("log", false, "print faults and the daemons' warnings to standard error")
	asJSON := c.Flags().Bool("json", false, "print the verdict as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		scenario, err := experiment.Load(args[0], experiment.Sets(*set)...)
		if err != nil {
			return err
		}
		if *record != "" {
			if err := os.MkdirAll(*record, 0o755); err != nil {
				return err
			}
		}
		var log io.Writer
		if *verbose {
			log = os.Stderr
		}
		v, err := livetest.Run(ctx, livetest.Options{
			Scenario: scenario,
			Seed:     *seed,
			Daemon:   *daemon,
			TraceDir: *record,
			Log:      log,
		})
		if err != nil {
			return err
		}
		out := c.OutOrStdout()
		if *asJSON {
			return printJSON(out, v)
		}
		printf(out, "%s, seed %d, on sockets: service %.3f, worst 10 s %.3f, crossings %.3f\n",
			scenario.Name, *seed, v.Service, v.Worst10, v.CrossZone)
		printCounts(out, v)
		printSpread(out, &v.Spread)
		printViolations(out, v)
		return checkRules(v)
	}
	return c
}
