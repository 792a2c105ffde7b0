package faulttest

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"strings"

	"pepperlead/internal/engine"
	"pepperlead/internal/faulttest/judge"
)

// maxLogLine is the longest line of a log that can be read, in bytes.
const maxLogLine = 1 << 20

// logRecord holds the fields of a line of a sidecar's log that the judge needs.
type logRecord struct {
	Message       string `json:"msg"`
	Revisions     []int  `json:"versions"`
	Leased        bool   `json:"leased"`
	At            int64  `json:"awake_ns"`
	ID            string `json:"id"`
	Endpoint      string `json:"server"`
	AttemptNumber int    `json:"no"`
}

// readLogs adds the records in the logs of all sidecars to the history.
func (c *Cluster) readLogs(history *judge.History) error {
	for _, instance := range c.instances {
		if err := instance.readLog(history); err != nil {
			return err
		}
	}
	return nil
}

// readLog adds the records in the log of a sidecar to the history. It ignores lines that are not valid JSON, such as
// the incomplete last line of a killed process.
func (p *Process) readLog(history *judge.History) error {
	log, err := os.Open(p.Log)
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var record logRecord
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			record.addTo(history, string(p.Name))
		}
	}
	return errors.Join(lines.Err(), log.Close())
}

// addTo adds the record, which the process logged, to the history.
func (r *logRecord) addTo(history *judge.History, process string) {
	rules := judge.ActiveRules{Process: process, Revisions: r.Revisions, Leased: r.Leased, At: r.At}
	switch r.Message {
	case engine.LogLeaseHeld, engine.LogLeaseExpired:
		history.Changes = append(history.Changes, rules)
	case engine.LogRequestAdmitted:
		history.Steps = append(history.Steps, judge.Step{ActiveRules: rules, ID: r.ID})
	case engine.LogAttemptStarted:
		history.Steps = append(history.Steps, judge.Step{
			ActiveRules:   rules,
			ID:            r.ID,
			Endpoint:      r.Endpoint,
			AttemptNumber: r.AttemptNumber,
		})
	}
}

// readRuleSets finds for each agreed revision the rule set of the script that has the same text. Revision 0 is the rule
// set of the sidecars' configuration.
func (c *Cluster) readRuleSets(history *judge.History) error {
	byText := map[string]RuleSet{}
	for _, rules := range c.script.RuleSets {
		text, err := os.ReadFile(c.ruleSetPath(rules.Name))
		if err != nil {
			return err
		}
		byText[strings.TrimSpace(string(text))] = rules
	}
	history.RuleSets = map[int]judge.RuleSet{0: c.script.RuleSets[0].forJudge()}
	for revision := 1; revision <= c.lastRevision; revision++ {
		text, err := c.revisionText(revision)
		if err != nil {
			return err
		}
		if rules, known := byText[strings.TrimSpace(text)]; known {
			history.RuleSets[revision] = rules.forJudge()
		}
	}
	return nil
}

// revisionText gets the text of a revision from a coordinator that knows the latest one.
func (c *Cluster) revisionText(revision int) (string, error) {
	var text strings.Builder
	path := pathVersions + "/" + strconv.Itoa(revision)
	err := c.upToDate.fetchLines(path, func(line string) { text.WriteString(line + "\n") })
	return text.String(), err
}

func (r RuleSet) forJudge() judge.RuleSet {
	return judge.RuleSet{Idempotency: r.Idempotency, Window: r.Window, Endpoints: r.Endpoints, Drained: r.Drained}
}
