// Package freeport chooses ports for processes that tests and benchmarks start, some of them again at the same address.
package freeport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// The ports lie below those that the kernel chooses for outgoing connections (ip_local_port_range, from 32768 on):
// otherwise a connection may have taken the port while its process was stopped.
const (
	first = 10000
	last  = 32000
	tries = 50
)

var errNoneFree = errors.New("no free port found")

var (
	mu     sync.Mutex
	chosen = map[string]bool{}
)

// Choose returns a port that nobody listens on at the IP address. It draws the port, so that tests that run side by
// side get different ones, and never returns one twice for an IP address.
func Choose(ip string) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	err := errNoneFree
	for range tries {
		port := first + rand.IntN(last-first)
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
