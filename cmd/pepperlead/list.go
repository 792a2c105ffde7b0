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

const (
	maxIssue   = 1 << 53 // JSON numbers hold integers exactly up to this one
	maxRemoved = 1 << 20
)

func listCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "list",
		Short: "Check and seal endpoint list files",
		RunE: func(*cobra.Command, []string) error {
			return fmt.Errorf("list: found no subcommand, allowed check or seal; %w", errUsage)
		},
	}
	c.AddCommand(listCheckCommand(), listSealCommand())
	return c
}

// fileSummary is what the commands list check and list seal print about one list file.
type fileSummary struct {
	File    string              `json:"file"`
	Problem string              `json:"problem,omitempty"`
	Servers int                 `json:"servers"`
	Ready   int                 `json:"ready"`
	Weight  float64             `json:"weight"`
	Issue   endpointfiles.Issue `json:"issue,omitempty"`
	Sealed  bool                `json:"sealed"`
	Removes int                 `json:"takes_away,omitempty"`
}

// checkResult is the result of checking list files, as it is printed in JSON. Its keys are in alphabetical order.
type checkResult struct {
	Files  []fileSummary `json:"files"`
	Usable bool          `json:"usable"`
	Why    string        `json:"why"`
}

func summarize(f endpointfiles.File) fileSummary {
	s := fileSummary{
		File:    f.Name,
		Problem: f.Problem,
		Servers: len(f.Entries),
		Issue:   f.Issue,
		Sealed:  f.Sealed,
		Removes: f.Removes,
	}
	for _, entry := range f.Entries {
		if entry.Status == policy.Ready {
			s.Ready++
			s.Weight += entry.Weight
		}
	}
	return s
}

func (s fileSummary) print(out io.Writer) {
	if s.Problem != "" {
		printf(out, "%s\n", s.Problem)
		return
	}
	seal := "not sealed"
	if s.Sealed {
		seal = "sealed"
	}
	printf(out, "%s: %d servers, %d ready with a weight of %g, issue %d, %s\n",
		s.File, s.Servers, s.Ready, s.Weight, s.Issue, seal)
}

func listCheckCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "check FILE...",
		Args:  atLeast(1),
		Short: "Check endpoint list files, each alone and all together",
		Long: "Check whether endpoint list files are complete and valid, each alone and all of them as one list. " +
			"The exit code is 1 if a\n" +
			"sidecar would reject them. Two conditions depend on the list that a sidecar has, and are not " +
			"checked: the files must be newer\n" +
			"than that list, and must not remove too much of it.",
		Example: "  pepperlead list check /etc/pepperlead/servers.d/*.toml",
	}
	asJSON := c.Flags().Bool("json", false, "print the result as one JSON object")
	c.RunE = func(c *cobra.Command, paths []string) error {
		return checkLists(c.OutOrStdout(), paths, *asJSON)
	}
	return c
}

// checkLists checks list files, each alone and all of them as one list.
func checkLists(out io.Writer, paths []string, asJSON bool) error {
	var files []endpointfiles.File
	var summaries []fileSummary
	for _, path := range paths {
		text, err := discovery.ReadFile(path)
		if err != nil {
			return err
		}
		file := endpointfiles.Parse(path, text)
		files = append(files, file)
		summaries = append(summaries, summarize(file))
	}
	problems := endpointfiles.Join(files)
	if asJSON {
		result := checkResult{Files: summaries, Usable: problems == "", Why: problems}
		return errors.Join(json.NewEncoder(out).Encode(result), unusable(problems))
	}
	for _, s := range summaries {
		if s.Problem == "" {
			s.print(out)
		}
	}
	return unusable(problems)
}

func unusable(problems string) error {
	if problems == "" {
		return nil
	}
	return fmt.Errorf("the list cannot be used\n%s", problems)
}

func listSealCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "seal FILE",
		Args:  exactly(1),
		Short: "Seal an endpoint list file: update its count, issue number and digest",
		Long: "Update the closing table of an endpoint list file: the count of its servers, an issue number one " +
			"higher than before, and a\n" +
			"digest of the file. The text above the table is not changed. The file is replaced atomically, or " +
			"not at all.",
		Example: "  pepperlead list seal /etc/pepperlead/servers.toml\n" +
			"  pepperlead list seal --takes-away 12 /etc/pepperlead/servers.toml",
	}
	issue := c.Flags().Int64("issue", 0, "`number` of this issue (default one more than the file has)")
	removes := c.Flags().Int("takes-away", 0,
		"number of ready servers that this issue removes on purpose; needed to remove more than the share that "+
			"source.may_take_away allows")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *issue < 0 || *issue > maxIssue || *removes < 0 || *removes > maxRemoved {
			return fmt.Errorf("--issue and --takes-away: found %d and %d, allowed numbers from 0 up; %w",
				*issue, *removes, errUsage)
		}
		file, err := sealList(args[0], endpointfiles.Issue(*issue), *removes)
		if err != nil {
			return err
		}
		summarize(file).print(c.OutOrStdout())
		return nil
	}
	return c
}

// sealList seals a list file in place, unless another program changes it meanwhile.
func sealList(path string, issue endpointfiles.Issue, removes int) (endpointfiles.File, error) {
	text, err := discovery.ReadFile(path)
	if err != nil {
		return endpointfiles.File{}, err
	}
	sealed, file, err := endpointfiles.Seal(path, text, issue, removes)
	if err != nil {
		return endpointfiles.File{}, err
	}
	if current, err := os.ReadFile(path); err != nil || string(current) != string(text) {
		return endpointfiles.File{}, errors.Join(err,
			fmt.Errorf("%s: another program changed the file meanwhile: nothing was written", path))
	}
	return file, snapshot.Replace(path, sealed)
}
