// Command pepperlead is the sidecar on sockets.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/daemon"
)

const usage = `usage: pepperlead COMMAND [flags]

  serve     serve clients until SIGTERM; SIGHUP reads the configuration anew
  check     read the configuration and say whether it can be served
  counters  print the counters of a sidecar that runs
  servers   print the servers that it knows
  version   print the version

'pepperlead COMMAND -h' lists a command's flags.
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pepperlead:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("no command; 'pepperlead help' lists them")
	}
	flags := flag.NewFlagSet("pepperlead "+args[0], flag.ExitOnError)
	switch args[0] {
	case "serve", "check":
		path := flags.String("config", os.Getenv("GW_CONFIG"), "configuration `file` (default $GW_CONFIG)")
		level := flags.String("log", "info", "least `level` that is logged: debug, info, warning or error")
		flags.Parse(args[1:])
		post, err := daemon.Read(*path, os.Getenv)
		if err != nil {
			return err
		}
		if args[0] == "check" {
			fmt.Fprintf(out, "can be served: %d offerings, %d franchises, %d sidecars, %d descriptors, %d MB\n",
				len(post.Campaign.Offerings), len(post.Campaign.Franchises), post.Campaign.Sidecars, post.Descriptors,
				post.Memory>>20)
			return nil
		}
		log := logrus.New()
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
			TimestampFormat: "15:04:05.000"})
		if log.Level, err = logrus.ParseLevel(*level); err != nil {
			return err
		}
		return daemon.Serve(post, *path, log)
	case "counters", "servers":
		at := flags.String("at", os.Getenv("GW_LISTEN"), "`address` of the sidecar (default $GW_LISTEN)")
		flags.Parse(args[1:])
		client := http.Client{Timeout: 2 * time.Second}
		answer, err := client.Get("http://" + *at + "/_" + args[0])
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		_, err = io.Copy(out, answer.Body)
		return err
	case "version":
		fmt.Fprintln(out, version())
		return nil
	case "help", "-h", "--help":
		fmt.Fprint(out, usage)
		return nil
	}
	return fmt.Errorf("no command %q; 'pepperlead help' lists them", args[0])
}

// version is what the tool chain knows of the source.
func version() string {
	revision, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with changes"
			}
		}
	}
	return "pepperlead " + revision + changed
}
