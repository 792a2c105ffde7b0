package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// rootCommand is the program's command with all commands below it.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "pepperlead",
		Short: "A client-side load balancer that runs as a sidecar beside each calling process",
		Long: `A client-side load balancer that runs as a sidecar beside each calling process.

Exit codes: 0 done, 1 it could not be done, 2 the call was not understood.`,
		Example:       "  pepperlead demo --for 10s\n  pepperlead serve --config deploy/standalone.toml",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("no command %q; %w", args[0], errUsage)
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error { return fmt.Errorf("no command; %w", errUsage) },
	}
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return fmt.Errorf("%s: %w; %w", c.CommandPath(), err, errUsage)
	})
	root.AddCommand(
		serveCommand(),
		checkCommand(),
		reportCommand("counters", "Print the counters of a sidecar that runs"),
		reportCommand("peers", "Print the peers that a sidecar knows, asked at its pages"),
		reportCommand("servers", "Print the servers that a sidecar knows, and whether its list was refused"),
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

// exactly requires that number of arguments.
func exactly(n int) cobra.PositionalArgs { return usageError(cobra.ExactArgs(n)) }

// atLeast requires that many arguments or more.
func atLeast(n int) cobra.PositionalArgs { return usageError(cobra.MinimumNArgs(n)) }

// usageError marks the errors of a check as errors in the call.
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

// version is the source revision that the tool chain has recorded.
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
