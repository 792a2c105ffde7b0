package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/daemon"
)

const (
	defaultCoordinator = "127.0.0.1:9005"
	defaultWait        = 30 * time.Second
	waitPollInterval   = 50 * time.Millisecond

	// latestRevision is the value of --on that means the latest revision of the cluster, whatever its number is.
	latestRevision = -1
)

func coordinatorCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "keep",
		Args:  exactly(0),
		Short: "Run a coordinator of a cluster's rules until SIGTERM",
		Long: "Run a coordinator, which stores the revisions of the rules that a cluster's sidecars follow. A " +
			"group of one, three or five\n" +
			"coordinators agrees on their order and tolerates the loss of none, one or two. The leader grants " +
			"the sidecars leases on the\nrevisions in force. See " +
			"docs/agreement.md.",
		Example: "  pepperlead keep --config keeper.toml",
	}
	path := configFlag(c, "TOML")
	c.RunE = func(*cobra.Command, []string) error {
		config, err := daemon.ReadCoordinatorConfig(*path)
		if err != nil {
			return err
		}
		log, err := daemon.NewLogger(config.LogLevel, config.LogFormat)
		if err != nil {
			return err
		}
		return daemon.RunCoordinator(config, log)
	}
	return c
}

func applyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "apply FILE",
		Args:  exactly(1),
		Short: "Apply the rules in a file to a cluster",
		Long: "Check the file, propose it as the next revision of the rules, and wait until it alone is in " +
			"force. The change has two steps: first,\n" +
			"the sidecars that have the new revision do only what both revisions allow; then, when no sidecar " +
			"has a lease on the old revision\nalone any more, they follow the new one.",
		Example: "  pepperlead apply rules.toml --to 10.0.0.1:9005 --dry-run\n" +
			"  pepperlead apply rules.toml --to 10.0.0.1:9005",
	}
	address := coordinatorFlag(c)
	dryRun := c.Flags().Bool("dry-run", false, "only check whether the rules could be applied")
	last := c.Flags().Int64("on", latestRevision,
		"`number` of the latest revision that you know: the command fails if there is a newer one; "+
			"-1: whichever is the latest")
	wait := waitFlag(c)
	author := authorFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		if err := daemon.ValidateRules(args[0], text, nil); err != nil {
			return err
		}
		p := proposal{last: *last, text: text, author: *author, dryRun: *dryRun}
		return propose(c.OutOrStdout(), coordinatorClient{*address}, p, *wait)
	}
	return c
}

func rollbackCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "rollback N",
		Args:  exactly(1),
		Short: "Apply the rules of the earlier revision N to a cluster again",
		Long: "Propose the rules of the earlier revision N as the next revision, and wait until it alone is in " +
			"force. The change has the same\nsteps as that of 'pepperlead apply'.",
		Example: "  pepperlead rollback 6 --to 10.0.0.1:9005",
	}
	address := coordinatorFlag(c)
	wait := waitFlag(c)
	author := authorFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
			return fmt.Errorf("rollback: found %q, allowed the number of a revision; %w", args[0], errUsage)
		}
		p := proposal{last: latestRevision, rollbackTo: args[0], author: *author}
		return propose(c.OutOrStdout(), coordinatorClient{*address}, p, *wait)
	}
	return c
}

func withdrawCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "withdraw N",
		Args:  exactly(1),
		Short: "Withdraw revision N while it is coming into force",
		Long: "Cancel the change to revision N, which is agreed on but not yet in force alone. The active " +
			"revision stays in force.",
		Example: "  pepperlead withdraw 7 --to 10.0.0.1:9005",
	}
	address := coordinatorFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		client := coordinatorClient{*address}
		text, err := client.do(http.MethodPost, "/_withdraw?n="+url.QueryEscape(args[0]), nil)
		printf(c.OutOrStdout(), "%s", text)
		return err
	}
	return c
}

func versionsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "versions [N]",
		Args:  usageError(cobra.MaximumNArgs(1)),
		Short: "Print the revisions of the rules that a coordinator has, or the text of revision N",
		Example: "  pepperlead versions --to 10.0.0.1:9005\n" +
			"  pepperlead versions 7 --to 10.0.0.1:9005",
	}
	address := coordinatorFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "/_versions"
		if len(args) > 0 {
			path += "/" + url.PathEscape(args[0])
		}
		text, err := coordinatorClient{*address}.do(http.MethodGet, path, nil)
		printf(c.OutOrStdout(), "%s", text)
		return err
	}
	return c
}

func coordinatorFlag(c *cobra.Command) *string {
	return c.Flags().String("to", defaultCoordinator, "`address` of a coordinator's admin server")
}

func waitFlag(c *cobra.Command) *time.Duration {
	return c.Flags().Duration("wait", defaultWait,
		"how long to wait until the revision alone is in force; 0: don't wait")
}

func authorFlag(c *cobra.Command) *string {
	return c.Flags().String("author", os.Getenv("USER"), "`name` of the author that the history shows")
}

// proposal is a revision to be proposed.
type proposal struct {
	last       int64  // number of the latest revision that its author knows, or latestRevision
	rollbackTo string // number of an earlier revision; empty: the text is new
	text       []byte
	author     string
	dryRun     bool
}

// query returns the parameters of the request that proposes the revision after last.
func (p proposal) query(last uint64) url.Values {
	query := url.Values{"last": {strconv.FormatUint(last, 10)}, "author": {p.author}}
	if p.rollbackTo != "" {
		query.Set("back", p.rollbackTo)
	}
	if p.dryRun {
		query.Set("dry", "yes")
	}
	return query
}

// propose proposes a revision and waits until it alone is in force, but not longer than wait.
func propose(out io.Writer, client coordinatorClient, p proposal, wait time.Duration) error {
	known, err := client.revisions()
	if err != nil {
		return err
	}
	last := known.last
	if p.last >= 0 {
		last = uint64(p.last)
	}
	text, err := client.do(http.MethodPost, "/_apply?"+p.query(last).Encode(), p.text)
	if err != nil {
		return err
	}
	printf(out, "%s", text)
	var number uint64
	if _, err := fmt.Sscanf(text, "version %d", &number); p.dryRun || err != nil {
		return err
	}
	return waitInForce(out, client, number, wait)
}

// waitInForce waits until a revision alone is in force. It returns an error if the revision is withdrawn meanwhile, or
// not in force alone after wait.
func waitInForce(out io.Writer, client coordinatorClient, number uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for ; time.Now().Before(deadline); time.Sleep(waitPollInterval) {
		known, err := client.revisions()
		switch {
		case err != nil: // the leader may have failed, and another may take over
		case known.inForce == number:
			printf(out, "version %d is in force alone\n", number)
			return nil
		case known.last >= number && known.coming != number:
			return fmt.Errorf("version %d was withdrawn", number)
		}
	}
	if wait > 0 {
		return fmt.Errorf("version %d is agreed on, but not yet in force alone after %v", number, wait)
	}
	return nil
}
