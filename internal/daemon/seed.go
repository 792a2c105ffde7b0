package daemon

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
)

// instanceSeed gives the seed of one instance's choices from the one that its configuration states. One file may serve many instances,
// and with one seed all of them would make the same choices at the same moments. It is the same after a restart.
func instanceSeed(stated uint64, listen string) uint64 {
	host, err := os.Hostname()
	if err != nil {
		host = "" // the address is left to tell it from others
	}
	return hostSeed(stated, host, listen)
}

func hostSeed(stated uint64, host, listen string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%016x %q %q", stated, host, listen))
}
