package endpointfiles

import (
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/tomlfile"
)

// MaxFileSize is the maximum size of a list file, in bytes.
const MaxFileSize = 16 << 20

// closingTable is the name of the table that ends each list file. It reveals incomplete files: a truncated file has no
// closing table, a file that was overwritten without being truncated has two, and a file that lost endpoints in between
// has a wrong count.
const closingTable = "whole"

// Bounds on the values of the closing table's keys.
const (
	maxEndpoints = 1 << 20
	maxIssue     = 1 << 53
)

// Digest identifies the content of a file.
type Digest uint64

// Issue is the number of a version of a list file, stated in the file. It increases with each new version; 0: none is
// stated.
type Issue int64

// File is the parsed content of a list file.
type File struct {
	Name    string
	Digest  Digest
	Problem string // why the file can't be used; empty: it is complete and valid
	Sealed  bool   // the file has a digest of its content, which is correct
	Issue   Issue
	Removes int // number of ready endpoints that the file declares to remove
	Entries []Entry
}

// Parse parses the text of a list file. All errors in it are reported in Problem.
func Parse(name string, text []byte) File {
	digest := Digest(xxhash.Sum64(text))
	if !utf8.Valid(text) {
		problem := name + ":1: document: found bytes that are not UTF-8, allowed TOML"
		return File{Name: name, Digest: digest, Problem: problem}
	}
	document, root := tomlfile.Parse(name, text, MaxFileSize)
	file := File{Name: name, Digest: digest}
	for _, table := range root.Tables("server") {
		file.Entries = append(file.Entries, ReadEndpoint(table))
	}
	file.readClosingTable(document, root, text)
	if err := document.Err(); err != nil {
		return File{Name: name, Digest: digest, Problem: err.Error()}
	}
	return file
}

// readClosingTable reads the table that ends the file, and compares it with the content above it. Errors are added to
// the document.
func (f *File) readClosingTable(document *tomlfile.Document, root *tomlfile.Table, text []byte) {
	root.Require(closingTable)
	closing := root.Table(closingTable)
	closing.Require("servers")
	count := closing.Count("servers", -1, 0, maxEndpoints)
	f.Issue = Issue(closing.Count("issue", 0, 1, maxIssue))
	f.Removes = int(closing.Count("takes_away", 0, 1, maxEndpoints))
	digest := closing.String("digest", "")
	closing.RejectUnknown()
	root.RejectUnknown()
	if count >= 0 && int(count) != len(f.Entries) {
		allowed := fmt.Sprintf("%d, the number of servers in the file", len(f.Entries))
		closing.Fault("servers", strconv.Itoa(int(count)), allowed)
	}
	if closing.Has("servers") && document.LastTable != closingTable {
		found := "a [" + closingTable + "] that is not the file's last table"
		closing.Fault("servers", found, "no table after it")
	}
	if digest == "" || document.Err() != nil {
		return
	}
	if digest != sealDigest(text[:document.LastTableOffset], count, f.Issue, f.Removes) {
		allowed := "only the digest of the text above it: check the changes, then seal it again"
		closing.Fault("digest", strconv.Quote(digest), allowed)
	}
	f.Sealed = true
}

// Join returns why the files can't make up one list; empty if they can.
func Join(files []File) string {
	for _, file := range files {
		if file.Problem != "" {
			return file.Problem
		}
	}
	return findConflict(files)
}
