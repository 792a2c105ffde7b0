package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// maxProcesses is the number of processes, and of endpoints, that loopback addresses are laid out for.
const maxProcesses = 2048

// hostsPerNetwork is the number of addresses used of each /24 network.
const hostsPerNetwork = 250

// processIP returns the IP address that a process listens at and calls from.
func processIP(i int) string { return loopback(6, i) }

// proxyIP returns the IP address at which the fault proxy listens for a process.
func proxyIP(i int) string { return loopback(7, i) }

// endpointProxyIP returns the IP address at which the fault proxy listens for an endpoint.
func endpointProxyIP(i int) string { return loopback(9, i) }

func loopback(network, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, i/hostsPerNetwork, i%hostsPerNetwork+1)
}

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// The ports lie below those that the kernel chooses for outgoing connections (ip_local_port_range, from 32768 on):
// processes connect from the same addresses that other processes listen at.
const (
	firstPort = 10000
	lastPort  = 32000
	portTries = 50
)

// portSet holds the ports that all sidecars listen at, each at its own address.
type portSet struct {
	front   int
	metrics int
	peers   int
}

// choosePorts finds ports that are free at the addresses of the first process.
func choosePorts() (portSet, error) {
	var ports portSet
	var err error
	if ports.front, err = freePort(processIP(0)); err != nil {
		return portSet{}, err
	}
	if ports.metrics, err = freePort(processIP(0)); err != nil {
		return portSet{}, err
	}
	if ports.peers, err = freePort(proxyIP(0)); err != nil {
		return portSet{}, err
	}
	return ports, nil
}

// freePort draws a port that is free at the address. Tests that run side by side draw different ones.
func freePort(ip string) (int, error) {
	var err error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		var listener net.Listener
		if listener, err = net.Listen("tcp", hostPort(ip, port)); err == nil {
			return port, listener.Close()
		}
	}
	return 0, err
}
