// Package migration makes of a configuration of the old shape, a sidecar beside each client and a list of nominal sizes, its
// counterpart of the new one: a pool of sidecars, a list whose weights move with load, connections that carry many tickets. It
// reads and makes text, and knows no files. docs/migration.md has the steps around it.
package migration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"

	"pepperlead/internal/daemon"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/tomlfile"
)

// most is how long a configuration may be, in bytes.
const most = 1 << 20

// Pool is what an old file cannot say of the new shape.
type Pool struct {
	Listen  string // where clients reach this sidecar
	Sidecar int    // sidecars in the pool
	Streams int    // tickets that one connection carries at once
	Seed    uint64 // of this sidecar
}

// Made is a counterpart, and what there is to say of it.
type Made struct {
	Text    []byte
	Changed []string // key: from what to what
	Left    []string // what could not be carried over, and why
}

// Make makes the counterpart. The error has a line for each fault: file, line, key, what was found and what is allowed.
func Make(file string, text []byte, to Pool) (Made, error) {
	if !endpointfiles.ValidAddress(to.Listen) {
		return Made{}, fmt.Errorf("listen: found %q, allowed an IP address and port, as 10.0.0.7:9000", to.Listen)
	}
	if to.Sidecar < 1 || to.Sidecar > 1<<16 || to.Streams < 2 || to.Streams > 1<<16 {
		return Made{}, fmt.Errorf("instances and streams: found %d and %d, allowed from 1 and from 2 to 65536", to.Sidecar, to.Streams)
	}
	make := product
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		make = platform
	}
	m, err := make(file, text, to)
	if err != nil {
		return Made{}, err
	}
	// What was made must be servable, and say what it should: an old file may be written in a way that the edits do not meet.
	o, err := daemon.Parse(file, m.Text, nobody)
	if err != nil {
		return Made{}, fmt.Errorf("what was made of it cannot be served, and was thrown away:\n%w", err)
	}
	if c := o.Settings; c.FixedWeights || c.StreamsPerConnection != to.Streams || c.Instances != to.Sidecar || o.Listen != to.Listen {
		return Made{}, fmt.Errorf("%s: its tables are written in a way that cannot be edited: give each table its own header", file)
	}
	return m, nil
}

func nobody(string) string { return "" }

func (m *Made) changed(key, from, to string) {
	m.Changed = append(m.Changed, fmt.Sprintf("%s: %s to %s", key, from, to))
}

func (m *Made) left(key, why string) { m.Left = append(m.Left, key+": "+why) }

// own tells of what stays as it is, though it was meant for one client.
func (m *Made) own(listen string) {
	if host, _, _ := net.SplitHostPort(listen); net.ParseIP(host).IsLoopback() {
		m.left("clients", "they asked "+listen+", on their own machine; they must be told of the pool's front")
	}
}

// ---- the product's TOML ----

// product edits line by line, so that comments and order stay.
func product(file string, text []byte, to Pool) (m Made, err error) {
	if _, err = daemon.Parse(file, text, nobody); err != nil {
		return m, err
	}
	doc, root := tomlfile.Parse(file, text, most)
	lines := strings.Split(string(text), "\n")
	var heads = map[string]int{} // table to the line of its header, from 1
	for i, line := range lines {
		if head := header.FindStringSubmatch(line); head != nil {
			heads[head[1]] = i + 1
		}
	}
	added := map[int][]string{}
	table := func(path string) *tomlfile.Table {
		t := root
		for _, name := range strings.Split(path, ".") {
			t = t.Table(name)
		}
		return t
	}
	set := func(path, key, value string) {
		t, line := table(path), key+" = "+value
		switch {
		case t.Has(key):
			at := t.Line(key) - 1
			whole := entry.FindStringSubmatch(lines[at])
			if whole == nil || whole[2] != key {
				t.Fault(key, t.Found(key), "a line of its own under a table header, as "+line)
				return
			}
			if whole[4] == value {
				return
			}
			m.changed(path+"."+key, whole[4], value)
			lines[at] = whole[1] + whole[2] + whole[3] + value + whole[5]
			return
		case heads[path] > 0:
			added[heads[path]] = append(added[heads[path]], line)
		default:
			added[len(lines)] = append(added[len(lines)], "", "["+path+"]", line)
			heads[path] = len(lines)
		}
		m.changed(path+"."+key, "nothing", value)
	}
	drop := func(path, key, why string) {
		t := table(path)
		if !t.Has(key) {
			return
		}
		if whole := entry.FindStringSubmatch(lines[t.Line(key)-1]); whole == nil || whole[2] != key {
			t.Fault(key, t.Found(key), "a line of its own under a table header")
			return
		}
		lines[t.Line(key)-1] = "# " + lines[t.Line(key)-1]
		m.left(path+"."+key, why)
	}
	instance, source := root.Table("instance"), root.Table("source")
	if instance.OneOf("weights", 0, "nominal", "live") == 1 {
		instance.Fault("weights", `"live"`, "nominal: this file has the new shape already")
	}
	m.own(table("front.http").String("listen", ""))
	set("front.http", "listen", strconv.Quote(to.Listen))
	set("instance", "instances", strconv.Itoa(to.Sidecar))
	set("instance", "weights", `"live"`)
	set("limits", "streams", strconv.Itoa(to.Streams))
	drop("instance", "seed", "each sidecar of a pool draws its own")
	drop("state", "folder", "a list kept there has nominal sizes; name a new folder")
	switch source.OneOf("kind", 0, "files", "discovery", "fixed") {
	case 0:
		if !source.Bool("sealed", false) {
			m.left("source.files", "a list renewed each second must be sealed, or it never holds still for source.settle")
		}
	case 2:
		m.left("source.server", "weights written here never move with load: name a list that is renewed")
	}
	if err := doc.Err(); err != nil {
		return m, err
	}
	var out []string
	for i := 0; i <= len(lines); i++ {
		if i > 0 {
			out = append(out, lines[i-1])
		}
		out = append(out, added[i]...)
	}
	m.Text = []byte(strings.TrimRight(strings.Join(out, "\n"), "\n") + "\n")
	return m, nil
}

var (
	header = regexp.MustCompile(`^\s*\[\s*([A-Za-z0-9_.-]+)\s*\]`)
	entry  = regexp.MustCompile(`^(\s*)([A-Za-z0-9_-]+)(\s*=\s*)("[^"\\]*"|'[^']*'|[^\s#"'\[{]+)(\s*(?:#.*)?)$`)
)

// ---- the platform's JSON ----

func platform(file string, text []byte, to Pool) (m Made, err error) {
	if len(text) > most {
		return m, fmt.Errorf("%s:1: document: found %d bytes, allowed at most %d", file, len(text), most)
	}
	if _, err := daemon.Parse(file, text, nobody); err != nil {
		return m, err
	}
	var all map[string]any
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber()
	if err := in.Decode(&all); err != nil {
		return m, err
	}
	settings, _ := all["settings"].(map[string]any)
	limits, _ := settings["limits"].(map[string]any)
	if settings["weight_kind"] == "live" {
		at, _ := daemon.JSONLines(file, text)
		return m, fmt.Errorf("%s:%d: settings.weight_kind: found live, allowed nominal, rough or silent: this file has the new shape already",
			file, at["settings.weight_kind"])
	}
	set := func(in map[string]any, path, key string, value any) {
		was, is := in[key]
		in[key] = value
		if from := fmt.Sprint(was); !is {
			m.changed(path+key, "nothing", fmt.Sprint(value))
		} else if from != fmt.Sprint(value) {
			m.changed(path+key, from, fmt.Sprint(value))
		}
	}
	m.own(fmt.Sprint(all["listen"]))
	set(all, "", "listen", to.Listen)
	set(settings, "settings.", "balancers", to.Sidecar)
	set(settings, "settings.", "weight_kind", "live")
	set(limits, "settings.limits.", "streams_per_conn", to.Streams)
	all["seed"] = fmt.Sprintf("%016x", to.Seed)
	m.left("seed", "each sidecar of a pool has its own; a new one was drawn")
	if all["known"] != nil {
		delete(all, "known")
		m.left("known", "the list in it has nominal sizes; the sidecar asks for a new one")
	}
	m.Text, err = json.MarshalIndent(all, "", "  ")
	m.Text = append(m.Text, '\n')
	return m, err
}
