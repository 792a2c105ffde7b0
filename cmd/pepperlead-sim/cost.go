package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/benchmark"
)

// helperCommands returns the hidden commands that benchmarks start as processes of their own.
func helperCommands() []*cobra.Command {
	backend := &cobra.Command{Use: "backend ADDRESS", Hidden: true, Args: cobra.ExactArgs(1)}
	backend.RunE = func(_ *cobra.Command, args []string) error { return benchmark.ServeBackend(args[0]) }
	plain := &cobra.Command{Use: "plain ADDRESS SERVER...", Hidden: true, Args: cobra.MinimumNArgs(2)}
	plain.RunE = func(_ *cobra.Command, args []string) error { return benchmark.ServePlainProxy(args[0], args[1:]) }
	return []*cobra.Command{backend, plain}
}

// costOptions are the flags of the command cost.
type costOptions struct {
	daemons  []string
	products []string
	clients  []int
	rounds   int
	duration time.Duration
	asJSON   bool
}

func costCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "cost --daemon LABEL=PROGRAM...",
		Args:  cobra.NoArgs,
		Short: "Measure CPU time and latency of requests through daemons and the standard library's reverse proxy",
		Example: "  pepperlead-sim cost --daemon now=bin/pepperlead --clients 1,16 --rounds 5 --each 3s\n" +
			"  pepperlead-sim cost --daemon before=/path/to/an/earlier/pepperlead --daemon now=bin/pepperlead",
	}
	var o costOptions
	c.Flags().StringArrayVar(&o.daemons, "daemon", []string{"now=bin/pepperlead"},
		"`label=program` of a daemon; may be repeated to measure several side by side")
	c.Flags().StringArrayVar(&o.products, "product", nil,
		"`label=program=file` of a daemon with a TOML configuration of the product instead of the platform's JSON; "+
			"the text of the file, such as a [peers] table, is added to the configuration; may be repeated")
	c.Flags().IntSliceVar(&o.clients, "clients", []int{1, 16}, "numbers of concurrent clients")
	c.Flags().IntVar(&o.rounds, "rounds", 5,
		"number of rounds; each of them measures every daemon and the plain proxy once")
	c.Flags().DurationVar(&o.duration, "each", 3*time.Second,
		"how long each daemon, and the plain proxy, is measured in a round")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print every round as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout()) }
	return c
}

// run measures every subject with each number of clients.
func (o *costOptions) run(out io.Writer) error {
	ctx, stop := interruptContext()
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "pepperlead-sim")
	if err != nil {
		return err
	}
	defer removeAll(directory)
	subjects, err := (&subjectStarter{ctx: ctx, directory: directory, self: self}).all(o.daemons, o.products)
	if err != nil {
		return err
	}
	var all []benchmark.Cost
	for _, count := range o.clients {
		costs, err := benchmark.Run(ctx, self, subjects, count, o.rounds, o.duration)
		if err != nil {
			return err
		}
		all = append(all, costs...)
		if !o.asJSON {
			printCosts(out, subjects, costs, count, o.duration)
		}
	}
	if o.asJSON {
		return printJSON(out, all)
	}
	return nil
}

// subjectStarter creates the subjects of a benchmark, which are the programs that it measures side by side.
type subjectStarter struct {
	ctx       context.Context
	directory string // where the daemons' configurations are written
	self      string // path of this program
}

// all returns all subjects: the plain proxy, to which the others are compared, then daemons with the platform's
// configuration and with the product's.
func (s *subjectStarter) all(daemons, products []string) ([]benchmark.Subject, error) {
	subjects := []benchmark.Subject{s.plainProxy()}
	for _, daemon := range daemons {
		label, program, found := strings.Cut(daemon, "=")
		if !found {
			return nil, fmt.Errorf("--daemon: found %q, allowed label=program", daemon)
		}
		subjects = append(subjects, s.daemon(label, program, benchmark.PlatformJSON))
	}
	for _, product := range products {
		parts := strings.Split(product, "=")
		if len(parts) != 3 {
			return nil, fmt.Errorf("--product: found %q, allowed label=program=file", product)
		}
		extra, err := os.ReadFile(parts[2])
		if err != nil {
			return nil, err
		}
		configuration := func(listen string, endpoints []string) []byte {
			return benchmark.ProductTOML(listen, endpoints, string(extra))
		}
		subjects = append(subjects, s.daemon(parts[0], parts[1], configuration))
	}
	return subjects, nil
}

func (s *subjectStarter) plainProxy() benchmark.Subject {
	start := func(listen string, endpoints []string) (*exec.Cmd, error) {
		process := exec.CommandContext(s.ctx, s.self, append([]string{"plain", listen}, endpoints...)...)
		return process, process.Start()
	}
	return benchmark.Subject{Label: "plain proxy", Start: start}
}

func (s *subjectStarter) daemon(label, program string,
	configuration func(listen string, endpoints []string) []byte) benchmark.Subject {
	start := func(listen string, endpoints []string) (*exec.Cmd, error) {
		path := filepath.Join(s.directory, label)
		if err := os.WriteFile(path, configuration(listen, endpoints), 0o600); err != nil {
			return nil, err
		}
		process := exec.CommandContext(s.ctx, program, "serve", "-config", path, "-log", "error")
		// The platform settings of this process's environment must not reach the daemon.
		isPlatform := func(variable string) bool { return strings.HasPrefix(variable, "GW_") }
		process.Env = slices.DeleteFunc(os.Environ(), isPlatform)
		process.Stderr = os.Stderr
		return process, process.Start()
	}
	return benchmark.Subject{Label: label, Start: start}
}

// printCosts prints the medians of each subject's rounds, and the most failures of a round.
func printCosts(
	out io.Writer,
	subjects []benchmark.Subject,
	costs []benchmark.Cost,
	clients int,
	duration time.Duration,
) {
	var plainCPU time.Duration
	for _, subject := range subjects {
		var cpu, p50, p99 []time.Duration
		var requests, failed, rss []int
		for _, cost := range costs {
			if cost.Subject != subject.Label {
				continue
			}
			cpu = append(cpu, cost.CPU)
			p50 = append(p50, cost.P50)
			p99 = append(p99, cost.P99)
			requests = append(requests, cost.Requests)
			failed = append(failed, cost.Failed)
			rss = append(rss, cost.RSS)
		}
		if plainCPU == 0 {
			plainCPU = median(cpu)
		}
		printf(out, "%3d clients  %-12s CPU %6.1f us/request (%.2f of plain)  p50 %7v  p99 %7v  %6.0f "+
			"requests/s  failed %d  RSS %.1f MB\n",
			clients, subject.Label, float64(median(cpu))/1e3, float64(median(cpu))/float64(max(1, plainCPU)),
			median(p50).Round(time.Microsecond), median(p99).Round(time.Microsecond),
			float64(median(requests))/duration.Seconds(), slices.Max(failed), float64(median(rss))/1024)
	}
}

func median[T ~int | ~int64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// removeAll removes a temporary directory. Errors are ignored: the system cleans up temporary directories.
func removeAll(directory string) { _ = os.RemoveAll(directory) }
