package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// rootCommand returns the program's command with all its subcommands.
func rootCommand() *cobra.Command {
	const frontOrMetrics = "the sidecar's front or of its metrics server"
	root := &cobra.Command{
		Use:   "pepperlead",
		Short: "A client-side load balancer that runs as a sidecar beside each calling process",
		Long: `A client-side load balancer that runs as a sidecar beside each calling process.

Exit codes: 0 success, 1 failure, 2 error in the command line.`,
		Example:       "  pepperlead demo --for 10s\n  pepperlead serve --config deploy/standalone.toml",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q; %w", args[0], errUsage)
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error { return fmt.Errorf("no command given; %w", errUsage) },
	}
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return fmt.Errorf("%s: %w; %w", c.CommandPath(), err, errUsage)
	})
	root.AddCommand(
		serveCommand(),
		checkCommand(),
		reportCommand("counters", "Print the counters of a running sidecar", frontOrMetrics, "127.0.0.1:9000"),
		reportCommand("peers", "Print the peers that a running sidecar knows",
			"the sidecar's metrics server; its front doesn't have this report", "127.0.0.1:9001"),
		reportCommand("servers", "Print the servers that a running sidecar knows, and whether its list was rejected",
			frontOrMetrics, "127.0.0.1:9000"),
		callCommand(),
		listCommand(),
		coordinatorCommand(),
		applyCommand(),
		rollbackCommand(),
		withdrawCommand(),
		versionsCommand(),
		demoCommand(),
		migrateCommand(),
		versionCommand(),
	)
	return root
}

// exactly requires n arguments.
func exactly(n int) cobra.PositionalArgs { return usageError(cobra.ExactArgs(n)) }

// atLeast requires n or more arguments.
func atLeast(n int) cobra.PositionalArgs { return usageError(cobra.MinimumNArgs(n)) }

// usageError returns the check with its errors marked as errors in the command line.
func usageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return fmt.Errorf("%s: %w; %w", c.CommandPath(), err, errUsage)
		}
		return nil
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactly(0),
		Run:   func(c *cobra.Command, _ []string) { printf(c.OutOrStdout(), "%s\n", version()) },
	}
}

// version returns the program's name and the source revision that the Go toolchain recorded in it.
func version() string {
	revision := "unknown"
	modified := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				revision = setting.Value
			case setting.Key == "vcs.modified" && setting.Value == "true":
				modified = " with changes"
			}
		}
	}
	return "pepperlead " + revision + modified
}
