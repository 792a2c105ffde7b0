package main

import (
	"bytes"
	"testing"

	"pepperlead/internal/golden"
)

// TestCommandsMatchGoldenFile compares the names of commands and flags, the types of their values and their defaults
// with a golden file. Help texts are not compared.
func TestCommandsMatchGoldenFile(t *testing.T) {
	var tree bytes.Buffer
	golden.Commands(&tree, rootCommand())
	golden.Compare(t, "commands.txt", tree.Bytes())
}
