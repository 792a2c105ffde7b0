package rpc

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
)

// startServerProcess starts n servers in one child process, so that their processor time is not measured.
func startServerProcess(b *testing.B, n int) (members []member) {
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), fmt.Sprint("RPC_SERVERS=", n))
	out, err := p.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { p.Process.Kill(); p.Wait() })
	lines := bufio.NewScanner(out)
	for i := 0; i < n && lines.Scan(); i++ {
		members = append(members, member{id: fmt.Sprint("s-", i), addr: lines.Text()})
	}
	if len(members) != n {
		b.Fatal("the server process did not start all servers")
	}
	return members
}

// roundRobin connects to the members with gRPC's own round_robin policy.
func roundRobin(b testing.TB, members []member) *grpc.ClientConn {
	r := manual.NewBuilderWithScheme("list")
	var state resolver.State
	for _, m := range members {
		state.Addresses = append(state.Addresses, resolver.Address{Addr: m.addr})
	}
	r.InitialState(state)
	c, err := grpc.NewClient("list:///x", grpc.WithResolvers(r), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"round_robin":{}}]}`))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return c
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCall makes small unary calls over a plain connection to one server, with gRPC's own round_robin to three
// servers, and with the plug-in to three servers: go test ./rpc -run xxx -bench Call -benchmem
func BenchmarkCall(b *testing.B) {
	members := startServerProcess(b, 3)
	bare, err := grpc.NewClient("passthrough:///"+members[0].addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { bare.Close() })
	plugin, _ := dial(b, 1, members...)
	for _, callers := range []int{1, 64, 1024} {
		for _, target := range []struct {
			name string
			conn grpc.ClientConnInterface
		}{{"bare", bare}, {"round_robin", roundRobin(b, members)}, {"plugin", plugin}} {
			b.Run(fmt.Sprintf("%s-%d", target.name, callers), func(b *testing.B) {
				var failed atomic.Int64
				var mu sync.Mutex
				histogram := hdrhistogram.New(1000, int64(10*time.Second), 3)
				run := func(n int) {
					var wait sync.WaitGroup
					var remaining atomic.Int64
					remaining.Store(int64(n))
					for range callers {
						wait.Go(func() {
							var latencies []int64
							for remaining.Add(-1) >= 0 {
								start := time.Now()
								if _, err := invoke(target.conn, context.Background(), "Step", "x"); err != nil {
									failed.Add(1)
								}
								latencies = append(latencies, int64(time.Since(start)))
							}
							mu.Lock()
							for _, v := range latencies {
								histogram.RecordValue(v)
							}
							mu.Unlock()
						})
					}
					wait.Wait()
				}
				run(20 * callers) // a warm-up, until connections are established and limits have grown
				for range 20 {
					run(2000)
				}
				failed.Store(0)
				histogram.Reset()
				b.ReportAllocs()
				before := processorTime()
				b.ResetTimer()
				run(b.N)
				b.StopTimer()
				b.ReportMetric(float64(processorTime()-before)/1e3/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-us")
				b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-us")
				b.ReportMetric(float64(failed.Load())/float64(b.N), "failed/op")
			})
		}
	}
}

// BenchmarkZoneLoss makes calls to six servers for eight seconds. For four of these seconds, three of the servers
// don't answer. It reports the fraction of the calls that are answered within 300 ms:
// go test ./rpc -run xxx -bench ZoneLoss -benchtime 1x
func BenchmarkZoneLoss(b *testing.B) {
	for _, name := range []string{"round_robin", "plugin"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var members []member
				var servers []*server
				for i := range 6 {
					s := newServer(b, fmt.Sprint("s-", i))
					servers = append(servers, s)
					m := s.member()
					m.pod = i % 2
					members = append(members, m)
				}
				var conn grpc.ClientConnInterface
				if name == "plugin" {
					conn, _ = dial(b, 1, members...)
				} else {
					conn = roundRobin(b, members)
				}
				var answered, total atomic.Int64
				var wait sync.WaitGroup
				start := time.Now()
				for n := 0; time.Since(start) < 8*time.Second; n++ {
					switch {
					case n == 1000:
						for i, s := range servers {
							s.silent.Store(i%2 == 1)
						}
					case n == 3000:
						for _, s := range servers {
							s.silent.Store(false)
						}
					}
					wait.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
						defer cancel()
						total.Add(1)
						if _, err := invoke(conn, ctx, "Step", fmt.Sprint(n)); err == nil {
							answered.Add(1)
						}
					})
					time.Sleep(time.Until(start.Add(time.Duration(n+1) * 2 * time.Millisecond)))
				}
				wait.Wait()
				b.ReportMetric(float64(answered.Load())/float64(total.Load()), "honoured")
			}
		})
	}
}

// runServers is the process that startServerProcess starts: it prints the address of each server.
func runServers(n int) {
	for i := range n {
		s := startServer(fmt.Sprint("s-", i))
		fmt.Println(s.addr)
	}
	select {}
}
