package peers

import (
	"os"
	"path/filepath"
	"testing"
)

func TestKeysAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for text, good := range map[string]bool{"MDEyMzQ1Njc4OWFiY2RlZg==\n": true, "MDEy": false, "not base64": false, "": false} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if key, err := ReadKey(path); (err == nil) != good || good && string(key) != "0123456789abcdef" {
			t.Errorf("%q: %q %v", text, key, err)
		}
	}
}
