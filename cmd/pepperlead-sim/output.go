package main

import (
	"encoding/json"
	"fmt"
	"io"

	"pepperlead/internal/emulator/judge"
)

// printf prints to the program's output. A reader that has gone is no reason to fail.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printCounts prints what became of a day's requests.
func printCounts(out io.Writer, v *judge.Verdict) {
	printf(out, "%d requests, %d tickets, %d pushes: %d honoured (%d late), %d turned back, %d given up\n",
		v.ClientRequests, v.Requests, v.Attempts, v.Succeeded, v.Late, v.Rejected, v.Failed)
}

func printSpread(out io.Writer, s *judge.Spread) {
	printf(out, "pushes scatter over servers %.2f times as chance in 1 s, %.2f in 5 s (keys alone would force "+
		"%.2f, %.2f); "+
		"busiest server %.2f times its share in 5 s, %.1f at the most;\n",
		s.Scatter[0], s.Scatter[1], s.KeyScatter[0], s.KeyScatter[1], s.Busiest, s.BusiestMax)
	printf(out, "%.1f server seconds idle while others queued; herd of %.1f in 50 ms\n", s.IdleSeconds, s.Herd)
}

func printViolations(out io.Writer, v *judge.Verdict) {
	for _, violation := range v.Violations {
		printf(out, "%v\n", violation)
	}
}

// checkRules returns an error if a rule was broken.
func checkRules(v *judge.Verdict) error {
	if !v.NoViolations() {
		return fmt.Errorf("rules were broken: %v", v.ViolationCounts)
	}
	return nil
}
