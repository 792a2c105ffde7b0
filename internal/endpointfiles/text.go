package endpointfiles

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// MaxFileSize is how long a list file may be, in bytes.
const MaxFileSize = 16 << 20

// closing is the table that ends every list file. A file cut off anywhere before it has none, one that was overwritten
// without being truncated has two, and where servers fell out in between its count is wrong.
const closing = "whole"

// Parse reads a list file. Whatever is wrong with it stands in Problem, with all lines.
func Parse(name string, text []byte) File {
	f := File{Name: name, Digest: Digest(xxhash.Sum64(text))}
	if !utf8.Valid(text) {
		f.Problem = name + ":1: document: found bytes that are not UTF-8, allowed TOML"
		return f
	}
	doc, root := tomlfile.Parse(name, text, MaxFileSize)
	for _, t := range root.Tables("server") {
		f.Entries = append(f.Entries, ReadEndpoint(t))
	}
	root.Require(closing) // without it the file is cut off, or was never finished
	end := root.Table(closing)
	end.Require("servers")
	count := end.Count("servers", -1, 0, 1<<20)
	f.Issue = Issue(end.Count("issue", 0, 1, 1<<53))
	f.Removes = int(end.Count("takes_away", 0, 1, 1<<20))
	digest := end.String("digest", "")
	end.RejectUnknown()
	root.RejectUnknown()
	if count >= 0 && int(count) != len(f.Entries) {
		end.Fault("servers", strconv.Itoa(int(count)), fmt.Sprintf("%d, as so many are in the file", len(f.Entries)))
	}
	if end.Has("servers") && doc.LastTable != closing {
		end.Fault("servers", "a ["+closing+"] that is not the file's last table", "no table behind it")
	}
	if digest != "" && doc.Err() == nil {
		if is := digestOf(text[:doc.LastAt], count, f.Issue, f.Removes); digest != is {
			end.Fault("digest", strconv.Quote(digest), "only the digest of what stands above it: look it over, then seal it")
		}
		f.Sealed = true
	}
	if err := doc.Err(); err != nil {
		return File{Name: name, Digest: f.Digest, Problem: err.Error()}
	}
	return f
}

// ReadEndpoint reads a server from a table of its own.
func ReadEndpoint(t *tomlfile.Table) Entry {
	t.Require("id", "address")
	e := Entry{UID: t.String("id", ""), Addr: t.String("address", "")}
	e.Member = policy.Member{ID: EndpointID(e.UID),
		Zone:    policy.Zone(t.String("zone", "")),
		Cell:    policy.Cell(t.Count("pod", 0, 0, 1<<31-1)),
		Weight:  t.Float("weight", 1, 1e-6, 1e9),
		Status:  policy.EndpointStatus(t.OneOf("state", int(policy.Ready), "ready", "draining")),
		Started: t.Timestamp("started")}
	if e.Addr != "" && !ValidAddress(e.Addr) {
		t.Fault("address", t.Found("address"), "an IP address and port, as 10.0.0.4:9000 or [::1]:9000")
	}
	if strings.ContainsFunc(e.UID, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		t.Fault("id", t.Found("id"), "a text without spaces")
	}
	t.RejectUnknown()
	return e
}

// ValidAddress tells whether this is an IP address with a port. Names are not resolved: an answer that comes late, or changes,
// would make two lists of one.
func ValidAddress(s string) bool {
	at, err := netip.ParseAddrPort(s)
	return err == nil && at.Port() > 0
}

func digestOf(above []byte, servers int64, issue Issue, takesAway int) string {
	h := sha256.New()
	h.Write(above)
	fmt.Fprintf(h, "servers=%d issue=%d takes_away=%d\n", servers, issue, takesAway)
	return "sha256:" + hex.EncodeToString(h.Sum(nil))
}

// Seal writes the closing table of a list file anew: the count of its servers, an issue, what it takes away and a digest over
// all of that. What stands above stays as it is to the byte. issue 0: one more than the file has.
func Seal(name string, text []byte, issue Issue, takesAway int) ([]byte, File, error) {
	doc, root := tomlfile.Parse(name, text, MaxFileSize)
	if err := doc.Err(); err != nil {
		return nil, File{}, err
	}
	above := text
	if root.Has(closing) {
		if doc.LastTable != closing {
			return nil, File{}, fmt.Errorf("%s:%d: %s: found before another table, allowed as the file's last", name,
				root.Line(closing), closing)
		}
		above = text[:doc.LastAt]
		if issue == 0 {
			issue = Issue(root.Table(closing).Count("issue", 0, 0, 1<<53-1))
			issue++
		}
	}
	issue = max(issue, 1)
	out := append([]byte(nil), above...)
	if len(out) > 0 && out[len(out)-1] != '\n' {
		out = append(out, '\n')
	}
	servers := int64(len(root.Tables("server")))
	digest := digestOf(out, servers, issue, takesAway)
	out = fmt.Appendf(out, "[%s]\nservers = %d\nissue = %d\n", closing, servers, issue)
	if takesAway > 0 {
		out = fmt.Appendf(out, "takes_away = %d\n", takesAway)
	}
	out = fmt.Appendf(out, "digest = %q\n", digest)
	f := Parse(name, out)
	if f.Problem != "" {
		return nil, File{}, fmt.Errorf("%s", f.Problem)
	}
	return out, f, nil
}

// Join finds what keeps files, each of them whole, from being one list; "" if nothing does.
func Join(files []File) string {
	for _, f := range files {
		if f.Problem != "" {
			return f.Problem
		}
	}
	return conflict(files)
}
