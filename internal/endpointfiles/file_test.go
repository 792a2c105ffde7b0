package endpointfiles

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// listText returns a list file with n endpoints and without a closing table. The endpoints differ between variants.
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

// A file that is truncated at any position is rejected, with a digest and without.
func TestTruncatedListsAreRejected(t *testing.T) {
	text, complete := sealed(t, listText(7, 1), 12)
	unsealed := text[:strings.Index(text, "digest")]
	for _, in := range []string{text, unsealed} {
		for i := range in {
			if f := Parse("f", []byte(in[:i])); f.Problem == "" && !reflect.DeepEqual(f.Entries, complete.Entries) {
				t.Fatalf("a truncated file was accepted: %s", in[:i])
			}
		}
	}
}

// While an editor writes a file in place, the file has the new text up to some byte and the old text from there on. With a digest, such
// a mixture is rejected unless it has the endpoints of the old or the new list.
func TestMixedListsAreRejected(t *testing.T) {
	for _, sizes := range [][2]int{{5, 5}, {3, 8}, {8, 3}, {12, 12}} {
		old, a := sealed(t, listText(sizes[0], 1), 3)
		updated, b := sealed(t, listText(sizes[1], 2), 4)
		for i := 0; i <= len(updated); i++ {
			mixed := updated[:i]
			if i < len(old) {
				mixed += old[i:]
			}
			f := Parse("f", []byte(mixed))
			if f.Problem == "" && !reflect.DeepEqual(f.Entries, a.Entries) && !reflect.DeepEqual(f.Entries, b.Entries) {
				t.Fatalf("a mixture of the old and the new text was accepted: %s", mixed)
			}
		}
		// Overwritten without being truncated: the end of the old text follows the new text.
		mixed := updated + old[min(len(updated), len(old)):]
		if f := Parse("f", []byte(mixed)); len(old) > len(updated)+1 && f.Problem == "" {
			t.Errorf("the new text followed by the end of the old text was accepted: %s", mixed)
		}
	}
}

func TestProblemsNameLineAndKey(t *testing.T) {
	valid, _ := sealed(t, listText(3, 1), 1)
	for _, test := range [][3]string{
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
		in := strings.Replace(valid, test[0], test[1], 1)
		if f := Parse("f", []byte(in)); !strings.Contains(f.Problem, test[2]) || in == valid {
			t.Errorf("%s instead of %s: got %q, want %q", test[1], test[0], f.Problem, test[2])
		}
	}
}

func TestJoinFindsConflicts(t *testing.T) {
	a, b := Parse("a", []byte(listOfOne("x", 1))), Parse("b", []byte(listOfOne("x", 2)))
	c := Parse("c", []byte(listOfOne("y", 1)))
	for _, test := range []struct {
		files []File
		want  string
	}{{[]File{a, c}, "both ready"}, {[]File{a, b}, "also listed in a:"}, {[]File{b, c}, ""}} {
		if reason := Join(test.files); !strings.Contains(reason, test.want) || (reason == "") != (test.want == "") {
			t.Errorf("got %q, want %q", reason, test.want)
		}
	}
}

func listOfOne(id string, port int) string {
	return fmt.Sprintf("[[server]]\nid = %q\naddress = \"127.0.0.1:%d\"\n[whole]\nservers = 1\n", id, port)
}

// No text causes a panic. Sealing a valid list keeps its endpoints and increments its issue.
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
				t.Fatalf("the problem lacks the file name, or an invalid file has entries: %q", parsed.Problem)
			}
			return
		}
		out, sealed, err := Seal("f", in, 0, 0)
		if parsed.Issue >= 1<<53 {
			return
		}
		if err != nil || !sealed.Sealed || !slices.Equal(parsed.Entries, sealed.Entries) || sealed.Issue != parsed.Issue+1 {
			t.Fatalf("error %v: %q was sealed as %q", err, in, out)
		}
	})
}
