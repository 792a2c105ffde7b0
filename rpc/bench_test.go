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

// children starts servers in a process of their own, so that what they cost is not counted.
func children(b *testing.B, n int) (all []member) {
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
		all = append(all, member{id: fmt.Sprint("s-", i), addr: lines.Text()})
	}
	if len(all) != n {
		b.Fatal("the servers do not start")
	}
	return all
}

func roundRobin(b testing.TB, all []member) *grpc.ClientConn {
	r := manual.NewBuilderWithScheme("list")
	var state resolver.State
	for _, m := range all {
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

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall is a small unary call over a bare connection to one server, gRPC's own round_robin over three, and
// the plug-in over three: go test ./rpc -run xxx -bench Call -benchmem
func BenchmarkCall(b *testing.B) {
	all := children(b, 3)
	bare, err := grpc.NewClient("passthrough:///"+all[0].addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { bare.Close() })
	plugin, _ := dial(b, 1, all...)
	for _, callers := range []int{1, 64, 1024} {
		for _, k := range []struct {
			name string
			conn grpc.ClientConnInterface
		}{{"bare", bare}, {"round_robin", roundRobin(b, all)}, {"plugin", plugin}} {
			b.Run(fmt.Sprintf("%s-%d", k.name, callers), func(b *testing.B) {
				var failed atomic.Int64
				var mu sync.Mutex
				times := hdrhistogram.New(1000, int64(10*time.Second), 3)
				run := func(n int) {
					var wait sync.WaitGroup
					var left atomic.Int64
					left.Store(int64(n))
					for range callers {
						wait.Go(func() {
							var mine []int64
							for left.Add(-1) >= 0 {
								at := time.Now()
								if _, err := invoke(k.conn, context.Background(), "Step", "x"); err != nil {
									failed.Add(1)
								}
								mine = append(mine, int64(time.Since(at)))
							}
							mu.Lock()
							for _, v := range mine {
								times.RecordValue(v)
							}
							mu.Unlock()
						})
					}
					wait.Wait()
				}
				run(20 * callers) // connections come up, limits grow
				for range 20 {
					run(2000)
				}
				failed.Store(0)
				times.Reset()
				b.ReportAllocs()
				before := cpu()
				b.ResetTimer()
				run(b.N)
				b.StopTimer()
				b.ReportMetric(float64(cpu()-before)/1e3/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(times.ValueAtQuantile(50))/1e3, "p50-us")
				b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, "p99-us")
				b.ReportMetric(float64(failed.Load())/float64(b.N), "failed/op")
			})
		}
	}
}

// BenchmarkZoneLoss has half of six servers fall silent for four of eight seconds, and counts calls answered within
// 300 ms: go test ./rpc -run xxx -bench ZoneLoss -benchtime 1x
func BenchmarkZoneLoss(b *testing.B) {
	for _, name := range []string{"round_robin", "plugin"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var all []member
				var servers []*server
				for i := range 6 {
					s := newServer(b, fmt.Sprint("s-", i))
					servers = append(servers, s)
					m := s.member()
					m.pod = i % 2
					all = append(all, m)
				}
				var conn grpc.ClientConnInterface
				if name == "plugin" {
					conn, _ = dial(b, 1, all...)
				} else {
					conn = roundRobin(b, all)
				}
				var good, asked atomic.Int64
				var wait sync.WaitGroup
				begin := time.Now()
				for n := 0; time.Since(begin) < 8*time.Second; n++ {
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
						ctx, end := context.WithTimeout(context.Background(), 300*time.Millisecond)
						defer end()
						asked.Add(1)
						if _, err := invoke(conn, ctx, "Step", fmt.Sprint(n)); err == nil {
							good.Add(1)
						}
					})
					time.Sleep(time.Until(begin.Add(time.Duration(n+1) * 2 * time.Millisecond)))
				}
				wait.Wait()
				b.ReportMetric(float64(good.Load())/float64(asked.Load()), "honoured")
			}
		})
	}
}

// serveChildren is the process that children starts.
func serveChildren(n int) {
	for i := range n {
		s := startServer(fmt.Sprint("s-", i))
		fmt.Println(s.addr)
	}
	select {}
}
