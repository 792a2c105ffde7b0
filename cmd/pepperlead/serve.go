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
		Short: "Serve clients until SIGTERM; SIGHUP reads the configuration anew",
		Long: "Serve clients until SIGTERM, which answers what is in hand and ends. SIGHUP reads the " +
			"configuration anew: what cannot be\n" +
			"served is a line in the log, and the old one stays.",
		Example: "  pepperlead serve --config deploy/standalone.toml --log-format json",
	}
	path := configFlag(c)
	level := c.Flags().String("log", "",
		"least `level` that is logged: debug, info, warning or error (default info, or as configured)")
	format := c.Flags().String("log-format", "", "`format` of the log: text or json (default text, or as configured)")
	record := c.Flags().String("record", "",
		"`file` for a trace of what comes in and how it ends, for pepperlead-sim replay (default none)")
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
		Short:   "Read the configuration and say whether it can be served",
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
