package main

import (
	"bytes"
	"testing"

	"pepperlead/internal/golden"
)

// The names of commands and flags, the types of their values and their defaults must be those of the golden file. Help
// texts are left out.
func TestCommandsAndFlagsMatchGoldenFile(t *testing.T) {
	var tree bytes.Buffer
	golden.Commands(&tree, rootCommand())
	golden.Compare(t, "commands.txt", tree.Bytes())
}
