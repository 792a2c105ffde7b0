// Command pepperlead-sim measures and rehearses what the sidecar does. It is no part of what is deployed.
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

// rootCommand is the program's command with all commands below it.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "pepperlead-sim",
		Short:         "Measure and rehearse what pepperlead does",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), replayCommand(), socketsCommand(), drillCommand(), sweepCommand(), compareCommand())
	root.AddCommand(reportCommand(), costCommand(), listsCommand(), followCommand(), memoryCommand())
	root.AddCommand(helperCommands()...)
	return root
}

// interruptContext returns a context that ends when the program is asked to end.
func interruptContext() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
