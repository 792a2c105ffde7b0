package discovery

import (
	"fmt"
	"strings"
	"testing"
)

const listJSON = `{"rev":41,"all":true,"more":[{"x":null}],"targets":[
 {"uid":"s-1","endpoint":"10.1.0.18:9000","az":"a","model":"m\u00e52","pod_group":3,"state":"Ready","capacity_hint":1.5,"boot_ms":0},
 {"uid":"s-\"2\u0041","endpoint":"10.1.0.19:9000","az":"b","pod_group":4,"state":"Terminating","boot_ms":17}]}`

// decodeToText decodes a list and formats its values.
func decodeToText(text string) (string, error) {
	var out strings.Builder
	revision, full, entries, err := DecodeList([]byte(text))
	for _, e := range entries {
		fmt.Fprintln(&out, e.UID, e.Addr, e.Zone, e.Cell, e.Status, e.Weight, e.Started)
	}
	return fmt.Sprintf("%d %v\n%s", revision, full, out.String()), err
}

func TestDecodeList(t *testing.T) {
	want := "41 true\ns-1 10.1.0.18:9000 a 3 0 1.5 0\ns-\"2A 10.1.0.19:9000 b 4 1 1 17000000\n"
	if got, err := decodeToText(listJSON); err != nil || got != want {
		t.Errorf("error %v, decoded list %q", err, got)
	}
	for _, change := range [][2]string{{`"rev":41,`, ""}, {`"Ready"`, `"Odd"`}, {`"s-1"`, `""`}, {"41", "4.5"}, {"true", "1"},
		{`:3`, `:-3`}, {"1.5", "-1"}, {"1.5", "NaN"}, {`]}`, `]}x`}, {`]}`, `]`}, {`"boot_ms":0`, `"boot_ms":1e300`},
		{`null`, strings.Repeat("[", 99)}, {`\u0041`, `\u00`}, {`"10.1.0.18:9000"`, `""`}, {"\"b\"", "\"b\x01\""}} {
		in := strings.Replace(listJSON, change[0], change[1], 1)
		if _, err := decodeToText(in); err == nil || in == listJSON {
			t.Errorf("a list with %q in place of %q was accepted", change[1], change[0])
		}
	}
}

func TestIncompleteListsAreRejected(t *testing.T) {
	for i := range listJSON {
		if _, err := decodeToText(listJSON[:i]); err == nil {
			t.Fatalf("a list truncated after %d bytes was accepted", i)
		}
	}
	for i := range listJSON { // there is no panic if any byte is replaced by any other
		for c := range 256 {
			in := []byte(listJSON)
			in[i] = byte(c)
			decodeToText(string(in))
		}
	}
}
