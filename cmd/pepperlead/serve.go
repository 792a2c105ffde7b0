package main

import (
	"os"

	"github.com/spf13/cobra"

	"pepperlead/internal/daemon"
)

const bytesPerMB = 1 << 20

func configFlag(c *cobra.Command) *string {
	return c.Flags().String("config", os.Getenv("GW_CONFIG"),
		"configuration `file`: TOML, or the platform's JSON (default $GW_CONFIG)")
}

func serveCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Args:  exactly(0),
		Short: "Run the sidecar until SIGTERM; SIGHUP reloads the configuration",
		Long: "Run the sidecar until SIGTERM, which completes the requests in flight and ends. SIGHUP reloads the " +
			"configuration: the faults of\n" +
			"an invalid one are logged, and the previous one is kept.",
		Example: "  pepperlead serve --config deploy/standalone.toml --log-format json",
	}
	path := configFlag(c)
	level := c.Flags().String("log", "",
		"lowest `level` that is logged: debug, info, warning or error (default info, or as configured)")
	format := c.Flags().String("log-format", "", "`format` of the log: text or json (default text, or as configured)")
	record := c.Flags().String("record", "",
		"`file` for a trace of the requests and their outcomes, for pepperlead-sim replay (default none)")
	c.RunE = func(*cobra.Command, []string) error {
		config, err := daemon.Read(*path, os.Getenv)
		if err != nil {
			return err
		}
		logLevel := firstNonEmpty(*level, config.LogLevel, "info")
		logFormat := firstNonEmpty(*format, config.LogFormat, "text")
		log, err := daemon.NewLogger(logLevel, logFormat)
		if err != nil {
			return err
		}
		return daemon.Serve(config, *path, *record, log)
	}
	return c
}

func checkCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "check",
		Args:    exactly(0),
		Short:   "Check whether the configuration is valid",
		Example: "  pepperlead check --config deploy/standalone.toml",
	}
	path := configFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		config, err := daemon.Read(*path, os.Getenv)
		if err != nil {
			return err
		}
		settings := config.Settings
		printf(c.OutOrStdout(),
			"can be served: %d offerings, %d franchises, %d sidecars, %d descriptors, %d MB\n",
			len(settings.Classes), len(settings.Tenants), settings.Instances,
			config.Descriptors, config.MessageMemory/bytesPerMB)
		return nil
	}
	return c
}
