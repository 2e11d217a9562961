// Package keytest detects unintended changes of serialization formats. Tests compare the keys
// of the types that a package marshals (messages, files, settings) with a list in testdata,
// and whole outputs with golden files. Renaming a Go field can thus not silently change a key
// on the wire or in files that older versions have written.
//
// Only tests import it.
package keytest

import (
	"encoding"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"otterspring/internal/disk"
)

var (
	updateKeys   = flag.Bool("update-keys", false, "update the lists of keys instead of comparing them")
	updateGolden = flag.Bool("update-golden", false, "update the golden files instead of comparing them")
)

// Marshaled is a type whose serialization format is compared.
type Marshaled struct {
	// Role identifies the type in the list and stays the same when the Go type is renamed.
	Role string
	// Encoding is the struct tag that defines the keys: json or toml.
	Encoding string
	// Value is any value of the type.
	Value any
}

// Compare fails the test if the keys of the types, including nested types, differ from the
// list in the file at path.
func Compare(t *testing.T, path string, types []Marshaled) {
	t.Helper()
	var list strings.Builder
	for _, m := range types {
		fmt.Fprintf(&list, "# %s (%s)\n", m.Role, m.Encoding)
		for _, line := range Keys(m.Encoding, reflect.TypeOf(m.Value)) {
			list.WriteString(line + "\n")
		}
		list.WriteString("\n")
	}
	got := list.String()
	if *updateKeys {
		writeFile(t, path, got)
		return
	}
	if want := readFile(t, path); got != want {
		t.Errorf("the keys differ from %s: %s", path, diffLines(got, want))
	}
}

// CompareGolden fails the test if a text differs from the golden file that an earlier version
// of the program has written, and reports the first line that differs.
func CompareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *updateGolden {
		writeFile(t, path, got)
		return
	}
	want := readFile(t, path)
	if got == want {
		return
	}
	found, wanted := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(found), len(wanted)) {
		if found[i] != wanted[i] {
			t.Fatalf("%s:%d: found %s, wanted %s", path, i+1, found[i], wanted[i])
		}
	}
	t.Fatalf("%s: found %d lines, wanted %d", path, len(found), len(wanted))
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := disk.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := disk.Replace(path, []byte(text), false); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// diffLines describes the lines that only one of two lists has.
func diffLines(got, want string) string {
	found, wanted := strings.Split(got, "\n"), strings.Split(want, "\n")
	var lines []string
	for _, line := range wanted {
		if !slices.Contains(found, line) {
			lines = append(lines, fmt.Sprintf("missing %q", line))
		}
	}
	for _, line := range found {
		if !slices.Contains(wanted, line) {
			lines = append(lines, fmt.Sprintf("unexpected %q", line))
		}
	}
	if len(lines) == 0 {
		return "the same lines in another order or number"
	}
	return strings.Join(lines, ", ")
}

// Keys returns the sorted keys of a type, each with the kind of its value and the options of
// its tag, such as "hosts[].address string omitempty". Keys of fields without a tag are
// marked as untagged, since renaming the field renames the key. For a type that is not a
// struct it returns one line with the kind.
func Keys(encodingName string, t reflect.Type) []string {
	c := collector{encoding: encodingName, visiting: map[reflect.Type]bool{}}
	c.visit("", t, "")
	slices.Sort(c.lines)
	return c.lines
}

// collector collects the keys of a type and the types nested in it.
type collector struct {
	encoding string
	visiting map[reflect.Type]bool // structs on the path from the root, to detect recursion
	lines    []string
}

var (
	jsonMarshaler = reflect.TypeFor[json.Marshaler]()
	textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()
)

// marshalsItself reports whether a type implements its own marshaling, so that its fields do
// not define keys.
func marshalsItself(t reflect.Type) bool {
	pointer := reflect.PointerTo(t)
	return pointer.Implements(jsonMarshaler) || pointer.Implements(textMarshaler)
}

func (c *collector) visit(path string, t reflect.Type, note string) {
	switch {
	case t.Kind() == reflect.Pointer:
		c.visit(path, t.Elem(), note)
	case marshalsItself(t):
		c.add(path, "marshals itself", note)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8:
		c.add(path, "bytes", note)
	case t.Kind() == reflect.Slice, t.Kind() == reflect.Array:
		c.visit(path+"[]", t.Elem(), note)
	case t.Kind() == reflect.Map:
		c.visit(path+"{"+t.Key().Kind().String()+"}", t.Elem(), note)
	case t.Kind() == reflect.Struct:
		c.visitStruct(path, t, note)
	default:
		c.add(path, t.Kind().String(), note)
	}
}

func (c *collector) add(path, kind, note string) {
	c.lines = append(c.lines, strings.TrimSpace(strings.TrimSpace(path+" "+kind)+" "+note))
}

func (c *collector) visitStruct(path string, t reflect.Type, note string) {
	if c.visiting[t] {
		c.add(path, "recursive", note)
		return
	}
	c.visiting[t] = true
	defer delete(c.visiting, t)
	before := len(c.lines)
	for field := range t.Fields() {
		c.visitField(path, field)
	}
	if len(c.lines) == before {
		c.add(path, "empty struct", note)
	}
}

func (c *collector) visitField(path string, field reflect.StructField) {
	tag, tagged := field.Tag.Lookup(c.encoding)
	name, options, _ := strings.Cut(tag, ",")
	if name == "-" {
		return
	}
	if field.Anonymous && name == "" {
		c.visit(path, field.Type, "")
		return
	}
	if !field.IsExported() {
		return
	}
	note := options
	if !tagged || name == "" {
		name = field.Name
		note = strings.TrimSpace(note + " untagged")
	}
	if path != "" {
		name = path + "." + name
	}
	c.visit(name, field.Type, note)
}
