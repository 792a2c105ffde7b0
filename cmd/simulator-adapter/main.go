// Command simulator-adapter puts the decision module on the bench's wire: standard input to standard output.
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
