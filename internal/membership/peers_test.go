package membership

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
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

// Hundreds that start at once with one list of whom to join must not all join the same one.
func TestThoseThatStartAtOnceJoinDifferentOnes(t *testing.T) {
	post := Config{Name: "own", Listen: "127.0.0.1:1"}
	for i := range 10 {
		post.Join = append(post.Join, fmt.Sprintf("127.0.0.1:%d", 100+i))
	}
	met := map[string]int{}
	for range 300 {
		met[newCompany(post, nil).missing(time.Now())]++
	}
	for at, n := range met {
		if n > 75 || len(met) < len(post.Join) {
			t.Errorf("%d of 300 join %s, %d of %d are joined", n, at, len(met), len(post.Join))
		}
	}
}
