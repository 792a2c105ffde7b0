package experiment

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"path/filepath"

	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

//go:embed report.html
var reportTemplate string

// Report writes report.html, a self-contained page about a run, from the result.json and series.json in the directory.
// It returns the path of the page.
func Report(dir string) (string, error) {
	var r Result
	var s Series
	if err := readJSON(filepath.Join(dir, "result.json"), &r); err != nil {
		return "", err
	}
	if err := readJSON(filepath.Join(dir, "series.json"), &s); err != nil {
		return "", err
	}
	plots, err := plots(&r, &s)
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	page := template.Must(template.New("report").Funcs(template.FuncMap{
		"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
		"ms":      func(v any) string { return fmt.Sprint(v) },
		"seconds": func(v policy.Time) string { return fmt.Sprintf("%.3f s", float64(v)/1e9) },
		"rule":    func(i int) string { return ruleNames[i] },
	}).Parse(reportTemplate))
	if err := page.Execute(&out, map[string]any{"R": r, "S": s, "Plots": plots}); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "report.html")
	return path, snapshot.Replace(path, out.Bytes())
}

// ruleNames describes the judge's rules in their order, beginning with rule 1.
var ruleNames = []string{
	"one final answer before the cut-off",
	"no effect twice",
	"nothing new to a server that leaves",
	"a cold server's budget",
}
