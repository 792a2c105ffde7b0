package membership

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// ReadKey accepts keys of the length of an AES key and rejects other files.
func TestReadKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for text, valid := range map[string]bool{
		"MDEyMzQ1Njc4OWFiY2RlZg==\n": true, "MDEy": false, "not base64": false, "": false,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if key, err := ReadKey(path); (err == nil) != valid || valid && string(key) != "0123456789abcdef" {
			t.Errorf("file %q: key %q, error %v", text, key, err)
		}
	}
}

// Hundreds of members that start at once with the same list of addresses must not all join through the same member.
func TestMembersThatStartAtOnceJoinDifferentMembers(t *testing.T) {
	config := Config{Name: "own", Listen: "127.0.0.1:1"}
	for i := range 10 {
		config.Join = append(config.Join, fmt.Sprintf("127.0.0.1:%d", 100+i))
	}
	joins := map[string]int{}
	for range 300 {
		joins[newCluster(config, nil).nextToJoin(time.Now())]++
	}
	for address, count := range joins {
		if count > 75 || len(joins) < len(config.Join) {
			t.Errorf("%d of 300 members join through %s; %d of %d addresses are used", count, address, len(joins),
				len(config.Join))
		}
	}
}
