// Package golden helps tests to compare what the program writes and reads with golden files. Only tests import it.
package golden

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// writeMissing is the environment variable that, if set to 1, makes tests write golden files that do not exist yet.
// Existing ones are never changed.
const writeMissing = "PEPPERLEAD_WRITE_GOLDEN"

// Compare fails the test unless got is equal to the content of the golden file, a file of that name in testdata.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	want := ReadOrWrite(t, name, got)
	if bytes.Equal(got, want) {
		return
	}
	gotLines := strings.Split(string(got), "\n")
	wantLines := strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i)
		if gotLine != wantLine {
			t.Errorf("%s, line %d: got %.200s, want %.200s", name, i+1, gotLine, wantLine)
			return
		}
	}
}

// ReadOrWrite returns the content of a golden file. If the file does not exist and writeMissing is 1, it first writes
// the given content to the file.
func ReadOrWrite(t testing.TB, name string, content []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv(writeMissing) == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return Read(t, name)
}

// Read returns the content of the file of that name in testdata.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// RoundTrip checks both directions of an encoding against a golden file: marshal must encode the value to the content
// of the file, and unmarshal must decode the file into decoded, which points to a zero value. When marshal encodes
// decoded, the result must be the same content again.
func RoundTrip(t testing.TB, name string, value, decoded any,
	marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	encoded, err := marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	want := ReadOrWrite(t, name, encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("the value was encoded as\n%q\nwant\n%q", encoded, want)
	}
	if err := unmarshal(want, decoded); err != nil {
		t.Fatal(err)
	}
	again, err := marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, want) {
		t.Errorf("the decoded value was encoded again as\n%q\nwant\n%q", again, want)
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return fmt.Sprintf("%q", lines[i])
	}
	return "the end"
}

// Fill gives every exported field of the value that the pointer points to, at any depth, a different value: numbers
// count up, texts are numbered, slices and maps get one element, booleans become true. The values depend on the order
// of the fields, not on their names.
func Fill(pointer any) {
	count := 0
	fill(reflect.ValueOf(pointer).Elem(), &count)
}

func fill(v reflect.Value, count *int) {
	if !v.CanSet() {
		return
	}
	if v.Kind() != reflect.Struct {
		*count++
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), count)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), count)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), count)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), count)
		}
	case reflect.Map:
		key := reflect.New(v.Type().Key()).Elem()
		element := reflect.New(v.Type().Elem()).Elem()
		fill(key, count)
		fill(element, count)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *count))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*count) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*count % math.MaxInt8))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*count % math.MaxInt8))
	}
}

// Values returns a text that lists all values that a value contains, one per line, in the order of the fields. It
// contains no names of fields or types, so that renaming them does not change the text.
func Values(value any) []byte {
	var out bytes.Buffer
	values(&out, reflect.ValueOf(value), "")
	return out.Bytes()
}

func values(out *bytes.Buffer, v reflect.Value, indent string) {
	deeper := indent + " "
	switch v.Kind() {
	case reflect.Invalid:
		fmt.Fprintf(out, "%snone\n", indent)
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			fmt.Fprintf(out, "%snone\n", indent)
			return
		}
		values(out, v.Elem(), indent)
	case reflect.Struct:
		fmt.Fprintf(out, "%sfields %d\n", indent, v.NumField())
		for i := range v.NumField() {
			values(out, v.Field(i), deeper)
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(out, "%slist %d\n", indent, v.Len())
		for i := range v.Len() {
			values(out, v.Index(i), deeper)
		}
	case reflect.Map:
		fmt.Fprintf(out, "%smap %d\n", indent, v.Len())
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			values(out, key, deeper)
			values(out, v.MapIndex(key), deeper+" ")
		}
	case reflect.String:
		fmt.Fprintf(out, "%s%q\n", indent, v.String())
	case reflect.Bool:
		fmt.Fprintf(out, "%s%v\n", indent, v.Bool())
	case reflect.Float32, reflect.Float64:
		fmt.Fprintf(out, "%s%v\n", indent, v.Float())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if v.Type() == reflect.TypeFor[time.Duration]() {
			fmt.Fprintf(out, "%s%v\n", indent, time.Duration(v.Int()))
			return
		}
		fmt.Fprintf(out, "%s%d\n", indent, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		fmt.Fprintf(out, "%s%d\n", indent, v.Uint())
	default:
		fmt.Fprintf(out, "%sof kind %s\n", indent, v.Kind())
	}
}
