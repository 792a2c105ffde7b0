package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pepperlead/internal/benchmark"
	"pepperlead/internal/freeport"
)

func listsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "lists",
		Args:    cobra.NoArgs,
		Short:   "Measure how long a list of servers takes to be read, checked and dealt",
		Example: "  pepperlead-sim lists --servers 300,5000",
	}
	sizes := c.Flags().IntSlice("servers", []int{10, 300, 5000}, "sizes of the list")
	rounds := c.Flags().Int("rounds", 5, "rounds, of which the least is told")
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var costs []benchmark.ListCost
		for _, size := range *sizes {
			cost := benchmark.MeasureListCost(size, *rounds)
			costs = append(costs, cost)
			if !*asJSON {
				printf(
					c.OutOrStdout(),
					"%6d servers, %8d bytes: parse %v, weigh %v, deal %v on the loop, the same again %v\n",
					cost.Endpoints,
					cost.Bytes,
					cost.Parse,
					cost.Evaluate,
					cost.Assign,
					cost.Reassign,
				)
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), costs)
		}
		return nil
	}
	return c
}

// loopback is the IP address of the processes that are measured.
const loopback = "127.0.0.1"

// standaloneDaemon is a daemon with a list of its own.
type standaloneDaemon struct {
	process   *exec.Cmd
	listen    string
	directory string
}

// startStandalone starts a daemon on a list of so many endpoints, the first ones at the addresses.
func startStandalone(program string, endpoints int, addresses []string, extra string) (*standaloneDaemon, error) {
	directory, err := os.MkdirTemp("", "pepperlead-sim")
	if err != nil {
		return nil, err
	}
	listen, err := freeport.ChooseAddress(loopback)
	if err != nil {
		return nil, err
	}
	d := &standaloneDaemon{listen: listen, directory: directory}
	path, err := benchmark.WriteStandaloneConfig(directory, d.listen, endpoints, addresses, extra)
	if err != nil {
		return nil, err
	}
	d.process = exec.Command(program, "serve", "--config", path, "--log", "error")
	d.process.Stderr = os.Stderr
	return d, d.process.Start()
}

func (d *standaloneDaemon) stop() {
	benchmark.Kill(d.process)
	removeAll(d.directory)
}

func followCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "follow",
		Args:  cobra.NoArgs,
		Short: "Measure the time from a list file's change to the first push that follows it",
	}
	program := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	rounds := c.Flags().Int("rounds", 40, "changes")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, sealed := range []bool{true, false} {
			delays, err := follow(*program, *rounds, sealed)
			if err != nil {
				return err
			}
			slices.Sort(delays)
			printf(c.OutOrStdout(), "sealed %-5v: %d changes, median %v, 90%% %v, most %v\n", sealed, len(delays),
				delays[len(delays)/2], delays[len(delays)*9/10], delays[len(delays)-1])
		}
		return nil
	}
	return c
}

func follow(program string, rounds int, sealed bool) ([]time.Duration, error) {
	daemon, err := startStandalone(program, 2, nil, "")
	if err != nil {
		return nil, err
	}
	defer daemon.stop()
	return benchmark.MeasureListDelay(daemon.listen, filepath.Join(daemon.directory, "servers.toml"), rounds, sealed)
}

// settleTime lets a daemon's memory settle before it is read.
const settleTime = 2 * time.Second

func memoryCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "memory",
		Args:  cobra.NoArgs,
		Short: "Measure the daemon's memory with lists of several sizes",
	}
	program := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	sizes := c.Flags().IntSlice("servers", []int{10, 300, 5000}, "sizes of the list")
	admin := c.Flags().Bool("admin", false, "with an admin address, scraped once")
	c.RunE = func(c *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		address, err := freeport.ChooseAddress(loopback)
		if err != nil {
			return err
		}
		backend := exec.Command(self, "backend", address)
		if err := backend.Start(); err != nil {
			return err
		}
		defer benchmark.Kill(backend)
		for _, size := range *sizes {
			rss, err := measureMemory(*program, size, address, *admin)
			if err != nil {
				return fmt.Errorf("%d servers: %w", size, err)
			}
			printf(c.OutOrStdout(), "%6d servers: RSS %.1f MB\n", size, float64(rss)/1024)
		}
		return nil
	}
	return c
}

// measureMemory returns the memory, in KiB, of a daemon with a list of so many endpoints, the first one at the
// backend's address, and with an admin address if asked for.
func measureMemory(program string, endpoints int, backend string, admin bool) (rss int, err error) {
	extra := ""
	if admin {
		address, err := freeport.ChooseAddress(loopback)
		if err != nil {
			return 0, err
		}
		extra = fmt.Sprintf("[pages]\nlisten = %q\n", address)
	}
	addresses := loopbackAddresses(endpoints, backend[strings.LastIndexByte(backend, ':')+1:])
	addresses[0] = backend
	daemon, err := startStandalone(program, endpoints, addresses, extra)
	if err != nil {
		return 0, err
	}
	defer daemon.stop()
	notReady := benchmark.WaitReady(daemon.listen, 10*time.Second)
	time.Sleep(settleTime)
	rss, err = benchmark.RSS(daemon.process.Process.Pid)
	return rss, errors.Join(notReady, err)
}

// loopbackAddresses returns different loopback addresses with one port.
func loopbackAddresses(count int, port string) []string {
	const perNumber = 250 // hosts, and nets, for each number of an address
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = fmt.Sprintf(
			"127.%d.%d.%d:%s",
			2+i/(perNumber*perNumber),
			i/perNumber%perNumber,
			1+i%perNumber,
			port,
		)
	}
	return addresses
}
