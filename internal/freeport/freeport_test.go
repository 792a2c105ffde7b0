package freeport

import (
	"net"
	"testing"
)

func TestChosenAddressesAreFreeAndDiffer(t *testing.T) {
	const ip = "127.0.0.1"
	seen := map[string]bool{}
	for range 200 {
		address, err := ChooseAddress(ip)
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatal("chosen twice:", address)
		}
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if port := listener.Addr().(*net.TCPAddr).Port; port < minPort || port >= endPort {
			t.Errorf("found port %d, allowed %d to %d", port, minPort, endPort-1)
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
