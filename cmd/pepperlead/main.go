// Command pepperlead is the sidecar on sockets.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// errUsage marks calls that cannot be understood; they end with exit code 2, all other errors with 1.
var errUsage = errors.New("see 'pepperlead help'")

func main() {
	err := run(os.Args[1:], os.Stdout)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "pepperlead:", err)
	if errors.Is(err, errUsage) {
		os.Exit(2)
	}
	os.Exit(1)
}

// oneDash matches flags as they were written before: -config, -at, -log.
var oneDash = regexp.MustCompile(`^-[a-z][a-z-]+(=.*)?$`)

func run(args []string, out io.Writer) error {
	rest := false
	for i, a := range args {
		rest = rest || a == "--"
		if !rest && oneDash.MatchString(a) {
			args = append(append(args[:i:i], "-"+a), args[i+1:]...)
		}
	}
	root := rootCommand()
	root.SetOut(out)
	root.SetArgs(args)
	return root.Execute()
}

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
	root.AddCommand(serveCommand(), checkCommand(), askCommand("counters", "Print the counters of a sidecar that runs"),
		askCommand("peers", "Print the peers that a sidecar knows, asked at its pages"),
		askCommand("servers", "Print the servers that a sidecar knows, and whether its list was refused"), callCommand(), listCommand(), keepCommand(), applyCommand(), rollbackCommand(), withdrawCommand(), versionsCommand(),
		demoCommand(), migrateCommand(), &cobra.Command{Use: "version", Short: "Print the version", Args: exactly(0),
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) }})
	return root
}

// exactly and atLeast bound the number of arguments.
func exactly(n int) cobra.PositionalArgs { return usage(cobra.ExactArgs(n)) }
func atLeast(n int) cobra.PositionalArgs { return usage(cobra.MinimumNArgs(n)) }

func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return fmt.Errorf("%s: %w; %w", c.CommandPath(), err, errUsage)
		}
		return nil
	}
}

// version is what the tool chain knows of the source.
func version() string {
	revision, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with changes"
			}
		}
	}
	return "pepperlead " + revision + changed
}
