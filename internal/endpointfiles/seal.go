package endpointfiles

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"pepperlead/internal/tomlfile"
)

// Seal returns a list file with a new closing table, which has the number of endpoints, an issue, the declared number
// of removals and a digest of the file. The text above the table is kept byte for byte. If issue is 0, the file gets
// the next issue after its current one.
func Seal(name string, text []byte, issue Issue, removes int) ([]byte, File, error) {
	document, root := tomlfile.Parse(name, text, MaxFileSize)
	if err := document.Err(); err != nil {
		return nil, File{}, err
	}
	above := text
	if root.Has(closingTable) {
		if document.LastTable != closingTable {
			return nil, File{}, fmt.Errorf("%s:%d: %s: found before another table, allowed as the last table only",
				name, root.Line(closingTable), closingTable)
		}
		above = text[:document.LastTableOffset]
		if issue == 0 {
			issue = Issue(root.Table(closingTable).Count("issue", 0, 0, maxIssue-1)) + 1
		}
	}
	sealed := appendClosingTable(above, len(root.Tables("server")), max(issue, 1), removes)
	file := Parse(name, sealed)
	if file.Problem != "" {
		return nil, File{}, errors.New(file.Problem)
	}
	return sealed, file, nil
}

// appendClosingTable returns a copy of the text above the closing table, followed by that table.
func appendClosingTable(above []byte, endpoints int, issue Issue, removes int) []byte {
	text := slices.Clone(above)
	if len(text) > 0 && text[len(text)-1] != '\n' {
		text = append(text, '\n')
	}
	digest := sealDigest(text, int64(endpoints), issue, removes)
	text = fmt.Appendf(text, "[%s]\nservers = %d\nissue = %d\n", closingTable, endpoints, issue)
	if removes > 0 {
		text = fmt.Appendf(text, "takes_away = %d\n", removes)
	}
	return fmt.Appendf(text, "digest = %q\n", digest)
}

// sealDigest returns the digest of the text above the closing table and of the values in that table, except for the
// digest itself.
func sealDigest(above []byte, endpoints int64, issue Issue, removes int) string {
	hash := sha256.New()
	hash.Write(above)
	hash.Write(fmt.Appendf(nil, "servers=%d issue=%d takes_away=%d\n", endpoints, issue, removes))
	return "sha256:" + hex.EncodeToString(hash.Sum(nil))
}
