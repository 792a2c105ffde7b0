// Command pepperlead runs the load balancer as a sidecar, and has the commands to configure and operate it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks errors in the command line.
var errUsage = errors.New("see 'pepperlead help'")

func main() {
	err := run(os.Args[1:], os.Stdout)
	if err == nil {
		return
	}
	printf(os.Stderr, "pepperlead: %v\n", err)
	if errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// run executes the command that the arguments name.
func run(args []string, out io.Writer) error {
	root := rootCommand()
	root.SetOut(out)
	root.SetArgs(withDoubleDashes(args))
	return root.Execute()
}

// singleDash matches flags in their old form with one dash: -config, -at, -log.
var singleDash = regexp.MustCompile(`^-[a-z][a-z-]+(=.*)?$`)

// withDoubleDashes returns the arguments with a second dash before flags that have one.
func withDoubleDashes(args []string) []string {
	args = slices.Clone(args)
	for i, arg := range args {
		if arg == "--" {
			break
		}
		if singleDash.MatchString(arg) {
			args[i] = "-" + arg
		}
	}
	return args
}

// printf prints to a command's output. Errors are ignored, so that a closed output doesn't make the command fail.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// firstNonEmpty returns the first text that isn't empty, or "".
func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}
