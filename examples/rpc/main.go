// Command rpc shows how to use the gRPC plug-in. It starts three servers of the standard health service, lists them in
// a file, and calls them through the plug-in with the generated client stub.
package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	pb "google.golang.org/grpc/health/grpc_health_v1"

	"pepperlead/rpc"
)

// configuration has one class (offering) of idempotent methods, with a target latency (quoted_time) of 200 ms and a
// deadline (cut_off) of 1 s.
const configuration = `
[[offering]]
name = "check"
methods = ["/grpc.health.v1.Health/*"]
quoted_time = "200ms"
cut_off = "1s"
repeats = "reissuable"
[rpc]
key_field = "service"
[source]
kind = "files"
files = ["servers.toml"]
[log]
level = "error"
`

func main() {
	if err := run(); err != nil {
		log.Fatal(err)
	}
}

func run() error {
	directory, err := os.MkdirTemp("", "example")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	list, stop, err := startServers(3)
	if err != nil {
		return err
	}
	defer stop()
	path := filepath.Join(directory, "pepperlead.toml")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, "servers.toml"), []byte(list), 0o600); err != nil {
		return err
	}
	conn, err := rpc.New(path)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for len(conn.Servers()) == 0 {
		time.Sleep(10 * time.Millisecond) // a list without a digest is accepted once it has been unchanged for a moment
	}
	if err := call(conn, 100); err != nil {
		return err
	}
	counters := conn.Counters()
	fmt.Printf("%d calls, %d succeeded, %d attempts, %d servers\n",
		counters["tickets"], counters["honoured"], counters["pushes"], len(conn.Servers()))
	return nil
}

// startServers starts health servers and returns their endpoint list and a function that stops them.
func startServers(count int) (list string, stop func(), err error) {
	var servers []*grpc.Server
	stop = func() {
		for _, server := range servers {
			server.Stop()
		}
	}
	var text strings.Builder
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return "", nil, err
		}
		server := grpc.NewServer()
		servers = append(servers, server)
		pb.RegisterHealthServer(server, health.NewServer())
		go func() { _ = server.Serve(listener) }() // it returns after Stop
		fmt.Fprintf(&text, "[[server]]\nid = \"s-%d\"\naddress = %q\n", i, listener.Addr())
	}
	fmt.Fprintf(&text, "[whole]\nservers = %d\n", count)
	return text.String(), stop, nil
}

// call makes count health checks, with ten keys in turn.
func call(conn *rpc.Conn, count int) error {
	client := pb.NewHealthClient(conn)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for n := range count {
		callContext := rpc.WithKey(ctx, fmt.Sprint("caller-", n%10))
		if _, err := client.Check(callContext, &pb.HealthCheckRequest{}); err != nil {
			return err
		}
	}
	return nil
}
