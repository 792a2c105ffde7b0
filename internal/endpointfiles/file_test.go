package endpointfiles

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// listText is a list file of n endpoints, without a closing table. Endpoints differ between variants.
func listText(n, variant int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# variant %d\n", variant)
	for i := range n {
		fmt.Fprintf(&b, "\n[[server]]\nid = \"s-%d\"\naddress = \"127.0.0.1:%d\"\nweight = %d.5\n", i, 9000+i, 1+(i+variant)%9)
		if (i+variant)%3 == 0 {
			b.WriteString("state = \"draining\"\n")
		}
	}
	return b.String()
}

func sealed(t *testing.T, text string, issue Issue) (string, File) {
	t.Helper()
	out, f, err := Seal("f", []byte(text), issue, 0)
	if err != nil {
		t.Fatal(err)
	}
	return string(out), f
}

// A file that is truncated anywhere is not accepted, with a digest and without.
func TestTruncatedListsAreRejected(t *testing.T) {
	text, complete := sealed(t, listText(7, 1), 12)
	bare := text[:strings.Index(text, "digest")]
	for _, in := range []string{text, bare} {
		for i := range in {
			if f := Parse("f", []byte(in[:i])); f.Problem == "" && !reflect.DeepEqual(f.Entries, complete.Entries) {
				t.Fatalf("accepted: %s", in[:i])
			}
		}
	}
}

// An editor that writes in place leaves, up to some byte, the new text over the old. With a digest, only the one or the other is
// accepted.
func TestMixedListsAreRejected(t *testing.T) {
	for _, sizes := range [][2]int{{5, 5}, {3, 8}, {8, 3}, {12, 12}} {
		old, a := sealed(t, listText(sizes[0], 1), 3)
		new, b := sealed(t, listText(sizes[1], 2), 4)
		for i := 0; i <= len(new); i++ {
			mixed := new[:i]
			if i < len(old) {
				mixed += old[i:]
			}
			f := Parse("f", []byte(mixed))
			if f.Problem == "" && !reflect.DeepEqual(f.Entries, a.Entries) && !reflect.DeepEqual(f.Entries, b.Entries) {
				t.Fatalf("accepted: %s", mixed)
			}
		}
		// Overwritten without being truncated: the old end stands behind the new text.
		over := new + old[min(len(new), len(old)):]
		if f := Parse("f", []byte(over)); len(old) > len(new)+1 && f.Problem == "" {
			t.Errorf("new head and old tail: accepted: %s", over)
		}
	}
}

func TestFaultsNameTheirPlace(t *testing.T) {
	valid, _ := sealed(t, listText(3, 1), 1)
	for _, k := range [][3]string{
		{`id = "s-0"`, `id = 5`, "f:4: server[0].id: found 5, allowed a text"},
		{`id = "s-0"`, `id = "a b"`, "f:4: server[0].id: found \"a b\", allowed a text without spaces"},
		{`address = "127.0.0.1:9000"`, `address = "host:9"`, "f:5: server[0].address: found \"host:9\", allowed an IP address and port"},
		{`weight = 2.5`, `weight = 0`, "f:6: server[0].weight: found 0, allowed a number from 1e-06"},
		{`weight = 2.5`, `wieght = 2`, "f:6: server[0].wieght: found an unknown key, allowed id, address, zone"},
		{`state = "draining"`, `state = "gone"`, "f:17: server[2].state: found \"gone\", allowed ready, draining"},
		{"servers = 3", "servers = 4", "f:19: whole.servers: found 4, allowed 3"},
		{"servers = 3", "", "f:18: whole.servers: found nothing"},
		{"weight = 2.5", "weight = 2.6", "f:21: whole.digest: found"},
		{"[whole]", "", "f:1: whole: found nothing"},
		{"[whole]", "[whole]\nservers = 3\n[whole]", "f:20: document: found "},
		{"issue = 1", "issue = 1\ntakes_away = 1.5", "f:21: whole.takes_away: found 1.5, allowed a whole number"},
	} {
		in := strings.Replace(valid, k[0], k[1], 1)
		if f := Parse("f", []byte(in)); !strings.Contains(f.Problem, k[2]) || in == valid {
			t.Errorf("%s for %s: %s; want %s", k[1], k[0], f.Problem, k[2])
		}
	}
}

func TestJoinFindsConflicts(t *testing.T) {
	a, b := Parse("a", []byte(listOfOne("x", 1))), Parse("b", []byte(listOfOne("x", 2)))
	c := Parse("c", []byte(listOfOne("y", 1)))
	for _, k := range []struct {
		files []File
		want  string
	}{{[]File{a, c}, "both ready"}, {[]File{a, b}, "stands in a too"}, {[]File{b, c}, ""}} {
		if why := Join(k.files); !strings.Contains(why, k.want) || (why == "") != (k.want == "") {
			t.Errorf("%q, want %q", why, k.want)
		}
	}
}

func listOfOne(id string, port int) string {
	return fmt.Sprintf("[[server]]\nid = %q\naddress = \"127.0.0.1:%d\"\n[whole]\nservers = 1\n", id, port)
}

// No text causes a panic, and a valid list stays the same when it is sealed, with a higher issue.
func FuzzListText(f *testing.F) {
	text, _, _ := Seal("f", []byte(listText(3, 1)), 4, 2)
	for _, in := range []string{string(text), listOfOne("a", 1), "server = [{id = 'a', address = '[::1]:1'}]\n[whole]\nservers = 1",
		"a.b.c.d.e.f.g.h.i.j = 1", "a = [[[[[[[[[[1]]]]]]]]]]", "[whole]\nservers = 1_0\n", "\"\\u0000\" = 1"} {
		f.Add([]byte(in))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		parsed := Parse("f", in)
		if parsed.Problem != "" {
			if !strings.HasPrefix(parsed.Problem, "f:") || len(parsed.Entries) > 0 {
				t.Fatalf("%q", parsed.Problem)
			}
			return
		}
		out, sealed, err := Seal("f", in, 0, 0)
		if parsed.Issue >= 1<<53 {
			return
		}
		if err != nil || !sealed.Sealed || !slices.Equal(parsed.Entries, sealed.Entries) || sealed.Issue != parsed.Issue+1 {
			t.Fatalf("%v: %q sealed as %q", err, in, out)
		}
	})
}
