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
		Short:   "Measure how long it takes to parse, check and apply an endpoint list",
		Example: "  pepperlead-sim lists --servers 300,5000",
	}
	sizes := c.Flags().IntSlice("servers", []int{10, 300, 5000}, "sizes of the list, in endpoints")
	rounds := c.Flags().Int("rounds", 5, "number of rounds; the shortest time of each step is printed")
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var costs []benchmark.ListCost
		for _, size := range *sizes {
			cost := benchmark.MeasureListCost(size, *rounds)
			costs = append(costs, cost)
			if !*asJSON {
				printf(
					c.OutOrStdout(),
					"%6d endpoints, %8d bytes: parse %v, evaluate %v, apply on the loop %v, "+
						"apply the same list again %v\n",
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

// loopback is the IP address of the measured processes.
const loopback = "127.0.0.1"

// standaloneDaemon is a daemon that reads its endpoints from a list file.
type standaloneDaemon struct {
	process   *exec.Cmd
	listen    string // address
	directory string // of the configuration and the list file
}

// startStandalone starts a daemon with a list of the given number of endpoints, of which the first ones have the given
// addresses. extra is added to the configuration.
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
		Short: "Measure the time from a change of a list file to the first attempt that is based on it",
		Long: "Measure the time from a change of a list file to the first attempt that is based on it, for " +
			"lists that end with a digest\n" +
			"(sealed) and for lists without one.",
	}
	program := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	rounds := c.Flags().Int("rounds", 40, "number of changes")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, sealed := range []bool{true, false} {
			delays, err := follow(*program, *rounds, sealed)
			if err != nil {
				return err
			}
			slices.Sort(delays)
			printf(c.OutOrStdout(), "sealed %-5v: %d changes, median %v, 90th percentile %v, maximum %v\n",
				sealed, len(delays),
				delays[len(delays)/2], delays[len(delays)*9/10], delays[len(delays)-1])
		}
		return nil
	}
	return c
}

// follow measures how long a daemon takes to apply changes of a list file; sealed lists end with a digest.
func follow(program string, rounds int, sealed bool) ([]time.Duration, error) {
	daemon, err := startStandalone(program, 2, nil, "")
	if err != nil {
		return nil, err
	}
	defer daemon.stop()
	return benchmark.MeasureListDelay(daemon.listen, filepath.Join(daemon.directory, "servers.toml"), rounds, sealed)
}

// settleTime is the wait before a daemon's memory is read, so that its use of memory has settled.
const settleTime = 2 * time.Second

func memoryCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "memory",
		Args:  cobra.NoArgs,
		Short: "Measure the daemon's memory with lists of several sizes",
	}
	program := c.Flags().String("daemon", "bin/pepperlead", "the daemon's `program`")
	sizes := c.Flags().IntSlice("servers", []int{10, 300, 5000}, "sizes of the list, in endpoints")
	admin := c.Flags().Bool("admin", false, "configure an admin address for the daemon")
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
				return fmt.Errorf("%d endpoints: %w", size, err)
			}
			printf(c.OutOrStdout(), "%6d endpoints: RSS %.1f MB\n", size, float64(rss)/1024)
		}
		return nil
	}
	return c
}

// measureMemory returns the memory, in KiB, of a daemon with a list of the given number of endpoints. The first of
// them is at the address backend. With admin set, the daemon has an admin address.
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

// loopbackAddresses returns distinct loopback addresses with the same port.
func loopbackAddresses(count int, port string) []string {
	const perByte = 250 // values used of each byte of an address
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = fmt.Sprintf(
			"127.%d.%d.%d:%s",
			2+i/(perByte*perByte),
			i/perByte%perByte,
			1+i%perByte,
			port,
		)
	}
	return addresses
}
