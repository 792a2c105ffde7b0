package daemon

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
)

// instanceSeed derives an instance's seed from the configured seed, the host name and the listen address, so that it is
// the same after a restart. Instances that share a configuration file get different seeds: they must not all make the
// same choices at the same time.
func instanceSeed(configured uint64, listen string) uint64 {
	host, err := os.Hostname()
	if err != nil {
		host = "" // the listen address still distinguishes instances of a host
	}
	return hostSeed(configured, host, listen)
}

func hostSeed(configured uint64, host, listen string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%016x %q %q", configured, host, listen))
}
