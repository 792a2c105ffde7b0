// Command simulator-adapter puts the decision module on the bench's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"pepperlead/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
