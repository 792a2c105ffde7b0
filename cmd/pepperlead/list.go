package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

func listCommand() *cobra.Command {
	c := &cobra.Command{Use: "list", Short: "Check and seal files that list servers",
		RunE: func(*cobra.Command, []string) error { return fmt.Errorf("list: check or seal; %w", errUsage) }}
	c.AddCommand(listCheckCommand(), listSealCommand())
	return c
}

// summary is what is told of a file that can be used.
type summary struct {
	File     string              `json:"file"`
	Problem  string              `json:"problem,omitempty"`
	Servers  int                 `json:"servers"`
	Ready    int                 `json:"ready"`
	Weight   float64             `json:"weight"`
	Issue    endpointfiles.Issue `json:"issue,omitempty"`
	Sealed   bool                `json:"sealed"`
	TakeAway int                 `json:"takes_away,omitempty"`
}

func sum(f endpointfiles.File) summary {
	s := summary{File: f.Name, Problem: f.Problem, Servers: len(f.Entries), Issue: f.Issue, Sealed: f.Sealed, TakeAway: f.Removes}
	for _, e := range f.Entries {
		if e.Status == policy.Ready {
			s.Ready++
			s.Weight += e.Weight
		}
	}
	return s
}

func (s summary) print(out io.Writer) {
	if s.Problem != "" {
		fmt.Fprintln(out, s.Problem)
		return
	}
	seal := "not sealed"
	if s.Sealed {
		seal = "sealed"
	}
	fmt.Fprintf(out, "%s: %d servers, %d ready with a weight of %g, issue %d, %s\n", s.File, s.Servers, s.Ready, s.Weight, s.Issue, seal)
}

func listCheckCommand() *cobra.Command {
	c := &cobra.Command{Use: "check FILE...", Args: atLeast(1), Short: "Say whether list files are whole, alone and taken together",
		Long: `Say whether list files are whole, each alone and all of them taken as one list. Exit code 1 if anything would keep a daemon
from taking them; whether they are newer than what a daemon has, and take away too much of it, only that daemon can say.`,
		Example: "  pepperlead list check /etc/pepperlead/servers.d/*.toml"}
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, names []string) error {
		var files []endpointfiles.File
		var all []summary
		for _, name := range names {
			text, err := discovery.ReadFile(name)
			if err != nil {
				return err
			}
			f := endpointfiles.Parse(name, text)
			files, all = append(files, f), append(all, sum(f))
		}
		why := endpointfiles.Join(files)
		if *asJSON {
			return errors.Join(json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"usable": why == "", "why": why, "files": all}),
				unusable(why))
		}
		for _, s := range all {
			if s.Problem == "" {
				s.print(c.OutOrStdout())
			}
		}
		return unusable(why)
	}
	return c
}

func unusable(why string) error {
	if why == "" {
		return nil
	}
	return fmt.Errorf("the list cannot be used\n%s", why)
}

func listSealCommand() *cobra.Command {
	c := &cobra.Command{Use: "seal FILE", Args: exactly(1), Short: "Write count, issue and digest of a list file anew",
		Long: `Write the closing table of a list file anew: the count of its servers, an issue one higher than it had, and a digest over all
of it. What stands above stays as it is. The file is replaced whole, or not at all.`,
		Example: "  pepperlead list seal /etc/pepperlead/servers.toml\n  pepperlead list seal --takes-away 12 /etc/pepperlead/servers.toml"}
	issue := c.Flags().Int64("issue", 0, "`number` of this issue (default one more than the file has)")
	away := c.Flags().Int("takes-away", 0, "ready servers that this issue takes away on purpose, beyond the part allowed")
	c.RunE = func(c *cobra.Command, names []string) error {
		if *issue < 0 || *issue > 1<<53 || *away < 0 || *away > 1<<20 {
			return fmt.Errorf("issue and takes-away: found %d and %d, allowed from 0 up; %w", *issue, *away, errUsage)
		}
		text, err := discovery.ReadFile(names[0])
		if err != nil {
			return err
		}
		sealed, f, err := endpointfiles.Seal(names[0], text, endpointfiles.Issue(*issue), *away)
		if err != nil {
			return err
		}
		if now, err := os.ReadFile(names[0]); err != nil || string(now) != string(text) {
			return errors.Join(err, fmt.Errorf("%s: it has changed meanwhile: nothing was written", names[0]))
		}
		if err := snapshot.Replace(names[0], sealed); err != nil {
			return err
		}
		sum(f).print(c.OutOrStdout())
		return nil
	}
	return c
}
