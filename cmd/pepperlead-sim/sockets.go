package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pepperlead/internal/experiment"
	"pepperlead/internal/livetest"
)

func socketsCommand() *cobra.Command {
	c := &cobra.Command{Use: "sockets SCENARIO", Args: cobra.ExactArgs(1), Short: "Play a scenario on sockets in real time, with real daemons",
		Long: `Play a scenario on sockets in real time: daemons as processes of their own, stand-in servers whose inside is the emulator's
model, clients that ask for what the emulator's would, and the same judge. 320 daemons and 5,000 requests a second at most.`,
		Example: "  pepperlead-sim sockets scenarios/monday.toml --seed 1 --record /tmp/monday"}
	seed := c.Flags().Uint64("seed", 1, "names the day")
	daemon := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	record := c.Flags().String("record", "", "`folder` for the daemons' traces")
	set := c.Flags().String("set", "", "a figure that stands in place of the scenario's, as `length=30s`")
	verbose := c.Flags().Bool("log", false, "print faults and the daemons' warnings to standard error")
	asJSON := c.Flags().Bool("json", false, "print the verdict as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer end()
		sc, err := experiment.Load(args[0], experiment.Sets(*set)...)
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
		v, err := livetest.Run(ctx, livetest.Play{Scenario: sc, Seed: *seed, Daemon: *daemon, Record: *record, Log: log})
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), v)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s, seed %d, on sockets: service %.3f, worst 10 s %.3f, crossings %.3f\n"+
			"%d requests, %d tickets, %d pushes: %d honoured (%d late), %d turned back, %d given up\n", sc.Name, *seed, v.Service, v.Worst10,
			v.CrossZone, v.ClientRequests, v.Requests, v.Attempts, v.Succeeded, v.Late, v.Rejected, v.Failed)
		printEven(c.OutOrStdout(), &v.Spread)
		for _, b := range v.Violations {
			fmt.Fprintln(c.OutOrStdout(), b)
		}
		if !v.RulesKept() {
			return fmt.Errorf("rules were broken: %v", v.ViolationCounts)
		}
		return nil
	}
	return c
}
