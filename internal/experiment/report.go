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

// Report writes one HTML file about a day, all in it, from what run has written into the folder. It gives the file's
// path.
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
	shape := template.Must(template.New("report").Funcs(template.FuncMap{
		"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
		"ms":      func(v any) string { return fmt.Sprint(v) },
		"seconds": func(v policy.Time) string { return fmt.Sprintf("%.3f s", float64(v)/1e9) },
		"rule":    func(i int) string { return ruleNames[i] },
	}).Parse(reportTemplate))
	if err := shape.Execute(&out, map[string]any{"R": r, "S": s, "Plots": plots}); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "report.html")
	return path, snapshot.Replace(path, out.Bytes())
}

var ruleNames = []string{
	"one final answer before the cut-off",
	"no effect twice",
	"nothing new to a server that leaves",
	"a cold server's budget",
}
