// Package freeport chooses free ports for processes that tests and benchmarks start and may later restart at the same
// address.
package freeport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are chosen from minPort up to endPort, exclusive. They lie below those that the kernel chooses for outgoing
// connections (ip_local_port_range, from 32768 on): otherwise a connection could take the port of a process while the
// process is stopped.
const (
	minPort  = 10000
	endPort  = 32000
	maxTries = 50
)

var errNoneFree = errors.New("no free port found")

var (
	mu     sync.Mutex
	chosen = map[string]bool{}
)

// Choose returns a port on which nothing listens at the IP address. It draws the port at random, so that test processes
// that run in parallel get different ones, and never returns a port twice for an IP address.
func Choose(ip string) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	err := errNoneFree
	for range maxTries {
		port := minPort + rand.IntN(endPort-minPort)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		if chosen[address] {
			continue
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			chosen[address] = true
			return port, listener.Close()
		}
	}
	return 0, err
}

// ChooseAddress returns the IP address with a port that Choose returns for it.
func ChooseAddress(ip string) (string, error) {
	port, err := Choose(ip)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip, strconv.Itoa(port)), nil
}
