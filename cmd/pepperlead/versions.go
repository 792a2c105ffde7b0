package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/coordinator"
	"pepperlead/internal/daemon"
)

func keepCommand() *cobra.Command {
	c := &cobra.Command{Use: "keep", Args: exactly(0), Short: "Keep versions of the rules, with other keepers, until SIGTERM",
		Long: `Keep versions of the rules that bind a cluster's sidecars. One keeper, three or five agree on their order and survive the
loss of none, one or two; whoever leads grants the sidecars leases on what is in force. docs/agreement.md.`,
		Example: "  pepperlead keep --config keeper.toml"}
	path := configFlag(c)
	c.RunE = func(*cobra.Command, []string) error {
		k, err := daemon.ReadCoordinatorConfig(*path)
		if err != nil {
			return err
		}
		log, err := daemon.NewLogger(k.LogLevel, k.LogFormat)
		if err != nil {
			return err
		}
		return daemon.RunCoordinator(k, log)
	}
	return c
}

const (
	leadIn    = 5 * time.Second // for the keepers to find one that leads
	leadAgain = 200 * time.Millisecond
)

// toKeepers is a call of the keepers' pages, at the one that leads.
func toKeepers(at, path, kind string, body []byte) (string, error) {
	client := http.Client{Timeout: 15 * time.Second}
	for asked, end := at, time.Now().Add(leadIn); time.Now().Before(end); {
		ask, err := http.NewRequest(kind, "http://"+at+path, bytes.NewReader(body))
		if err != nil {
			return "", err
		}
		answer, err := client.Do(ask)
		if dial := (*net.OpError)(nil); at != asked && errors.As(err, &dial) && dial.Op == "dial" {
			at = asked // who led is gone, and the others do not know yet: nothing was asked of it
			time.Sleep(leadAgain)
			continue
		}
		if err != nil {
			return "", err
		}
		text, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		switch leader := answer.Header.Get(coordinator.LeaderHeader); {
		case err != nil:
			return "", err
		case answer.StatusCode == http.StatusOK:
			return string(text), nil
		case answer.StatusCode == http.StatusMisdirectedRequest && leader != "":
			at = leader
		case answer.StatusCode == http.StatusServiceUnavailable && time.Now().Add(leadAgain).Before(end):
			time.Sleep(leadAgain) // the keepers look for one to lead
		default:
			return "", errors.New(strings.TrimSpace(string(text)))
		}
	}
	return "", fmt.Errorf("%s: who leads changes all the time: try again", at)
}

// standing is what is in force, coming, and latest.
func standing(at string) (inForce, coming, last uint64, all string, err error) {
	if all, err = toKeepers(at, "/_versions", http.MethodGet, nil); err == nil {
		_, err = fmt.Sscanf(all, "in force %d, coming %d, last %d,", &inForce, &coming, &last)
	}
	return inForce, coming, last, all, err
}

func applyCommand() *cobra.Command {
	c := &cobra.Command{Use: "apply FILE", Args: exactly(1), Short: "Have a cluster go by the rules in a file",
		Long: `Check the file, propose it as the next version of the rules, and wait until it alone is in force. It comes in two steps: first
whoever knows it goes by what both versions allow, then, once no lease is left on the old one alone, by the new.`,
		Example: "  pepperlead apply rules.toml --to 10.0.0.1:9005 --dry-run\n  pepperlead apply rules.toml --to 10.0.0.1:9005"}
	to := toFlag(c)
	dry := c.Flags().Bool("dry-run", false, "only say whether it could be applied")
	on := c.Flags().Int64("on", -1, "`number` of the version that you took for the latest (default the latest there is)")
	wait, author := waitFlag(c), authorFlag(c)
	c.RunE = func(c *cobra.Command, names []string) error {
		text, err := os.ReadFile(names[0])
		if err != nil {
			return err
		}
		if err := daemon.ValidateRules(names[0], text, nil); err != nil {
			return err
		}
		return change(c.OutOrStdout(), *to, *on, "", text, *author, *dry, *wait)
	}
	return c
}

func rollbackCommand() *cobra.Command {
	c := &cobra.Command{Use: "rollback N", Args: exactly(1), Short: "Have a cluster go by the rules of an earlier version again",
		Example: "  pepperlead rollback 6 --to 10.0.0.1:9005"}
	to, wait, author := toFlag(c), waitFlag(c), authorFlag(c)
	c.RunE = func(c *cobra.Command, words []string) error {
		if _, err := strconv.ParseUint(words[0], 10, 64); err != nil {
			return fmt.Errorf("rollback: found %q, allowed the number of a version; %w", words[0], errUsage)
		}
		return change(c.OutOrStdout(), *to, -1, words[0], nil, *author, false, *wait)
	}
	return c
}

func toFlag(c *cobra.Command) *string {
	return c.Flags().String("to", "127.0.0.1:9005", "`address` of a keeper's pages")
}

func waitFlag(c *cobra.Command) *time.Duration {
	return c.Flags().Duration("wait", 30*time.Second, "how long to wait until it alone is in force; 0: not at all")
}

func authorFlag(c *cobra.Command) *string {
	return c.Flags().String("author", os.Getenv("USER"), "`name` that the history shows")
}

// change proposes a version and waits for it. on: the latest that its author saw, or -1.
func change(out io.Writer, to string, on int64, back string, text []byte, author string, dry bool, wait time.Duration) error {
	_, _, last, _, err := standing(to)
	if err != nil {
		return err
	}
	if on >= 0 {
		last = uint64(on)
	}
	with := url.Values{"last": {strconv.FormatUint(last, 10)}, "author": {author}}
	if back != "" {
		with.Set("back", back)
	}
	if dry {
		with.Set("dry", "yes")
	}
	said, err := toKeepers(to, "/_apply?"+with.Encode(), http.MethodPost, text)
	if err != nil {
		return err
	}
	fmt.Fprint(out, said)
	var n uint64
	if _, err := fmt.Sscanf(said, "version %d", &n); dry || err != nil {
		return err
	}
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		inForce, coming, last, _, err := standing(to)
		switch {
		case err != nil: // it may be at its end, and another take over
		case inForce == n:
			fmt.Fprintf(out, "version %d is in force alone\n", n)
			return nil
		case last >= n && coming != n:
			return fmt.Errorf("version %d was withdrawn", n)
		}
	}
	if wait > 0 {
		return fmt.Errorf("version %d is agreed on, and after %v still not in force alone", n, wait)
	}
	return nil
}

func withdrawCommand() *cobra.Command {
	c := &cobra.Command{Use: "withdraw N", Args: exactly(1), Short: "Take back a version that is coming into force",
		Example: "  pepperlead withdraw 7 --to 10.0.0.1:9005"}
	to := toFlag(c)
	c.RunE = func(c *cobra.Command, words []string) error {
		said, err := toKeepers(*to, "/_withdraw?n="+url.QueryEscape(words[0]), http.MethodPost, nil)
		fmt.Fprint(c.OutOrStdout(), said)
		return err
	}
	return c
}

func versionsCommand() *cobra.Command {
	c := &cobra.Command{Use: "versions [N]", Args: usage(cobra.MaximumNArgs(1)), Short: "Print the versions that a keeper knows, or the text of one",
		Example: "  pepperlead versions --to 10.0.0.1:9005\n  pepperlead versions 7 --to 10.0.0.1:9005"}
	to := toFlag(c)
	c.RunE = func(c *cobra.Command, words []string) error {
		path := "/_versions"
		if len(words) > 0 {
			path += "/" + url.PathEscape(words[0])
		}
		said, err := toKeepers(*to, path, http.MethodGet, nil)
		fmt.Fprint(c.OutOrStdout(), said)
		return err
	}
	return c
}
