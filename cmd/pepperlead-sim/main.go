// Command pepperlead-sim simulates, tests and benchmarks the sidecar. It is not deployed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pepperlead-sim:", err)
		os.Exit(1)
	}
}

// rootCommand returns the program's root command with all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "pepperlead-sim",
		Short:         "Simulate, test and benchmark pepperlead",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), replayCommand(), socketsCommand(), drillCommand(), soakCommand(), sweepCommand())
	root.AddCommand(compareCommand())
	root.AddCommand(reportCommand(), costCommand(), listsCommand(), followCommand(), memoryCommand())
	root.AddCommand(helperCommands()...)
	return root
}

// interruptContext returns a context that is cancelled when the program is interrupted or terminated.
func interruptContext() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
