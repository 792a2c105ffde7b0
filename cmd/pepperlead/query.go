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
)

const (
	reportTimeout      = 2 * time.Second
	callConnectTimeout = 2 * time.Second
	callTimeout        = 5 * time.Second // limits sending the command and reading the answer, after connecting
)

// reportCommand returns a command that prints a report of a running sidecar. servers says in the help text which of the
// sidecar's servers have the report, and example is an address of one of them.
func reportCommand(report, short, servers, example string) *cobra.Command {
	c := &cobra.Command{
		Use:     report,
		Short:   short,
		Args:    exactly(0),
		Example: "  pepperlead " + report + " --at " + example,
	}
	address := c.Flags().String("at", os.Getenv("GW_LISTEN"),
		"`address` of "+servers+" (default $GW_LISTEN)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return printReport(c.OutOrStdout(), *address, report)
	}
	return c
}

func printReport(out io.Writer, address, report string) error {
	client := http.Client{Timeout: reportTimeout}
	response, err := client.Get("http://" + address + "/_" + report)
	if err != nil {
		return err
	}
	defer func() {
		_ = response.Body.Close() // the response was only read
	}()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: unexpected status %d: not the address of a sidecar", address, response.StatusCode)
	}
	_, err = io.Copy(out, response.Body)
	return err
}

// callCommand returns a command that sends a command to a running sidecar's command server.
func callCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "call CALL [ID]",
		Short: "Send a command to the command server of a running sidecar",
		Args:  atLeast(1),
		Long: "Send a command to the command server of a running sidecar:\n\n" +
			"  ready              succeeds if the sidecar is ready to serve\n" +
			"  show-stat          prints the sidecar's figures\n" +
			"  disable-server ID  drains a server: it gets no new requests\n" +
			"  enable-server ID   returns a drained server to service",
		Example: "  pepperlead call --at 127.0.0.1:9002 disable-server s-1",
	}
	address := c.Flags().String("at", os.Getenv("GW_ADMIN"), "`address` of the command server (default $GW_ADMIN)")
	c.RunE = func(c *cobra.Command, args []string) error {
		response, err := call(*address, strings.Join(args, " "))
		if err != nil {
			return err
		}
		if reason, failed := strings.CutPrefix(string(response), "ERR "); failed {
			return errors.New(strings.TrimSpace(reason))
		}
		_, err = c.OutOrStdout().Write(response)
		return err
	}
	return c
}

// call sends a line to a command server and returns its response.
func call(address, line string) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", address, callConnectTimeout)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = conn.Close() // the response was read, or an error is returned
	}()
	_ = conn.SetDeadline(time.Now().Add(callTimeout)) // if the connection is broken, the write fails too
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return nil, err
	}
	return io.ReadAll(conn)
}
