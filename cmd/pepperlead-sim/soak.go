package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"pepperlead/internal/soak"
)

// soakOptions are the flags of the command soak.
type soakOptions struct {
	plan     string
	seed     uint64
	seeds    uint64
	parallel int
	daemon   string
	keep     string
	debug    bool
	asJSON   bool
	out      io.Writer
}

func soakCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "soak",
		Args:  cobra.NoArgs,
		Short: "Run daemons under faults of servers, clients and processes, and check the rules",
		Long: "Run daemons as processes of their own, with scripted servers and clients on loopback, under faults " +
			"that are drawn from a seed,\n" +
			"and check the rules of the protocol. Exit code 1 if one was broken; the commands that repeat the failed " +
			"runs are then printed.",
		Example: "  pepperlead-sim soak --seeds 50 --parallel 2\n  pepperlead-sim soak --plan crowd",
	}
	o := soakOptions{}
	c.Flags().StringVar(&o.plan, "plan", "mixed", "`name` of the plan: "+strings.Join(soak.Names(), ", "))
	c.Flags().Uint64Var(&o.seed, "seed", 1, "random seed of the first run")
	c.Flags().Uint64Var(&o.seeds, "seeds", 1, "number of runs, with consecutive seeds")
	c.Flags().IntVar(&o.parallel, "parallel", 1, "runs that are played at once")
	c.Flags().StringVar(&o.daemon, "daemon", "bin/pepperlead", "the daemon's `program`")
	c.Flags().StringVar(&o.keep, "keep", "", "`folder` in which configurations and logs are kept")
	c.Flags().BoolVar(&o.debug, "debug", false, "have the daemons log each event of each request")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print each result as a line of JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, stop := interruptContext()
		defer stop()
		o.out = c.OutOrStdout()
		return o.playAll(ctx)
	}
	return c
}

// playAll plays all runs. The error names the commands that repeat the failed ones.
func (o *soakOptions) playAll(ctx context.Context) error {
	var mu sync.Mutex // guards the output and failed
	var failed []string
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(1, o.parallel))
	for seed := o.seed; seed < o.seed+o.seeds && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			report, err := soak.Play(ctx, soak.Options{
				Program: o.daemon, Plan: o.plan, Seed: seed, Keep: o.keep, Debug: o.debug,
			})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = o.print(report)
			}
			if err != nil {
				failed = append(failed, fmt.Sprintf("pepperlead-sim soak --plan %s --seed %d: %v", o.plan, seed, err))
			}
		})
	}
	wait.Wait()
	if len(failed) > 0 {
		return errors.New("failed runs:\n" + strings.Join(failed, "\n"))
	}
	return ctx.Err()
}

// print prints the result of a run, and returns an error if a rule was broken.
func (o *soakOptions) print(r *soak.Report) error {
	if o.asJSON {
		if err := printJSON(o.out, r); err != nil {
			return err
		}
	} else {
		printf(o.out, "%s, seed %d, %d MB, %d descriptors: %d answered, %d late; results %v; ",
			r.Plan, r.Seed, r.Limits.MemoryMB, r.Limits.Descriptors, r.Answered, r.Late, r.Results)
		printf(o.out, "at most %.1f MB, %d open\n", float64(r.MaxMemoryKB)/1024, r.MaxOpen)
		for _, v := range r.Violations {
			printf(o.out, "  %8.3f %s: %s\n", v.At.Seconds(), v.Rule, v.Text)
		}
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d violations", len(r.Violations))
	}
	return nil
}
