package main

import (
	"bytes"
	"testing"

	"pepperlead/internal/golden"
)

// TestCommandsAndFlagsAreAsBefore holds the names of commands and flags, the kinds of their values and their defaults to what they
// were before. What helps say is left out.
func TestCommandsAndFlagsAreAsBefore(t *testing.T) {
	var tree bytes.Buffer
	golden.Commands(&tree, rootCommand())
	golden.Compare(t, "commands.txt", tree.Bytes())
}
