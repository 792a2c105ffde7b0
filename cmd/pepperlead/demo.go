package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pepperlead/internal/daemon"
	"pepperlead/internal/demo"
)

const defaultDemoServers = 5

func demoCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "demo",
		Args:  exactly(0),
		Short: "Run a sidecar with fake servers in one process, without a configuration file",
		Example: "  pepperlead demo\n" +
			"  pepperlead demo --listen 127.0.0.1:9000 --servers 10 --seed 7 --for 10s",
	}
	var options demo.Options
	c.Flags().StringVar(&options.Listen, "listen", "127.0.0.1:0",
		"`address` of the sidecar; port 0: any free port")
	c.Flags().IntVar(&options.Servers, "servers", defaultDemoServers, "number of fake servers")
	c.Flags().Uint64Var(&options.Seed, "seed", 1,
		"seed of all random choices: the same seed gives the same sequence of faults at each server")
	c.Flags().DurationVar(&options.Duration, "for", 0, "how long the demo runs (default until Ctrl-C)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		log, err := daemon.NewLogger("warning", "text")
		if err != nil {
			return err
		}
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		return demo.Run(ctx, options, log, c.OutOrStdout())
	}
	return c
}
