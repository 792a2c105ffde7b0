package membership

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
)

// maxKeyFileSize is the maximum size of a key file, in bytes.
const maxKeyFileSize = 1 << 10

// Config describes this sidecar and the cluster that it joins.
type Config struct {
	Name        string   // unique in the cluster
	Cluster     string   // name of the cluster; packets of other clusters are dropped
	Listen      string   // address to listen on, for TCP and UDP
	Advertise   string   // address at which other members reach this one; empty: Listen
	Join        []string // addresses of members to join through
	Key         []byte   // 16, 24 or 32 bytes; encrypts every packet
	Zone        string
	Coordinator bool // the member is a coordinator and serves no requests

	// OnMessage receives the messages that other members send to this one. It must not block. nil: messages are
	// ignored.
	OnMessage func([]byte)
}

// keySizes are the lengths of an AES key, in bytes.
var keySizes = []int{16, 24, 32}

// ReadKey reads an encryption key from a file that holds 16, 24 or 32 bytes in base64.
func ReadKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := base64.StdEncoding.DecodeString(string(bytes.TrimSpace(text)))
	if len(text) > maxKeyFileSize || err != nil || !slices.Contains(keySizes, len(key)) {
		return nil, fmt.Errorf("%s: not a key of 16, 24 or 32 bytes in base64", path)
	}
	return key, nil
}

// splitAddress splits an address into its host and its numeric port.
func splitAddress(address string) (string, int, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err := strconv.Atoi(portText)
	return host, port, err
}
