package main

import (
	"github.com/spf13/cobra"

	"pepperlead/internal/experiment"
)

func reportCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "report FOLDER",
		Args:    cobra.ExactArgs(1),
		Short:   "Write report.html into a folder, from the files that run or replay wrote there with --out",
		Example: "  pepperlead-sim report /tmp/monday",
	}
	asJSON := c.Flags().Bool("json", false, "print the file's path as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		path, err := experiment.Report(args[0])
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), map[string]string{"report": path})
		}
		printf(c.OutOrStdout(), "%s\n", path)
		return nil
	}
	return c
}
