package faulttest

import (
	"fmt"
	"net"
	"strconv"

	"pepperlead/internal/freeport"
)

// maxProcesses is the largest number of sidecars, and of endpoints, in a test. It fixes the layout of the addresses.
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
	if ports.front, err = freeport.Choose(processIP(0)); err != nil {
		return portSet{}, err
	}
	if ports.metrics, err = freeport.Choose(processIP(0)); err != nil {
		return portSet{}, err
	}
	if ports.peers, err = freeport.Choose(proxyIP(0)); err != nil {
		return portSet{}, err
	}
	return ports, nil
}
