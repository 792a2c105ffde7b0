package migration

import (
	"strconv"

	"pepperlead/internal/daemon"
	"pepperlead/internal/tomlfile"
)

// sourceKinds are the values of source.kind. sourceFiles and sourceFixed are indexes into this list.
var sourceKinds = []string{"files", "discovery", "fixed"}

// Indexes of the kinds of sources that need a note.
const (
	sourceFiles = 0
	sourceFixed = 2
)

// convertTOML converts the product's configuration.
func convertTOML(file string, text []byte, pool Pool) (Result, error) {
	if _, err := daemon.Parse(file, text, noEnvironment); err != nil {
		return Result{}, err
	}
	document, root := tomlfile.Parse(file, text, maxConfigSize)
	instance := root.Table("instance")
	if instance.OneOf("weights", 0, "nominal", "live") == 1 {
		instance.Fault("weights", `"live"`, "nominal: this file is for a pool already")
	}
	var converted Result
	editor := newTOMLEditor(root, text, &converted)
	converted.noteClients(editor.table("front.http").String("listen", ""))
	editor.set("front.http", "listen", strconv.Quote(pool.Listen))
	editor.set("instance", "instances", strconv.Itoa(pool.Sidecars))
	editor.set("instance", "weights", `"live"`)
	editor.set("limits", "streams", strconv.Itoa(pool.Streams))
	editor.commentOut("instance", "seed", "each sidecar of a pool draws its own seed")
	editor.commentOut("state", "folder", "a list stored there has nominal weights; configure a new folder")
	converted.noteSource(root.Table("source"))
	if err := document.Err(); err != nil {
		return Result{}, err
	}
	converted.Text = editor.text()
	return converted, nil
}

// noteSource notes what the operator must change at the source of the endpoint list.
func (m *Result) noteSource(source *tomlfile.Table) {
	switch source.OneOf("kind", 0, sourceKinds...) {
	case sourceFiles:
		if !source.Bool("sealed", false) {
			m.addUnconverted("source.files",
				"seal a list that is rewritten every second: an unsealed list is used only after it has been "+
					"unchanged for source.settle")
		}
	case sourceFixed:
		m.addUnconverted("source.server", "weights in this file never follow the load: use a list that is updated")
	}
}
