package main

import (
	"os"

	"github.com/spf13/cobra"

	"pepperlead/internal/daemon"
)

const bytesPerMB = 1 << 20

// sidecarFormats says in help texts which formats a sidecar's configuration file may have.
const sidecarFormats = "TOML, or the platform's JSON"

// configFlag adds the flag for a configuration file of the formats.
func configFlag(c *cobra.Command, formats string) *string {
	return c.Flags().String("config", os.Getenv("GW_CONFIG"),
		"configuration `file`: "+formats+" (default $GW_CONFIG)")
}

func serveCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Args:  exactly(0),
		Short: "Run the sidecar until SIGTERM; SIGHUP reloads the configuration",
		Long: "Run the sidecar. On SIGTERM it completes the requests in flight and ends. On SIGHUP it reads the " +
			"configuration again: if the new\n" +
			"configuration is invalid, its faults are logged and the previous configuration is kept.",
		Example: "  pepperlead serve --config deploy/standalone.toml --log-format json",
	}
	path := configFlag(c, sidecarFormats)
	level := c.Flags().String("log", "",
		"lowest `level` that is logged: debug, info, warning or error (default info, or as configured)")
	format := c.Flags().String("log-format", "", "`format` of the log: text or json (default text, or as configured)")
	record := c.Flags().String("record", "",
		"`file` for a trace of the requests and their outcomes, for pepperlead-sim replay (default none)")
	c.RunE = func(*cobra.Command, []string) error {
		signals := daemon.CatchSignals()
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
		return daemon.Serve(config, *path, *record, signals, log)
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
	path := configFlag(c, sidecarFormats)
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
