package migration

import (
	"bytes"
	"encoding/json"
	"fmt"

	"pepperlead/internal/daemon"
)

// convertJSON converts the platform's configuration.
func convertJSON(file string, text []byte, pool Pool) (Result, error) {
	if len(text) > maxConfigSize {
		return Result{}, fmt.Errorf("%s:1: document: found %d bytes, allowed at most %d",
			file, len(text), maxConfigSize)
	}
	if _, err := daemon.Parse(file, text, noEnvironment); err != nil {
		return Result{}, err
	}
	var document map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&document); err != nil {
		return Result{}, err
	}
	settings, _ := document["settings"].(map[string]any) // a valid configuration has settings and limits
	limits, _ := settings["limits"].(map[string]any)
	if settings["weight_kind"] == "live" {
		lines, _ := daemon.JSONLines(file, text) // daemon.Parse has parsed it already
		return Result{}, fmt.Errorf("%s:%d: settings.weight_kind: found live, allowed nominal, rough or silent: "+
			"this file is for a pool already", file, lines["settings.weight_kind"])
	}
	var converted Result
	converted.noteClients(fmt.Sprint(document["listen"]))
	converted.setMember(document, "", "listen", pool.Listen)
	converted.setMember(settings, "settings.", "balancers", pool.Sidecars)
	converted.setMember(settings, "settings.", "weight_kind", "live")
	converted.setMember(limits, "settings.limits.", "streams_per_conn", pool.Streams)
	document["seed"] = fmt.Sprintf("%016x", pool.Seed)
	converted.addUnconverted("seed", "each sidecar of a pool needs its own; a new one was drawn")
	if document["known"] != nil {
		delete(document, "known")
		converted.addUnconverted("known", "the list in it has nominal weights; the sidecar requests a new one")
	}
	encoded, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return Result{}, err
	}
	converted.Text = append(encoded, '\n')
	return converted, nil
}

// setMember sets a member of an object and notes the change. path is the prefix of the object's members in notes.
func (m *Result) setMember(object map[string]any, path, name string, value any) {
	old, exists := object[name]
	object[name] = value
	from := fmt.Sprint(old)
	to := fmt.Sprint(value)
	switch {
	case !exists:
		m.addChange(path+name, "nothing", to)
	case from != to:
		m.addChange(path+name, from, to)
	}
}
