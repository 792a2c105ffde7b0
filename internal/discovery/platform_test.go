package discovery

import (
	"fmt"
	"strings"
	"testing"
)

const list = `{"rev":41,"all":true,"more":[{"x":null}],"targets":[
 {"uid":"s-1","endpoint":"10.1.0.18:9000","az":"a","model":"m\u00e52","pod_group":3,"state":"Ready","capacity_hint":1.5,"boot_ms":0},
 {"uid":"s-\"2\u0041","endpoint":"10.1.0.19:9000","az":"b","pod_group":4,"state":"Terminating","boot_ms":17}]}`

// entries reads a list and writes down what was said.
func entries(in string) (string, error) {
	var out strings.Builder
	version, full, all, err := DecodeList([]byte(in))
	for _, e := range all {
		fmt.Fprintln(&out, e.UID, e.Addr, e.Zone, e.Cell, e.Status, e.Weight, e.Started)
	}
	return fmt.Sprintf("%d %v\n%s", version, full, out.String()), err
}

func TestListIsRead(t *testing.T) {
	want := "41 true\ns-1 10.1.0.18:9000 a 3 0 1.5 0\ns-\"2A 10.1.0.19:9000 b 4 1 1 17000000\n"
	if got, err := entries(list); err != nil || got != want {
		t.Errorf("%v %q", err, got)
	}
	for _, change := range [][2]string{{`"rev":41,`, ""}, {`"Ready"`, `"Odd"`}, {`"s-1"`, `""`}, {"41", "4.5"}, {"true", "1"},
		{`:3`, `:-3`}, {"1.5", "-1"}, {"1.5", "NaN"}, {`]}`, `]}x`}, {`]}`, `]`}, {`"boot_ms":0`, `"boot_ms":1e300`},
		{`null`, strings.Repeat("[", 99)}, {`\u0041`, `\u00`}, {`"10.1.0.18:9000"`, `""`}, {"\"b\"", "\"b\x01\""}} {
		in := strings.Replace(list, change[0], change[1], 1)
		if _, err := entries(in); err == nil || in == list {
			t.Errorf("%q for %q was taken", change[1], change[0])
		}
	}
}

func TestBrokenOffListsAreNotTaken(t *testing.T) {
	for i := range list {
		if _, err := entries(list[:i]); err == nil {
			t.Fatalf("taken after %d bytes", i)
		}
	}
	for at := range list { // no panic, whatever one byte becomes
		for c := range 256 {
			in := []byte(list)
			in[at] = byte(c)
			entries(string(in))
		}
	}
}
