// Command runtests runs the tests of the module in the current directory, except those listed in
// KNOWN-RED.txt. Its arguments are passed to go test as flags.
package main

import (
	"fmt"
	"os"

	"pepperlead/internal/knownred"
)

func main() {
	r := knownred.Runner{Dir: ".", Flags: os.Args[1:], Stdout: os.Stdout, Stderr: os.Stderr}
	if err := r.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
