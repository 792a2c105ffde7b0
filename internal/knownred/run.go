package knownred

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// File is the name of the list, which is in the root directory of the module.
const File = "KNOWN-RED.txt"

// A Runner runs the tests of one module.
type Runner struct {
	// Dir is the root of the module.
	Dir string
	// Flags are passed to go test, for example -race.
	Flags []string
	// Stdout and Stderr receive the output of go test.
	Stdout, Stderr io.Writer
}

// Run runs all tests except those on the module's list, and prints the latter. Without a list it only
// runs go test ./... . If the list is invalid, it returns an error and runs no test.
func (r *Runner) Run() error {
	entries, err := r.read()
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return r.test("./...")
	}
	packages, err := r.packages()
	if err != nil {
		return err
	}
	skip, err := r.check(entries, packages)
	if err != nil {
		return err
	}
	if err := r.print(entries); err != nil {
		return err
	}
	return r.testWithout(packages, skip)
}

// read reads the module's list, which is empty if there is no file.
func (r *Runner) read() ([]Entry, error) {
	text, err := os.ReadFile(filepath.Join(r.Dir, File))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading known failures: %w", err)
	}
	return Parse(File, bytes.NewReader(text))
}

// packages returns the import paths of the module's packages.
func (r *Runner) packages() ([]string, error) {
	out, err := r.output("list", "./...")
	return strings.Fields(out), err
}

// check checks that the test of each entry exists, and returns the tests to skip by package.
func (r *Runner) check(entries []Entry, packages []string) (map[string][]string, error) {
	skip := map[string][]string{}
	existing := map[string][]string{}
	for _, e := range entries {
		if !slices.Contains(packages, e.Package) {
			return nil, fmt.Errorf("%s:%d: found package %q, want one of this module", File, e.Line, e.Package)
		}
		if existing[e.Package] == nil {
			tests, err := r.tests(e.Package)
			if err != nil {
				return nil, err
			}
			existing[e.Package] = tests
		}
		if !slices.Contains(existing[e.Package], e.Test) {
			return nil, fmt.Errorf("%s:%d: found test %q, want one of package %s", File, e.Line, e.Test, e.Package)
		}
		skip[e.Package] = append(skip[e.Package], e.Test)
	}
	return skip, nil
}

// tests returns the output lines of go test -list: the names of the package's tests, and a line with the time taken.
func (r *Runner) tests(pkg string) ([]string, error) {
	out, err := r.output(slices.Concat([]string{"test", "-list", "."}, r.Flags, []string{pkg})...)
	return strings.Split(out, "\n"), err
}

// print prints the tests that are skipped.
func (r *Runner) print(entries []Entry) error {
	for _, e := range entries {
		_, err := fmt.Fprintf(r.Stdout, "known red, passed over: %s %s (%s): %s\n", e.Package, e.Test, e.Issue, e.Seen)
		if err != nil {
			return fmt.Errorf("printing known failures: %w", err)
		}
	}
	return nil
}

// testWithout runs all tests of the packages except those to skip. Packages without a test to skip come first. It
// continues after a failure.
func (r *Runner) testWithout(packages []string, skip map[string][]string) error {
	var complete, partial []string
	for _, pkg := range packages {
		if skip[pkg] == nil {
			complete = append(complete, pkg)
		} else {
			partial = append(partial, pkg)
		}
	}
	var failures []error
	if len(complete) > 0 {
		failures = append(failures, r.test(complete...))
	}
	for _, pkg := range partial {
		failures = append(failures, r.test("-skip", skipPattern(skip[pkg]), pkg))
	}
	return errors.Join(failures...)
}

// skipPattern returns a regular expression that matches exactly the named tests.
func skipPattern(tests []string) string {
	return "^(" + strings.Join(tests, "|") + ")$"
}

// test runs go test with the runner's flags and the arguments.
func (r *Runner) test(args ...string) error {
	cmd := exec.Command("go", slices.Concat([]string{"test"}, r.Flags, args)...)
	cmd.Dir = r.Dir
	cmd.Stdout = r.Stdout
	cmd.Stderr = r.Stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}

// output runs the go command and returns its standard output.
func (r *Runner) output(args ...string) (string, error) {
	cmd := exec.Command("go", args...)
	cmd.Dir, cmd.Stderr = r.Dir, r.Stderr
	out, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("go %s: %w", strings.Join(args, " "), err)
	}
	return string(out), nil
}
