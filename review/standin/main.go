// Command standin runs the cases of the review: it starts the project's programs and stands in for clients, servers
// and the platform. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// cases holds the cases by name. Each returns whether the rule held, and why.
var cases = map[string]func(c *caseRun) (held bool, why string){}

func main() {
	// The children are ended with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	defer c.close()
	defer func() {
		if failure, ok := recover().(stop); ok {
			c.note("could not run: %s", failure.reason)
			fmt.Fprintln(os.Stderr, "could not run:", failure.reason)
			code = failure.code
		}
	}()
	c.note("case %s, trouble %v", os.Args[1], c.trouble)
	held, why := cases[os.Args[1]](c)
	c.note("%s", why)
	fmt.Println(why)
	if held {
		return ruleHeld
	}
	return ruleBroken
}
