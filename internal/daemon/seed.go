package daemon

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
)

// instanceSeed derives an instance's seed from the one that its configuration states, and is the same after a restart.
// One file may serve many instances, which must not all make the same choices at the same moments.
func instanceSeed(stated uint64, listen string) uint64 {
	host, err := os.Hostname()
	if err != nil {
		host = "" // the address still tells instances apart
	}
	return hostSeed(stated, host, listen)
}

func hostSeed(stated uint64, host, listen string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%016x %q %q", stated, host, listen))
}
