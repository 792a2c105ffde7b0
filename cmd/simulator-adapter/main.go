// Command simulator-adapter connects the decision module to the simulator: it reads the simulator's events from
// standard input and writes the module's actions to standard output.
package main

import (
	"fmt"
	"os"

	"pepperlead/internal/simprotocol"
)

func main() {
	if err := simprotocol.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
