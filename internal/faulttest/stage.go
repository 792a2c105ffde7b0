// Package faulttest starts several processes of the program on loopback, each at an address of its own, with links
// between them that can be blocked, and injects faults such as kills, stalls and partitions. See docs/rehearsing.md,
// "Drills".
package faulttest

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"pepperlead/internal/faultproxy"
)

// Stage holds the processes of a test and the links between them. Its directory holds their configurations and logs.
type Stage struct {
	Links     *faultproxy.Network
	Processes []*Process
	directory string
	program   string
	client    *http.Client // for pages of the processes
}

// StageConfig configures a Stage.
type StageConfig struct {
	Program   string
	Dir       string // must exist
	Count     int
	Strangers int // processes that must fail to join: they have, in turn, another key or another cluster name
	Instances int // number of instances that the configurations state; may differ from Count
	Seed      uint64
}

const (
	metricsTimeout = 2 * time.Second
	pollInterval   = 20 * time.Millisecond

	clusterName         = "drill"
	strangerClusterName = "another"
	joinAddresses       = 3 // number of processes at whose addresses all others join
)

func newStage(program, directory string, seed uint64) *Stage {
	return &Stage{
		Links:     faultproxy.New(seed),
		directory: directory,
		program:   program,
		client:    &http.Client{Timeout: metricsTimeout},
	}
}

// StartStage starts all processes at once. The caller must call Close to end them. After an error, no process is left
// running.
func StartStage(config StageConfig) (*Stage, error) {
	stage := newStage(config.Program, config.Dir, config.Seed)
	if err := stage.begin(config); err != nil {
		stage.Close()
		return nil, err
	}
	return stage, nil
}

func (s *Stage) begin(config StageConfig) error {
	total := config.Count + config.Strangers
	if config.Count < 1 || total > maxProcesses {
		return fmt.Errorf("drill: found %d processes, allowed 1 to %d", total, maxProcesses)
	}
	for i := range 2 {
		if err := s.writeKey(fmt.Sprint("key", i), config.Seed+uint64(i)); err != nil {
			return err
		}
	}
	ports, err := choosePorts()
	if err != nil {
		return err
	}
	for i := range total {
		if err := s.addPeer(config, i, ports); err != nil {
			return err
		}
	}
	return s.startAll()
}

// writeKey writes a key file with a key derived from the seed.
func (s *Stage) writeKey(name string, seed uint64) error {
	key := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "%016x", seed))
	return os.WriteFile(filepath.Join(s.directory, name), []byte(key), 0o600)
}

// addPeer adds the sidecar whose addresses have the given index, with its links and its configuration.
func (s *Stage) addPeer(config StageConfig, i int, ports portSet) error {
	process := s.addProcess(fmt.Sprint("n", i+1), commandServe, hostPort(processIP(i), ports.metrics))
	addresses, err := s.linkPeer(process.Name, i, ports.peers)
	if err != nil {
		return err
	}
	key := 0
	cluster := clusterName
	if stranger := i - config.Count; stranger >= 0 {
		if stranger%2 == 0 {
			key = 1
		} else {
			cluster = strangerClusterName
		}
	}
	join := joinList(min(joinAddresses, config.Count), 0, ports.peers)
	text := fmt.Sprintf("[instance]\nname = %q\ninstances = %d\nseed = \"%x\"\n",
		process.Name, config.Instances, config.Seed*1000+uint64(i)) +
		fmt.Sprintf("[front.http]\nlisten = \"%s:%d\"\n", processIP(i), ports.front) +
		fmt.Sprintf("[pages]\nlisten = %q\n", process.metricsAddress) +
		fmt.Sprintf("[peers]\nlisten = %q\nadvertise = %q\n", addresses.listen, addresses.advertise) +
		fmt.Sprintf("cluster = %q\nkey_file = \"key%d\"\njoin = [%s]\n", cluster, key, join) +
		"[[offering]]\nname = \"step\"\nquoted_time = \"1s\"\ncut_off = \"2s\"\n" +
		"[source]\nkind = \"fixed\"\n[[source.server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\n"
	return process.writeConfig(text)
}

// joinList returns the quoted addresses of count processes, starting at the index first, for the setting "join".
func joinList(count, first, port int) string {
	addresses := make([]string, 0, count)
	for i := range count {
		addresses = append(addresses, strconv.Quote(hostPort(proxyIP(first+i), port)))
	}
	return strings.Join(addresses, ", ")
}

// addProcess adds a process that does not run yet.
func (s *Stage) addProcess(name string, command command, metricsAddress string) *Process {
	process := &Process{
		Name:           faultproxy.Node(name),
		Log:            filepath.Join(s.directory, name+".log"),
		directory:      s.directory,
		program:        s.program,
		client:         s.client,
		command:        command,
		metricsAddress: metricsAddress,
	}
	s.Processes = append(s.Processes, process)
	return process
}

// startAll starts the processes.
func (s *Stage) startAll() error {
	for _, process := range s.Processes {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// peerAddresses holds the address at which a process listens for its peers, and the one at which the fault proxy
// listens for it.
type peerAddresses struct {
	listen    string
	advertise string
}

// linkPeer starts the TCP and UDP proxies through which peers reach a process.
func (s *Stage) linkPeer(name faultproxy.Node, i, port int) (peerAddresses, error) {
	addresses := peerAddresses{listen: hostPort(processIP(i), port), advertise: hostPort(proxyIP(i), port)}
	listen := netip.MustParseAddrPort(addresses.listen)
	s.Links.SetAddress(name, listen.Addr())
	if _, err := s.Links.TCP(addresses.advertise, name, addresses.listen); err != nil {
		return addresses, err
	}
	_, err := s.Links.UDP(addresses.advertise, name, listen)
	return addresses, err
}

// WaitForAliveCount waits until each process sees the given number of instances alive, and returns how long that took.
func (s *Stage) WaitForAliveCount(ctx context.Context, processes []*Process, want int) (time.Duration, error) {
	start := time.Now()
	for _, process := range processes {
		for {
			alive := process.AliveCount()
			if alive == want {
				break
			}
			select {
			case <-ctx.Done():
				return time.Since(start), fmt.Errorf("%s sees %d instances alive, want %d, after %v",
					process.Name, alive, want, time.Since(start))
			case <-time.After(pollInterval):
			}
		}
	}
	return time.Since(start), nil
}

// Close ends all processes and links.
func (s *Stage) Close() {
	for _, process := range s.Processes {
		process.Kill()
	}
	s.Links.Close()
}
