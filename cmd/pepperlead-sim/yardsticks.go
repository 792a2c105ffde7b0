package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/benchmark"
)

// hidden are the processes that measurements start.
func hidden() []*cobra.Command {
	return []*cobra.Command{
		{Use: "backend ADDRESS", Hidden: true, Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return benchmark.Backend(args[0]) }},
		{Use: "plain ADDRESS SERVER...", Hidden: true, Args: cobra.MinimumNArgs(2),
			RunE: func(_ *cobra.Command, args []string) error { return benchmark.Plain(args[0], args[1:]) }},
	}
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func median[T ~int | ~int64](all []T) T {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[len(all)/2]
}

func costCommand() *cobra.Command {
	c := &cobra.Command{Use: "cost --daemon LABEL=PROGRAM...", Args: cobra.NoArgs,
		Short: "Measure what a ticket costs daemons and a plain proxy of the standard library, side by side",
		Example: "  pepperlead-sim cost --daemon now=bin/pepperlead --clients 1,16 --rounds 5 --each 3s\n" +
			"  pepperlead-sim cost --daemon before=/path/to/an/earlier/pepperlead --daemon now=bin/pepperlead"}
	daemons := c.Flags().StringArray("daemon", []string{"now=bin/pepperlead"}, "a daemon's `label=program`; several are measured side by side")
	products := c.Flags().StringArray("product", nil, "a `label=program=file`: by the product's configuration, with what the file adds to it, as [peers]")
	clients := c.Flags().IntSlice("clients", []int{1, 16}, "clients at once")
	rounds := c.Flags().Int("rounds", 5, "rounds, in each of which every subject is measured once")
	each := c.Flags().Duration("each", 3*time.Second, "how long each is measured")
	asJSON := c.Flags().Bool("json", false, "print every round as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer end()
		self, err := os.Executable()
		if err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "pepperlead-sim")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		subjects := []benchmark.Subject{{Label: "plain proxy", Start: func(listen string, servers []string) (*exec.Cmd, error) {
			p := exec.CommandContext(ctx, self, append([]string{"plain", listen}, servers...)...)
			return p, p.Start()
		}}}
		subject := func(label, program string, text func(listen string, servers []string) []byte) {
			subjects = append(subjects, benchmark.Subject{Label: label, Start: func(listen string, servers []string) (*exec.Cmd, error) {
				path := filepath.Join(dir, label)
				if err := os.WriteFile(path, text(listen, servers), 0o600); err != nil {
					return nil, err
				}
				p := exec.CommandContext(ctx, program, "serve", "-config", path, "-log", "error")
				p.Env = slices.DeleteFunc(os.Environ(), func(e string) bool { return strings.HasPrefix(e, "GW_") })
				p.Stderr = os.Stderr
				return p, p.Start()
			}})
		}
		for _, d := range *daemons {
			label, program, ok := strings.Cut(d, "=")
			if !ok {
				return fmt.Errorf("--daemon: found %q, allowed label=program", d)
			}
			subject(label, program, benchmark.PlatformJSON)
		}
		for _, d := range *products {
			parts := strings.Split(d, "=")
			if len(parts) != 3 {
				return fmt.Errorf("--product: found %q, allowed label=program=file", d)
			}
			more, err := os.ReadFile(parts[2])
			if err != nil {
				return err
			}
			subject(parts[0], parts[1], func(listen string, servers []string) []byte {
				return benchmark.ProductTOML(listen, servers, string(more))
			})
		}
		var all []benchmark.Cost
		for _, n := range *clients {
			got, err := benchmark.Run(ctx, self, subjects, n, *rounds, *each)
			if err != nil {
				return err
			}
			all = append(all, got...)
			if *asJSON {
				continue
			}
			var base time.Duration
			for _, s := range subjects {
				var cpu, p50, p99 []time.Duration
				var tickets, failed, rss []int
				for _, g := range got {
					if g.Subject == s.Label {
						cpu, p50, p99 = append(cpu, g.CPU), append(p50, g.P50), append(p99, g.P99)
						tickets, failed, rss = append(tickets, g.Tickets), append(failed, g.Failed), append(rss, g.RSS)
					}
				}
				if base == 0 {
					base = median(cpu)
				}
				fmt.Fprintf(c.OutOrStdout(), "%3d clients  %-12s CPU %6.1f us (%.2f of plain)  p50 %7v  p99 %7v  %6.0f tickets/s  failed %d  RSS %.1f MB\n",
					n, s.Label, float64(median(cpu))/1e3, float64(median(cpu))/float64(max(1, base)), median(p50).Round(time.Microsecond),
					median(p99).Round(time.Microsecond), float64(median(tickets))/each.Seconds(), slices.Max(failed),
					float64(median(rss))/1024)
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), all)
		}
		return nil
	}
	return c
}

func listsCommand() *cobra.Command {
	c := &cobra.Command{Use: "lists", Args: cobra.NoArgs, Short: "Measure how long a list of servers takes to be read, checked and dealt",
		Example: "  pepperlead-sim lists --servers 300,5000"}
	servers := c.Flags().IntSlice("servers", []int{10, 300, 5000}, "sizes of the list")
	rounds := c.Flags().Int("rounds", 5, "rounds, of which the least is told")
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var all []benchmark.ListCost
		for _, n := range *servers {
			one := benchmark.ReadLists(n, *rounds)
			all = append(all, one)
			if !*asJSON {
				fmt.Fprintf(c.OutOrStdout(), "%6d servers, %8d bytes: parse %v, weigh %v, deal %v on the loop, the same again %v\n", one.Servers,
					one.Bytes, one.Parse, one.Weigh, one.Deal, one.Again)
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), all)
		}
		return nil
	}
	return c
}

// standalone starts a daemon on a list of its own and gives the folder.
func standalone(program string, servers int, addrs []string, extra string) (p *exec.Cmd, listen, dir string, err error) {
	listen = benchmark.Free()
	if dir, err = os.MkdirTemp("", "pepperlead-sim"); err != nil {
		return nil, "", "", err
	}
	path, err := benchmark.Standalone(dir, listen, servers, addrs, extra)
	if err != nil {
		return nil, "", dir, err
	}
	p = exec.Command(program, "serve", "--config", path, "--log", "error")
	p.Stderr = os.Stderr
	return p, listen, dir, p.Start()
}

func followCommand() *cobra.Command {
	c := &cobra.Command{Use: "follow", Args: cobra.NoArgs,
		Short: "Measure the time from a list file's change to the first push that follows it"}
	program := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	rounds := c.Flags().Int("rounds", 40, "changes")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, seal := range []bool{true, false} {
			p, listen, dir, err := standalone(*program, 2, nil, "")
			if err != nil {
				return err
			}
			all, err := benchmark.Follow(listen, filepath.Join(dir, "servers.toml"), *rounds, seal)
			p.Process.Kill()
			p.Wait()
			os.RemoveAll(dir)
			if err != nil {
				return err
			}
			slices.Sort(all)
			fmt.Fprintf(c.OutOrStdout(), "sealed %-5v: %d changes, median %v, 90%% %v, most %v\n", seal, len(all), all[len(all)/2],
				all[len(all)*9/10], all[len(all)-1])
		}
		return nil
	}
	return c
}

func memoryCommand() *cobra.Command {
	c := &cobra.Command{Use: "memory", Args: cobra.NoArgs, Short: "Measure the daemon's memory with lists of several sizes"}
	program := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	servers := c.Flags().IntSlice("servers", []int{10, 300, 5000}, "sizes of the list")
	admin := c.Flags().Bool("admin", false, "with an admin address, scraped once")
	c.RunE = func(c *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		backend := benchmark.Free()
		b := exec.Command(self, "backend", backend)
		if err := b.Start(); err != nil {
			return err
		}
		defer func() { b.Process.Kill(); b.Wait() }()
		for _, n := range *servers {
			extra, at := "", benchmark.Free()
			if *admin {
				extra = fmt.Sprintf("[pages]\nlisten = %q\n", at)
			}
			addrs := make([]string, n)
			for i := range addrs {
				addrs[i] = fmt.Sprintf("127.%d.%d.%d:%s", 2+i/62500, i/250%250, 1+i%250, backend[strings.LastIndexByte(backend, ':')+1:])
			}
			addrs[0] = backend
			p, listen, dir, err := standalone(*program, n, addrs, extra)
			if err != nil {
				return err
			}
			err = benchmark.Ready(listen, 10*time.Second)
			time.Sleep(2 * time.Second)
			rss, err2 := benchmark.RSS(p.Process.Pid)
			p.Process.Kill()
			p.Wait()
			os.RemoveAll(dir)
			if err != nil || err2 != nil {
				return fmt.Errorf("%d servers: %v %v", n, err, err2)
			}
			fmt.Fprintf(c.OutOrStdout(), "%6d servers: RSS %.1f MB\n", n, float64(rss)/1024)
		}
		return nil
	}
	return c
}
