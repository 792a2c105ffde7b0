package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/daemon"
)

func configFlag(c *cobra.Command) *string {
	return c.Flags().String("config", os.Getenv("GW_CONFIG"), "configuration `file`: TOML, or the platform's JSON (default $GW_CONFIG)")
}

func serveCommand() *cobra.Command {
	c := &cobra.Command{Use: "serve", Args: exactly(0),
		Short: "Serve clients until SIGTERM; SIGHUP reads the configuration anew",
		Long: `Serve clients until SIGTERM, which answers what is in hand and ends. SIGHUP reads the configuration anew: what cannot be
served is a line in the log, and the old one stays.`,
		Example: "  pepperlead serve --config deploy/standalone.toml --log-format json"}
	path := configFlag(c)
	level := c.Flags().String("log", "", "least `level` that is logged: debug, info, warning or error (default info, or as configured)")
	format := c.Flags().String("log-format", "", "`format` of the log: text or json (default text, or as configured)")
	record := c.Flags().String("record", "", "`file` for a trace of what comes in and how it ends, for pepperlead-sim replay (default none)")
	c.RunE = func(*cobra.Command, []string) error {
		orders, err := daemon.Read(*path, os.Getenv)
		if err != nil {
			return err
		}
		log, err := daemon.NewLogger(first(*level, orders.LogLevel, "info"), first(*format, orders.LogFormat, "text"))
		if err != nil {
			return err
		}
		return daemon.Serve(orders, *path, *record, log)
	}
	return c
}

func first(words ...string) string {
	for _, w := range words {
		if w != "" {
			return w
		}
	}
	return ""
}

func checkCommand() *cobra.Command {
	c := &cobra.Command{Use: "check", Args: exactly(0), Short: "Read the configuration and say whether it can be served",
		Example: "  pepperlead check --config deploy/standalone.toml"}
	path := configFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		o, err := daemon.Read(*path, os.Getenv)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "can be served: %d offerings, %d franchises, %d sidecars, %d descriptors, %d MB\n",
			len(o.Settings.Classes), len(o.Settings.Tenants), o.Settings.Instances, o.Descriptors, o.MessageMemory>>20)
		return nil
	}
	return c
}

// askCommand prints a page of a sidecar that runs.
func askCommand(page, short string) *cobra.Command {
	c := &cobra.Command{Use: page, Short: short, Args: exactly(0), Example: "  pepperlead " + page + " --at 127.0.0.1:9000"}
	at := c.Flags().String("at", os.Getenv("GW_LISTEN"), "`address` of the sidecar, or of its pages (default $GW_LISTEN)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		client := http.Client{Timeout: 2 * time.Second}
		answer, err := client.Get("http://" + *at + "/_" + page)
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: status %d: no sidecar answers there", *at, answer.StatusCode)
		}
		_, err = io.Copy(c.OutOrStdout(), answer.Body)
		return err
	}
	return c
}

// callCommand makes one call at a sidecar's door.
func callCommand() *cobra.Command {
	c := &cobra.Command{Use: "call CALL [ID]", Short: "Make a call at the operators' door of a sidecar that runs", Args: atLeast(1),
		Long:    "Make a call at the operators' door of a sidecar that runs: ready, show-stat, disable-server ID or enable-server ID.",
		Example: "  pepperlead call --at 127.0.0.1:9002 disable-server s-1"}
	at := c.Flags().String("at", os.Getenv("GW_ADMIN"), "`address` of the door (default $GW_ADMIN)")
	c.RunE = func(c *cobra.Command, words []string) error {
		door, err := net.DialTimeout("tcp", *at, 2*time.Second)
		if err != nil {
			return err
		}
		defer door.Close()
		door.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := fmt.Fprintln(door, strings.Join(words, " ")); err != nil {
			return err
		}
		answer, err := io.ReadAll(door)
		if err != nil {
			return err
		}
		if why, is := strings.CutPrefix(string(answer), "ERR "); is {
			return errors.New(strings.TrimSpace(why))
		}
		_, err = c.OutOrStdout().Write(answer)
		return err
	}
	return c
}
