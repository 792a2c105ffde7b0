package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"pepperlead/internal/faulttest"
)

// strangerCount is the number of processes with another cluster name or key that run beside the measured ones.
const strangerCount = 2

func drillCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "drill",
		Short: "Run fault-injection tests with several daemons",
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
		Short: "Measure how soon sidecars learn of killed, stalled and partitioned peers",
		Long: "Start sidecars of one cluster on loopback, connected through a fault proxy, and measure the packets, " +
			"bytes and CPU time of an\n" +
			"idle one. Then block a link in one direction, kill one sidecar, partition the others, heal the " +
			"partition, stall one, let one\n" +
			"leave, and start the killed one again. After each step, every running sidecar must see the right " +
			"number of sidecars alive.\n" +
			"Exit code 1 if that takes too long.",
		Example: "  pepperlead-sim drill peers --count 50",
	}
	var o drillPeersOptions
	c.Flags().IntVar(&o.count, "count", 5, "number of sidecars, at least 5")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "random seed")
	c.Flags().StringVar(&o.daemon, "daemon", "bin/pepperlead", "the daemon's `program`")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the result as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout()) }
	return c
}

// run starts the processes, injects the faults, and prints what was measured, even after a failure.
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
		Strangers: strangerCount,
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
		printf(out, "%6.1f s  %s (%d sidecars see %d alive)\n",
			step.Seconds, step.Name, step.Observers, step.ExpectedAlive)
	}
	printf(out, "an idle sidecar: %.1f packets and %.0f bytes sent per second, %.4f of a core; "+
		"%.0f false alarms in total\n",
		r.Packets, r.Bytes, r.CPU, r.FalseAlarms)
	printf(out, "the fault proxy itself added %.1f ms (99th percentile); clock readings were up to %.0f ms late\n",
		r.ProxyOverhead*1000, r.ClockLateness*1000)
}
