package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"pepperlead/internal/faulttest"
)

// strangers is how many processes of another cluster or key run beside the measured ones.
const strangers = 2

func drillCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "drill",
		Short: "Start several processes of the program and break what lies between them",
	}
	c.AddCommand(drillPeersCommand(), drillPlayCommand())
	return c
}

// drillPeersOptions are the flags of the command drill peers.
type drillPeersOptions struct {
	count  int
	seed   uint64
	daemon string
	asJSON bool
}

func drillPeersCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "peers",
		Args:  cobra.NoArgs,
		Short: "Kills, stalls and partitions; how soon all that are left know who is there",
		Long: "Starts sidecars that know of each other, on loopback, with links between them. Measures what " +
			"an idle one sends and costs, then cuts a\n" +
			"link one way, kills one, cuts the company in two, heals it, stalls one, has one leave, and " +
			"starts the killed one again, each time\n" +
			"until all that are left know. Exit code 1 where they do not.",
		Example: "  pepperlead-sim drill peers --count 50",
	}
	var o drillPeersOptions
	c.Flags().IntVar(&o.count, "count", 5, "sidecars, 5 at least")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "names the drill")
	c.Flags().StringVar(&o.daemon, "daemon", "bin/pepperlead", "the daemon's `program`")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the result as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout()) }
	return c
}

// run starts the processes, plays the faults, and prints what was measured, also after a failure.
func (o *drillPeersOptions) run(out io.Writer) error {
	ctx, stop := interruptContext()
	defer stop()
	directory, err := os.MkdirTemp("", "drill")
	if err != nil {
		return err
	}
	defer removeAll(directory)
	stage, err := faulttest.StartStage(faulttest.StageConfig{
		Program:   o.daemon,
		Dir:       directory,
		Count:     o.count,
		Strangers: strangers,
		Instances: o.count,
		Seed:      o.seed,
	})
	if err != nil {
		return err
	}
	defer stage.Close()
	result, err := faulttest.RunPeersTest(ctx, stage, o.count)
	if o.asJSON {
		if failed := printJSON(out, result); failed != nil {
			return failed
		}
		return err
	}
	printPeers(out, result)
	return err
}

func printPeers(out io.Writer, r faulttest.PeersResult) {
	for _, step := range r.Steps {
		printf(out, "%6.1f s  %s (%d know of %d)\n", step.Seconds, step.Name, step.Observers, step.ExpectedAlive)
	}
	printf(out, "an idle one: %.1f packets and %.0f bytes a second sent, %.4f of a core; %.0f false alarms\n",
		r.Packets, r.Bytes, r.CPU, r.FalseAlarms)
	printf(out, "the links themselves took %.1f ms (99th percentile); the clock was looked at %.0f ms late at "+
		"the worst\n",
		r.ProxyOverhead*1000, r.ClockLateness*1000)
}
