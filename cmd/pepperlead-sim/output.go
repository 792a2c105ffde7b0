package main

import (
	"encoding/json"
	"fmt"
	"io"

	"pepperlead/internal/emulator/judge"
)

// printf prints to the program's output. It ignores errors, so that a closed pipe does not make the program fail.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printCounts prints the number of requests and attempts of a run, and the outcomes of the requests.
func printCounts(out io.Writer, v *judge.Verdict) {
	printf(out, "%d client requests, %d requests at sidecars, %d attempts: %d succeeded (%d late), %d rejected, "+
		"%d failed\n",
		v.ClientRequests, v.Requests, v.Attempts, v.Succeeded, v.Late, v.Rejected, v.Failed)
}

// printSpread prints how evenly attempts were spread over endpoints.
func printSpread(out io.Writer, s *judge.Spread) {
	printf(out, "attempts scatter over endpoints %.2f times as much as by chance in 1 s, %.2f in 5 s (with one "+
		"endpoint per key %.2f, %.2f); "+
		"the busiest endpoint got %.2f times its share in 5 s on average, and at most %.1f times;\n",
		s.Scatter[0], s.Scatter[1], s.KeyScatter[0], s.KeyScatter[1], s.Busiest, s.BusiestMax)
	printf(out, "endpoints were idle for %.1f s in total while others had queues; at most %.1f attempts beyond an "+
		"endpoint's share in 50 ms\n", s.IdleSeconds, s.Herd)
}

func printViolations(out io.Writer, v *judge.Verdict) {
	for _, violation := range v.Violations {
		printf(out, "%v\n", violation)
	}
}

// checkRules returns an error if a rule was broken.
func checkRules(v *judge.Verdict) error {
	if !v.NoViolations() {
		return fmt.Errorf("rules were broken; violations of rules 1 to 4: %v", v.ViolationCounts)
	}
	return nil
}
