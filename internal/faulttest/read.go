package faulttest

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"pepperlead/internal/engine"
	"pepperlead/internal/faulttest/judge"
)

// written reads what the sidecars have written down. A last line that a killed process left half is left out.
func (c *Cluster) written(h *judge.History) error {
	for _, p := range c.instances {
		log, err := os.Open(p.Log)
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct {
				Msg      string `json:"msg"`
				Versions []int  `json:"versions"`
				Leased   bool   `json:"leased"`
				Awake    int64  `json:"awake_ns"`
				ID       string `json:"id"`
				Server   string `json:"server"`
				No       int    `json:"no"`
			}
			if json.Unmarshal(lines.Bytes(), &line) != nil {
				continue
			}
			acts := judge.ActiveRules{Process: string(p.Name), Revisions: line.Versions, Leased: line.Leased, At: line.Awake}
			switch {
			case line.Msg == engine.LogLeaseHeld || line.Msg == engine.LogLeaseExpired:
				h.Changes = append(h.Changes, acts)
			case line.Msg == engine.LogRequestAdmitted:
				h.Steps = append(h.Steps, judge.Step{ActiveRules: acts, ID: line.ID})
			case line.Msg == engine.LogAttemptStarted:
				h.Steps = append(h.Steps, judge.Step{ActiveRules: acts, ID: line.ID, Endpoint: line.Server, AttemptNumber: line.No})
			}
		}
		log.Close()
		if err := lines.Err(); err != nil {
			return err
		}
	}
	return nil
}

// meant gives each version that the keepers have agreed on the meaning that the script gave its text.
func (c *Cluster) meant(h *judge.History) error {
	texts := map[string]RuleSet{}
	for _, v := range c.script.RuleSets {
		text, err := os.ReadFile(filepath.Join(c.dir, v.Name+".version"))
		if err != nil {
			return err
		}
		texts[strings.TrimSpace(string(text))] = v
	}
	h.RuleSets = map[int]judge.RuleSet{0: meaning(c.script.RuleSets[0])}
	for n := 1; n <= c.lastRevision; n++ {
		var text strings.Builder
		if err := c.upToDate.page("/_versions/"+strconv.Itoa(n), func(line string) { text.WriteString(line + "\n") }); err != nil {
			return err
		}
		if v, known := texts[strings.TrimSpace(text.String())]; known {
			h.RuleSets[n] = meaning(v)
		}
	}
	return nil
}

func meaning(v RuleSet) judge.RuleSet {
	return judge.RuleSet{Idempotency: v.Idempotency, Window: v.Window, Endpoints: v.Endpoints, Drained: v.Drained}
}
