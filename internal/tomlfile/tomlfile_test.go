package tomlfile

import (
	"strings"
	"testing"

	"pepperlead/policy"
)

const document = `name = "a"

[limits]
connect = "200ms"
share = 2

[[endpoint]]
id = "x"
[[endpoint]]
id = "y"
`

func TestValuesAndLinesAreRead(t *testing.T) {
	doc, root := Parse("f", []byte(document), 1<<10)
	limits := root.Table("limits")
	endpoints := root.Tables("endpoint")
	if root.String("name", "") != "a" || limits.Duration("connect", 0, 0, policy.Second) != 200*policy.Millisecond ||
		limits.Float("share", 0, 0, 5) != 2 || len(endpoints) != 2 || endpoints[1].String("id", "") != "y" {
		t.Errorf("unexpected values in the root table %+v", root)
	}
	if root.Line("name") != 1 || limits.Line("share") != 5 || endpoints[1].Line("id") != 10 || limits.Line("none") != 3 {
		t.Errorf("unexpected lines of keys: positions %+v", doc.positions)
	}
	if doc.LastTable != "endpoint[1]" || document[doc.LastTableOffset:] != "[[endpoint]]\nid = \"y\"\n" {
		t.Errorf("unexpected last table %s at offset %d", doc.LastTable, doc.LastTableOffset)
	}
	if err := doc.Err(); err != nil {
		t.Errorf("unexpected faults: %v", err)
	}
}

func TestFaultsAreSortedByLine(t *testing.T) {
	doc, root := Parse("f", []byte(document), 1<<10)
	endpoints := root.Tables("endpoint")
	endpoints[0].Require("address")
	root.Table("limits").Count("share", 0, 5, 9)
	root.Table("limits").Bool("connect", false)
	root.RejectUnknown()
	want := `f:1: name: found an unknown key, allowed endpoint, limits
f:4: limits.connect: found "200ms", allowed true or false
f:5: limits.share: found 2, allowed a whole number from 5 to 9
f:7: endpoint[0].address: found nothing, allowed a value: it must be given`
	if err := doc.Err(); err == nil || err.Error() != want {
		t.Errorf("got faults\n%v\nwant\n%s", err, want)
	}
}

func TestInvalidDocumentsAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		strings.Repeat("#", 100):         "f:1: document: found 100 bytes, allowed at most 64",
		"\na.b.c.d.e.f.g.h.i = 1":        "f:2: document: found a key with too many parts",
		"x = [[[[[[[[[[1]]]]]]]]]]":      "f:1: document: found a key with too many parts or a value with too many levels",
		"x = 1\ny =":                     "f:2: document: found ",
		"[a]\nb = {c.d.e.f.g.h.i.j.k=1}": "f:2: document: found a key with too many parts",
	} {
		doc, root := Parse("f", []byte(text), 64)
		if err := doc.Err(); err == nil || !strings.HasPrefix(err.Error(), want) || len(root.values) != 0 {
			t.Errorf("document %q: got error %v, want %s, and an empty root table", text, err, want)
		}
	}
}

func TestOverlayAndSet(t *testing.T) {
	base, baseRoot := Parse("base", []byte(document), 1<<10)
	top, root := Parse("top", []byte("[limits]\nshare = 7\n"), 1<<10)
	root.Overlay(baseRoot)
	limits := root.Table("limits")
	if limits.Float("share", 0, 0, 9) != 7 || limits.String("connect", "") != "200ms" || len(root.Tables("endpoint")) != 2 {
		t.Errorf("unexpected values after Overlay: %+v", root.values)
	}
	limits.Fault("connect", "a", "b")
	if err := top.Err(); err == nil || !strings.HasPrefix(err.Error(), "base:4: ") || base.Err() != nil {
		t.Errorf("faults of the overlaid document %v, want one at base:4; faults of base %v, want none",
			err, base.Err())
	}
	if err := root.Set("endpoint[1].id", "z"); err != nil || root.Tables("endpoint")[1].String("id", "") != "z" {
		t.Errorf("Set returned error %v, unexpected values %+v", err, root.values)
	}
	for path, want := range map[string]string{
		"limits":         "limits: found a table, allowed a value",
		"endpoint[1]":    "endpoint[1]: found a table, allowed a value",
		"endpoint[2].id": "endpoint[2].id: found 2, allowed 0 to 1",
		"name.x":         "name.x: name is not a table",
		"none.x":         "none.x: there is no none",
	} {
		if err := root.Set(path, 1); err == nil || err.Error() != want {
			t.Errorf("Set of path %s: got error %v, want %s", path, err, want)
		}
	}
}
